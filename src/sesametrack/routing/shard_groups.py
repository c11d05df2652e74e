"""State of the groups of shards that a wide gather delegates."""

from dataclasses import dataclass, field

from sesametrack.contracts.types import (
    Instant,
    Seconds,
    ServiceId,
    UpstreamId,
    VmId,
)
from sesametrack.routing.aggregators import Aggregators, ShardGroup
from sesametrack.routing.directory import Upstream, UpstreamDirectory
from sesametrack.routing.events import (
    AttemptLimit,
    FailureKind,
    MergedAnswer,
)
from sesametrack.routing.exchanges import NEVER, GatherExchange
from sesametrack.routing.link_times import ACK_TIMEOUT

# A VM that reaches less than this part of a group's shards leaves it to others.
_MIN_REACH = 0.75
_MS_PER_SECOND = 1000


@dataclass(slots=True)
class GroupGather:
    """Gather of one group's shards, by an aggregator or by this VM itself.

    `max_attempts` is the number of upstreams to which all VMs together may
    send each shard's request. An aggregator that is lost may have used what
    it was granted, so that is subtracted for good.
    """

    shards: tuple[ServiceId, ...]
    # The aggregators to use next; None is this VM itself.
    candidates: list[Upstream | None]
    max_attempts: int
    # Set while an aggregator works on the group.
    attempt_id: int | None = None
    aggregator: Upstream | None = None
    # The attempts that the aggregator got with its request.
    granted_attempts: int = 0
    sent_at: Instant = NEVER
    # How long the aggregator may take to acknowledge its request.
    ack_timeout: Seconds = ACK_TIMEOUT
    # When the request was written to a connection, None if it still waits.
    written_at: Instant | None = None
    is_acknowledged: bool = False
    # Whether the aggregator has been cancelled, as it was silent.
    is_cancelled: bool = False
    # Set while this VM sends to the shards itself.
    direct: GatherExchange | None = None
    may_have_run: bool = False
    # The upstreams of each shard that lost aggregators may have sent to
    # without reporting them.
    unreported_attempts: int = 0
    # The upstreams that aggregators reported to have sent to.
    tried_by_shard: dict[ServiceId, list[UpstreamId]] = field(
        default_factory=dict
    )
    # Whether an aggregator has refused the group, and the VMs of other failure
    # domains that were asked instead.
    was_refused: bool = False
    remote_tried: set[VmId] = field(default_factory=set)
    answer: MergedAnswer | None = None
    is_finished: bool = False
    wake_at: Instant = NEVER

    @property
    def attempts_left(self) -> int:
        """Number of upstreams to which a shard's request may be sent.

        Upstreams that were reported are included, as they are counted by id.
        """
        return max(0, self.max_attempts - self.unreported_attempts)

    @property
    def is_delegated(self) -> bool:
        """Return whether an aggregator works on the group."""
        return self.attempt_id is not None and not self.is_finished

    @property
    def may_have_run_anywhere(self) -> bool:
        """Return whether an upstream may have run the request."""
        is_direct = self.direct is not None and self.direct.may_have_run
        return self.may_have_run or is_direct

    @property
    def reply_count(self) -> int:
        """Number of shards that have replied."""
        if self.answer is not None:
            return len(self.answer.digest_by_shard)
        return 0 if self.direct is None else self.direct.reply_count

    @property
    def current_answer(self) -> MergedAnswer | None:
        """Return the replies that have arrived, None if there are none."""
        if self.answer is None and self.direct is not None:
            return self.direct.partial_answer()
        return self.answer

    def missing_shards(self) -> dict[ServiceId, str]:
        """Return the shards without a reply, each with the reason."""
        if self.answer is not None:
            return self.answer.missing
        if self.direct is not None:
            return self.direct.missing_shards()
        return dict.fromkeys(self.shards, 'pending')

    def delegate(
        self,
        attempt_id: int,
        aggregator: Upstream,
        now: Instant,
        ack_timeout: Seconds,
    ) -> AttemptLimit:
        """Record that a request is sent to an aggregator; grant attempts.

        One attempt that was not used before comes with the request.
        """
        self.attempt_id = attempt_id
        self.aggregator = aggregator
        self.granted_attempts = min(
            self.attempts_left, self._reported_attempts + 1
        )
        self.sent_at = now
        self.ack_timeout = ack_timeout
        self.written_at = None
        self.is_acknowledged = False
        self.is_cancelled = False
        self.wake_at = now + self.ack_timeout
        return AttemptLimit(self.granted_attempts, self.attempts_left)

    def record_written(self, now: Instant) -> None:
        """Record that the request to the aggregator was written."""
        self.written_at = now
        if not self.is_acknowledged:
            self.wake_at = now + self.ack_timeout

    def record_acknowledged(self, overdue_at: Instant) -> int:
        """Record the acknowledgement; return the attempts to grant now.

        They include those granted before; 0 if there are no others.
        """
        is_first, self.is_acknowledged = not self.is_acknowledged, True
        self.may_have_run = True
        self.wake_at = overdue_at
        is_any_left = self.attempts_left > self.granted_attempts
        return self.attempts_left if is_first and is_any_left else 0

    def record_failure(self, kind: FailureKind) -> str:
        """Record the loss of the aggregator; return the reason to log.

        It has not acknowledged, so it has only what came with its request.
        """
        if kind is not FailureKind.not_sent:
            self.may_have_run = True
            self.unreported_attempts += max(
                0, self.granted_attempts - self._reported_attempts
            )
        self.attempt_id = None
        return 'silent' if self.is_cancelled else kind.value

    def finish(self, answer: MergedAnswer) -> None:
        """Record the replies and reasons of all shards."""
        self.is_finished = True
        if self.direct is not None:
            self.direct.is_done = True
        if answer.digest_by_shard:
            self.may_have_run = True
        self.wake_at = NEVER
        self.answer = answer

    def finish_without_replies(self, reason: str) -> None:
        """Record that no shard will be answered."""
        missing = dict.fromkeys(self.shards, reason)
        self.finish(MergedAnswer({}, missing, b''))

    def describe(
        self, reason: str, arrived_at: Instant, now: Instant
    ) -> dict[str, str | int | float]:
        """Return the details to log of an aggregator that is given up."""
        details = {
            'aggregator': self.aggregator.id,
            'reason': reason,
            'shards': len(self.shards),
            'attempts_left': self.attempts_left,
            'age_ms': to_ms(now - arrived_at),
            'waited_ms': to_ms(now - self.sent_at),
        }
        if self.written_at is not None:
            details['since_written_ms'] = to_ms(now - self.written_at)
        return details

    @property
    def _reported_attempts(self) -> int:
        """Least number of reported upstreams of any shard."""
        return min(
            len(self.tried_by_shard.get(shard, ())) for shard in self.shards
        )


def make_group(
    group: ShardGroup, aggregators: Aggregators, max_attempts: int
) -> GroupGather:
    """Return a group with its aggregators in order of rank."""
    candidates: list[Upstream | None] = []
    for vm in group.vms:
        peer = aggregators.peer(vm)
        if peer is not None or vm == aggregators.vm:
            candidates.append(peer)
    return GroupGather(group.shards, candidates, max_attempts)


def is_out_of_reach(group: GroupGather, directory: UpstreamDirectory) -> bool:
    """Return whether this VM reaches too few of a group's shards."""
    reachable = sum(
        any(
            not upstream.health.is_unreachable
            for upstream in directory.usable(shard)
        )
        for shard in group.shards
    )
    return reachable < len(group.shards) * _MIN_REACH


def to_ms(duration: Seconds) -> float:
    """Return a duration in milliseconds for logs."""
    return round(duration * _MS_PER_SECOND, 1)
