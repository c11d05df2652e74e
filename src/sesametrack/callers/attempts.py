"""Attempts at the sub-queries of one shard of a query."""

from dataclasses import dataclass, field

from sesametrack.callers.replicas import ShardPlan
from sesametrack.contracts.messages import (
    SubQueryKind,
    SubQueryReply,
    SubQueryState,
)
from sesametrack.contracts.outcomes import Reason
from sesametrack.contracts.types import (
    Instant,
    MemberId,
    SubQueryId,
    UpstreamId,
)


@dataclass(slots=True)
class Attempt:
    """One sub-query sent to one upstream; `state` is None while pending."""

    id: SubQueryId
    upstream: UpstreamId
    gate: MemberId
    kind: SubQueryKind
    sent_at: Instant
    state: SubQueryState | None = None
    reason: Reason = Reason.none
    is_cancelled: bool = False

    @property
    def is_pending(self) -> bool:
        """Return whether a reply may still arrive."""
        return self.state is None

    @property
    def may_have_run(self) -> bool:
        """Return whether the upstream may have run the sub-query."""
        return self.state is not SubQueryState.not_run


@dataclass(slots=True)
class ShardProgress:
    """The attempts for one shard, and its reply once received."""

    plan: ShardPlan
    attempts: list[Attempt] = field(default_factory=list)
    reply: SubQueryReply | None = None
    reason: Reason = Reason.none
    hedge_attempts: int = 0
    last_hedge_at: Instant | None = None
    retry_at: Instant | None = None
    retry_count: int = 0

    @property
    def is_answered(self) -> bool:
        """Return whether the shard has a reply."""
        return self.reply is not None

    @property
    def pending(self) -> list[Attempt]:
        """Attempts whose reply may still arrive."""
        return [attempt for attempt in self.attempts if attempt.is_pending]

    @property
    def is_exhausted(self) -> bool:
        """Return whether no attempt is pending and no retry scheduled."""
        return (
            not self.is_answered and self.retry_at is None and not self.pending
        )

    @property
    def waiting_since(self) -> Instant:
        """Time of the last attempt, or of a later hedge that was refused."""
        sent_at = self.attempts[-1].sent_at
        if self.last_hedge_at is None:
            return sent_at
        return max(sent_at, self.last_hedge_at)

    @property
    def possible_executors(self) -> set[UpstreamId]:
        """Upstreams that may have run, or may still run, a sub-query."""
        return {
            attempt.upstream
            for attempt in self.attempts
            if attempt.may_have_run
        }

    @property
    def tried_upstreams(self) -> set[UpstreamId]:
        """Upstreams to which an attempt was sent."""
        return {attempt.upstream for attempt in self.attempts}

    def missing_reason(self) -> Reason:
        """Return why the shard has no reply."""
        if self.pending:
            return Reason.deadline
        return (
            self.reason if self.reason is not Reason.none else Reason.no_replica
        )
