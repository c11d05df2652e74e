"""A gather over so many shards that aggregators ask most of them."""

from dataclasses import dataclass, field, replace

from sesametrack.contracts.types import (
    Instant,
    Seconds,
    ServiceId,
    UpstreamId,
)
from sesametrack.routing.aggregators import Aggregators, ShardGroup
from sesametrack.routing.calls import CallContext
from sesametrack.routing.desired_state import Route, TopKMerge
from sesametrack.routing.directory import Upstream
from sesametrack.routing.events import (
    Action,
    CallerRequest,
    CancelSubgather,
    Deliver,
    Failure,
    FailureKind,
    LogEvent,
    MergedAnswer,
    Refusal,
    Send,
    Subgather,
    UpstreamReply,
)
from sesametrack.routing.exchanges import (
    ANSWER_TIME,
    NEVER,
    RETRY_AFTER,
    GatherDeadlines,
    GatherExchange,
    exchange_deadline,
    gather_deadlines,
    is_enough,
    is_servable,
    to_merged_answer,
)
from sesametrack.routing.merge import merge_top_records

# An aggregator acknowledges a request before it does any of its work; one
# that does not is stopped or cut off. A path inside a failure domain takes
# less than a millisecond, a connection that has to be opened two more.
_ACK_TIMEOUT: Seconds = 0.02
# From the cut-off of an aggregator to that of the gather: its reply, and the
# reading of all replies.
_MERGE_TIME: Seconds = 0.006
# An acknowledged aggregator counts as lost so long after its own cut-off. The
# gather is late by then, and nothing else may be asked in its place.
_OVERDUE: Seconds = 0.15
# How often shards are asked for: in time, late, and by this VM itself.
_MAX_ROUNDS = 3
# Why the shards of an aggregator that was lost at work are missing.
_LOST_GROUP = 'aggregator-lost'
_LOST_REASONS = frozenset(('no-upstream', 'shards-unreachable'))
# It gives up so long after its cut-off: this VM then takes its place.
_LAST_TIME: Seconds = 0.02


@dataclass(slots=True)
class _Group:
    """Shards that are asked together: by an aggregator or by this VM."""

    shards: tuple[ServiceId, ...]
    candidates: list[Upstream | None]
    # Set while an aggregator works on it.
    attempt_id: int | None = None
    aggregator: Upstream | None = None
    is_acknowledged: bool = False
    # Set while this VM sends to the shards itself.
    direct: GatherExchange | None = None
    may_have_run: bool = False
    # Whether an aggregator may have sent to upstreams that it did not tell.
    is_uncertain: bool = False
    # The upstreams that aggregators told that they had sent to.
    tried_by_shard: dict[ServiceId, list[UpstreamId]] = field(
        default_factory=dict
    )
    answer: MergedAnswer | None = None
    is_over: bool = False
    wake_at: Instant = NEVER


