"""Attempts to get one shard of a query answered."""

from dataclasses import dataclass, field

from sesametrack.callers.replicas import ShardPlan
from sesametrack.contracts.messages import SubQueryKind, SubReply, SubState
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
    state: SubState | None = None
    reason: Reason = Reason.none
    is_cancelled: bool = False

    @property
    def is_pending(self) -> bool:
        """Tell whether a reply may still come."""
        return self.state is None

    @property
    def may_have_run(self) -> bool:
        """Tell whether an upstream may have run the sub-query."""
        return self.state is not SubState.not_run


@dataclass(slots=True)
class ShardProgress:
    """The attempts for one shard, and its reply once there is one."""

    plan: ShardPlan
    attempts: list[Attempt] = field(default_factory=list)
    reply: SubReply | None = None
    reason: Reason = Reason.none
    hedge_tries: int = 0
    hedge_tried_at: Instant | None = None
    retry_at: Instant | None = None
    failures: int = 0

    @property
    def is_answered(self) -> bool:
        """Tell whether the shard's reply is in hand."""
        return self.reply is not None

    @property
    def pending(self) -> list[Attempt]:
        """Attempts whose reply may still come."""
        return [attempt for attempt in self.attempts if attempt.is_pending]

    @property
    def is_stuck(self) -> bool:
        """Tell whether nothing is under way and no retry is planned."""
        return (
            not self.is_answered and self.retry_at is None and not self.pending
        )

    @property
    def waits_since(self) -> Instant:
        """When the last attempt, or a refused hedge, was made."""
        sent_at = self.attempts[-1].sent_at
        if self.hedge_tried_at is None:
            return sent_at
        return max(sent_at, self.hedge_tried_at)

    @property
    def engaged(self) -> set[UpstreamId]:
        """Upstreams that run a sub-query of the shard, or may have."""
        return {
            attempt.upstream
            for attempt in self.attempts
            if attempt.may_have_run
        }

    @property
    def tried(self) -> set[UpstreamId]:
        """Upstreams that an attempt went to."""
        return {attempt.upstream for attempt in self.attempts}

    def missing_reason(self) -> Reason:
        """Say why the shard has no reply."""
        if self.pending:
            return Reason.deadline
        return (
            self.reason if self.reason is not Reason.none else Reason.no_replica
        )