class WideGatherExchange:
    """Divides a gather over aggregators and merges what they return.

    An aggregator that is lost or silent is replaced by the next one, and
    then by this VM itself. Each group's shards are answered by one of them,
    so that no shard is counted twice.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        context: CallContext,
        aggregators: Aggregators,
        groups: list[ShardGroup],
    ) -> None:
        """Bind the request to the groups of the route's shards."""
        self.deadline = exchange_deadline(request, route)
        self.is_done = False
        self.wake_at: Instant = NEVER
        self._request = request
        self._route = route
        self._context = context
        self._latest = self.deadline - ANSWER_TIME
        self._times = gather_deadlines(request, route)
        self._groups = [
            _Group(group.shards, _candidates(group, aggregators))
            for group in groups
        ]
        # Attempts at aggregators, and those at upstreams.
        self._group_by_attempt: dict[int, _Group] = {}
        self._group_by_send: dict[int, _Group] = {}
        self._rounds = 1
        # When the aggregators of the current round stop waiting.
        self._round_ends = self._times.cutoff - _MERGE_TIME

    def start(self, now: Instant) -> list[Action]:
        """Ask the aggregators of all groups."""
        if now >= self._latest:
            return self._deliver(Refusal('deadline', RETRY_AFTER))
        if not is_servable(self._route, self._context.directory, now):
            return self._deliver(Refusal('shards-unreachable', RETRY_AFTER))
        actions: list[Action] = []
        for group in self._groups:
            actions.extend(self._ask(group, now))
        return self._settle(actions, now)

    def on_acknowledged(self, attempt_id: int, now: Instant) -> list[Action]:
        """Note that an aggregator has taken a group."""
        group = self._group_by_attempt.get(attempt_id)
        if group is not None and group.attempt_id == attempt_id:
            group.is_acknowledged = True
            group.may_have_run = True
            group.wake_at = max(self._round_ends, now) + _OVERDUE
        return self._settle([], now)

    def on_reply(
        self, attempt_id: int, reply: UpstreamReply, now: Instant
    ) -> list[Action]:
        """Take the reply of an aggregator, or of one shard."""
        group = self._group_by_attempt.get(attempt_id)
        if group is None:
            return self._settle(
                self._pass_on_reply(attempt_id, reply, now), now
            )
        if group.is_over:
            return []
        if reply.merged is not None:
            # It may come from an aggregator that was taken for lost.
            self._finish(group, reply.merged)
            self._learn(reply.merged, now)
            return self._settle([], now)
        if group.attempt_id != attempt_id:
            return []
        return self._settle(self._replace(group, 'refused', now), now)

    def on_failure(
        self, attempt_id: int, kind: FailureKind, now: Instant
    ) -> list[Action]:
        """Take the end of a send without a reply."""
        group = self._group_by_attempt.get(attempt_id)
        if group is None:
            group = self._group_by_send[attempt_id]
            if group.is_over:
                return []
            found = group.direct.on_failure(attempt_id, kind, now)
            return self._settle(self._absorb(group, found, now), now)
        if group.is_over or group.attempt_id != attempt_id:
            return []
        if group.is_acknowledged:
            return self._settle(self._lose(group, 'broken'), now)
        if kind is not FailureKind.not_sent:
            group.may_have_run = True
            group.is_uncertain = True
        return self._settle(self._replace(group, kind.value, now), now)

    def on_timer(self, now: Instant) -> list[Action]:
        """Replace silent aggregators, drive own sends, cut off or give up."""
        actions: list[Action] = []
        for group in list(self._groups):
            if group.is_over or group.wake_at > now:
                continue
            if group.direct is not None:
                found = group.direct.on_timer(now)
                actions.extend(self._absorb(group, found, now))
            else:
                actions.extend(self._replace_silent(group, now))
        return self._settle(actions, now)

    def missing_shards(self) -> dict[str, str]:
        """Return the shards without a reply and why, for the log."""
        missing: dict[str, str] = {}
        for group in self._groups:
            if group.answer is not None:
                missing.update(group.answer.missing)
            elif group.direct is not None:
                missing.update(group.direct.missing_shards())
            else:
                missing.update(dict.fromkeys(group.shards, 'pending'))
        return missing

    @property
    def _answered(self) -> int:
        return sum(_count_answered(group) for group in self._groups)

    def _ask(self, group: _Group, now: Instant) -> list[Action]:
        """Ask the next aggregator, or the shards themselves."""
        while group.candidates:
            aggregator = group.candidates.pop(0)
            if aggregator is None:
                break
            if aggregator.health.is_ejected(now):
                continue
            attempt_id = self._context.next_attempt_id()
            group.attempt_id = attempt_id
            group.aggregator = aggregator
            group.is_acknowledged = False
            group.wake_at = now + _ACK_TIMEOUT
            self._group_by_attempt[attempt_id] = group
            aggregator.health.start_attempt(attempt_id, now)
            return [
                Send(
                    attempt_id,
                    aggregator,
                    min(self.deadline, self._round_ends + _LAST_TIME),
                    group.shards[0],
                    'aggregate',
                    Subgather(
                        group.shards,
                        self._round_ends,
                        group.may_have_run,
                        self._attempts_left(group),
                        group.tried_by_shard,
                    ),
                )
            ]
        return self._ask_directly(group, now)

    def _ask_directly(self, group: _Group, now: Instant) -> list[Action]:
        group.candidates = []
        group.direct = GatherExchange(
            self._request,
            replace(
                self._route,
                shards=group.shards,
                max_attempts=self._attempts_left(group),
                merge=TopKMerge(
                    self._route.merge.count, self._least(group, now)
                ),
            ),
            self._context,
            GatherDeadlines(
                max(self._times.cutoff, now), self._times.early_send_deadline
            ),
            is_retry=group.may_have_run,
            tried_by_shard=group.tried_by_shard,
        )
        return self._absorb(group, group.direct.start(now), now)

    def _attempts_left(self, group: _Group) -> int:
        """Return to how many upstreams a shard's request may still go.

        An aggregator that acknowledged nothing may have sent it to one before
        it was told to stop; what one has told of is counted by name.
        """
        attempts = self._route.max_attempts
        return max(1, attempts - 1) if group.is_uncertain else attempts

    def _least(self, group: _Group, now: Instant) -> float:
        """Return the share of a group that is waited for after the cut-off.

        Before it, whatever is there at the cut-off will do.
        """
        if now < self._times.cutoff:
            return 0
        total = len(self._route.shards)
        needed = self._route.merge.min_shard_share * total - self._answered
        return min(1, max(0, needed / len(group.shards)))

    def _replace(
        self, group: _Group, reason: str, now: Instant
    ) -> list[Action]:
        note = self._note('aggregator-replaced', group, reason)
        return [note, *self._ask(group, now)]

    def _note(self, event: str, group: _Group, reason: str) -> LogEvent:
        return LogEvent(
            event,
            {
                'aggregator': group.aggregator.id,
                'reason': reason,
                'shards': len(group.shards),
            },
        )

    def _replace_silent(self, group: _Group, now: Instant) -> list[Action]:
        group.aggregator.health.record_unresponsive(now)
        abandon = CancelSubgather(group.attempt_id)
        group.attempt_id = None
        if group.is_acknowledged:
            return [abandon, *self._lose(group, 'overdue')]
        # It may have read the request all the same.
        group.may_have_run = True
        group.is_uncertain = True
        return [abandon, *self._replace(group, 'silent', now)]

    def _lose(self, group: _Group, reason: str) -> list[Action]:
        """End a group whose aggregator was lost at work.

        It may have sent to as many upstreams as the route allows.
        """
        missing = dict.fromkeys(group.shards, _LOST_GROUP)
        self._finish(group, MergedAnswer({}, missing, b''))
        return [self._note('aggregator-lost', group, reason)]

    def _pass_on_reply(
        self, attempt_id: int, reply: UpstreamReply, now: Instant
    ) -> list[Action]:
        group = self._group_by_send[attempt_id]
        if group.is_over:
            return []
        found = group.direct.on_reply(attempt_id, reply, now)
        return self._absorb(group, found, now)

    def _absorb(
        self, group: _Group, found: list[Action], now: Instant
    ) -> list[Action]:
        """Take over what a direct gather asks for, and its end."""
        kept: list[Action] = []
        for action in found:
            if isinstance(action, Send):
                self._group_by_send[action.attempt_id] = group
            if isinstance(action, Deliver):
                self._finish(
                    group, to_merged_answer(action.answer, group.direct)
                )
            else:
                kept.append(action)
        if not group.is_over:
            group.wake_at = group.direct.wake_at
        return kept

    def _finish(self, group: _Group, answer: MergedAnswer) -> None:
        group.is_over = True
        if group.direct is not None:
            group.direct.is_done = True
        if answer.digest_by_shard:
            group.may_have_run = True
        group.wake_at = NEVER
        group.answer = answer

    def _learn(self, merged: MergedAnswer, now: Instant) -> None:
        lost = [
            service
            for service, reason in merged.missing.items()
            if reason in _LOST_REASONS
        ]
        if lost:
            self._context.directory.mark_unreachable_from_peers(lost, now)

    def _settle(self, actions: list[Action], now: Instant) -> list[Action]:
        if self.is_done:
            return actions
        is_settled = all(group.is_over for group in self._groups)
        suffices = is_enough(self._route, self._answered)
        is_cut_off = suffices and now >= self._times.cutoff
        if is_settled and not suffices and self._rounds < _MAX_ROUNDS:
            # A late answer is better than none.
            actions = actions + self._ask_missing(now)
            is_settled = all(group.is_over for group in self._groups)
            suffices = is_enough(self._route, self._answered)
        if not is_settled and not is_cut_off and now < self._latest:
            self._schedule(now)
            return actions
        if suffices:
            return actions + self._deliver(self._merge())
        return actions + self._deliver(self._give_up(now))

    def _ask_missing(self, now: Instant) -> list[Action]:
        """Ask for the missing shards once more.

        The next aggregators have a part of the budget for it; in the last
        round this VM asks by itself.
        """
        self._rounds += 1
        self._round_ends = min(now + self._route.target, self._latest)
        actions: list[Action] = []
        if now >= self._latest:
            return actions
        for other in list(self._groups):
            if not set(other.answer.missing.values()) - {_LOST_GROUP}:
                continue
            group = _Group(
                tuple(other.answer.missing),
                [] if self._rounds == _MAX_ROUNDS else other.candidates,
                may_have_run=_may_have_run(other),
                is_uncertain=other.is_uncertain,
                tried_by_shard=other.answer.tried_by_shard,
            )
            other.answer = replace(other.answer, missing={}, tried_by_shard={})
            self._groups.append(group)
            actions.extend(self._ask(group, now))
        return actions

    def _schedule(self, now: Instant) -> None:
        wake_at = min(group.wake_at for group in self._groups)
        if now < self._times.cutoff:
            wake_at = min(wake_at, self._times.cutoff)
        self.wake_at = min(wake_at, self._latest)

    def _merge(self) -> MergedAnswer:
        answers = [
            gathered
            for group in self._groups
            if (gathered := _gathered(group)) is not None
        ]
        digest_by_shard: dict[ServiceId, bytes] = {}
        for answer in answers:
            digest_by_shard.update(answer.digest_by_shard)
        return MergedAnswer(
            digest_by_shard,
            self.missing_shards(),
            merge_top_records(
                (answer.body for answer in answers), self._route.merge.count
            ),
        )

    def _give_up(self, now: Instant) -> Failure | Refusal:
        reason = ','.join(sorted(set(self.missing_shards().values())))
        if not any(_may_have_run(group) for group in self._groups):
            return Refusal(reason, RETRY_AFTER)
        return Failure(reason, now >= self._latest)

    def _deliver(
        self, answer: MergedAnswer | Failure | Refusal
    ) -> list[Action]:
        self.is_done = True
        self.wake_at = NEVER
        return [Deliver(answer)]


def _count_answered(group: _Group) -> int:
    if group.answer is not None:
        return len(group.answer.digest_by_shard)
    return 0 if group.direct is None else group.direct.answered


def _gathered(group: _Group) -> MergedAnswer | None:
    if group.answer is None and group.direct is not None:
        return group.direct.gathered()
    return group.answer


def _may_have_run(group: _Group) -> bool:
    is_own = group.direct is not None and group.direct.may_have_run
    return group.may_have_run or is_own


def _candidates(
    group: ShardGroup, aggregators: Aggregators
) -> list[Upstream | None]:
    """Return the aggregators in their order; None is this VM itself."""
    found: list[Upstream | None] = []
    for vm in group.vms:
        peer = aggregators.peer(vm)
        if peer is not None or vm == aggregators.vm:
            found.append(peer)
    return found
