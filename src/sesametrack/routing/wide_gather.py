"""Gathers over many shards, most of which are delegated to aggregators."""

from dataclasses import replace

from sesametrack.contracts.types import (
    Fingerprint,
    Instant,
    Seconds,
    ServiceId,
)
from sesametrack.routing.aggregators import Aggregators, ShardGroup
from sesametrack.routing.calls import CRASHING, CallContext
from sesametrack.routing.canaries import QUARANTINED, SUSPECT
from sesametrack.routing.desired_state import Route, TopKMerge
from sesametrack.routing.directory import Upstream
from sesametrack.routing.events import (
    Action,
    CallerRequest,
    CancelSubgather,
    Deliver,
    Failure,
    FailureKind,
    GrantAttempts,
    LogEvent,
    MergedAnswer,
    Refusal,
    Send,
    Subgather,
    UpstreamReply,
)
from sesametrack.routing.exchanges import (
    ANSWER_RESERVE,
    NEVER,
    RETRY_AFTER,
    GatherDeadlines,
    GatherExchange,
    exchange_deadline,
    gather_deadlines,
    has_enough_shards,
    is_servable,
    to_merged_answer,
)
from sesametrack.routing.handover import UNREACHABLE_REASONS, HandoverTargets
from sesametrack.routing.link_times import ACK_TIMEOUT
from sesametrack.routing.merge import merge_top_records
from sesametrack.routing.shard_groups import (
    GroupGather,
    is_out_of_reach,
    make_group,
    to_ms,
)

# A timer later than this, or more than this fraction of the aggregators silent
# at once, means that this VM may be the late one.
_MAX_TIMER_LAG: Seconds = 0.005
_SILENT_FRACTION = 0.5
# Time from the cut-off of the aggregators to that of the gather: a reply is
# sent, and this VM reads one after the other, as all that are cut off come at
# once. An exchange takes two thirds of a millisecond of a small VM's core.
_REPLY_SEND_TIME: Seconds = 0.002
_REPLY_READ_TIME: Seconds = 0.00067
# An acknowledged aggregator is considered lost this long after its own
# cut-off. The gather is late by then, and its shards can't be retried, because
# it may have used up their attempts.
_REPLY_GRACE: Seconds = 0.15
# One round before the cut-off, one late round through other aggregators and
# one in which this VM sends to the remaining shards itself.
_MAX_ROUNDS = 3
# Reason given for missing shards whose aggregator was lost after it had
# acknowledged them.
_AGGREGATOR_LOST = 'aggregator-lost'
# Reason given for missing shards whose attempts lost aggregators may have used.
_NO_ATTEMPTS_LEFT = 'no-attempts-left'
# Missing shards for these reasons are not sent again.
_FINAL_REASONS = frozenset(
    (_AGGREGATOR_LOST, _NO_ATTEMPTS_LEFT, CRASHING, QUARANTINED, SUSPECT)
)
# An aggregator must stop this long after its cut-off: this VM then takes over.
_DEADLINE_GRACE: Seconds = 0.02
# VMs of other failure domains that get a group, one after the other.
_MAX_REMOTE_TRIES = 2


class WideGatherExchange:
    """Delegates a gather to aggregators and merges their replies.

    An aggregator that refuses a group or doesn't acknowledge it is replaced
    by the next one, and finally by this VM itself. The answer for a group
    comes from only one of them, so that no shard is counted twice.

    All VMs together must not send a shard's request to more upstreams than
    the route allows, however late they handle their messages. Each attempt
    is therefore granted to one VM, and granted again only if that VM reports
    that it did not use it. With its request an aggregator gets one attempt;
    the others follow when it has acknowledged the group.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        context: CallContext,
        aggregators: Aggregators,
        groups: list[ShardGroup],
        fingerprint: Fingerprint = '',
        targets: HandoverTargets | None = None,
    ) -> None:
        """Prepare a gather over these groups of the route's shards.

        The `targets` are VMs that may reach what the aggregators don't.
        """
        self.deadline = exchange_deadline(request, route)
        self.is_done = False
        self.wake_at: Instant = NEVER
        self._request = request
        self._fingerprint = fingerprint
        self._targets = targets
        self._route = route
        self._context = context
        self._link_times = aggregators.link_times
        self._answer_deadline = self.deadline - ANSWER_RESERVE
        self._deadlines = gather_deadlines(request, route)
        self._groups = [
            make_group(group, aggregators, route.max_attempts)
            for group in groups
        ]
        # Attempts at aggregators are kept apart from attempts at upstreams.
        self._group_by_attempt: dict[int, GroupGather] = {}
        self._group_by_send: dict[int, GroupGather] = {}
        self._has_awaited = False
        self._rounds = 1
        # Cut-off of the aggregators in the current round.
        merge_time = _REPLY_SEND_TIME + _REPLY_READ_TIME * len(groups)
        self._round_cutoff = self._deadlines.cutoff - merge_time

    def start(self, now: Instant) -> list[Action]:
        """Return the first sends of all groups, or a refusal."""
        if now >= self._answer_deadline:
            return self._deliver(Refusal('deadline', RETRY_AFTER))
        if not is_servable(self._route, self._context.directory, now):
            return self._deliver(Refusal('shards-unreachable', RETRY_AFTER))
        actions: list[Action] = []
        for group in self._groups:
            actions.extend(self._send_to_next(group, now))
        return self._answer_if_done(actions, now)

    def on_written(self, attempt_id: int, now: Instant) -> None:
        """Record that the request to an aggregator was written."""
        group = self._group_by_attempt.get(attempt_id)
        if group is not None and group.attempt_id == attempt_id:
            group.record_written(now)

    def on_acknowledged(self, attempt_id: int, now: Instant) -> list[Action]:
        """Record that an aggregator has acknowledged a group."""
        group = self._group_by_attempt.get(attempt_id)
        if group is None or group.attempt_id != attempt_id:
            return self._answer_if_done([], now)
        actions: list[Action] = []
        self._link_times.record(group.aggregator, group.written_at, now)
        max_attempts = group.record_acknowledged(
            max(self._round_cutoff, now) + _REPLY_GRACE
        )
        if max_attempts:
            actions.append(GrantAttempts(attempt_id, max_attempts))
        return self._answer_if_done(actions, now)

    def on_reply(
        self, attempt_id: int, reply: UpstreamReply, now: Instant
    ) -> list[Action]:
        """Handle the reply of an aggregator, or of one shard."""
        group = self._group_by_attempt.get(attempt_id)
        if group is None:
            return self._answer_if_done(
                self._forward_reply(attempt_id, reply, now), now
            )
        if group.is_finished or group.attempt_id != attempt_id:
            return []
        if reply.merged is not None:
            group.finish(reply.merged)
            self._record_unreachable(reply.merged, now)
            return self._answer_if_done([], now)
        group.was_refused = True
        return self._answer_if_done(self._replace(group, 'refused', now), now)

    def on_failure(
        self, attempt_id: int, kind: FailureKind, now: Instant
    ) -> list[Action]:
        """Handle a send that ended without a reply."""
        group = self._group_by_attempt.get(attempt_id)
        if group is None:
            group = self._group_by_send[attempt_id]
            if group.is_finished:
                return []
            requested = group.direct.on_failure(attempt_id, kind, now)
            return self._answer_if_done(
                self._process_actions(group, requested, now), now
            )
        if group.is_finished or group.attempt_id != attempt_id:
            return []
        if group.is_acknowledged:
            return self._answer_if_done(
                self._mark_lost(group, 'broken', now), now
            )
        reason = group.record_failure(kind)
        return self._answer_if_done(self._replace(group, reason, now), now)

    def on_timer(self, now: Instant) -> list[Action]:
        """Replace silent aggregators and run the timers of direct gathers."""
        actions = self._await_unread_acknowledgements(now)
        for group in list(self._groups):
            if group.is_finished or group.wake_at > now:
                continue
            if group.direct is not None:
                requested = group.direct.on_timer(now)
                actions.extend(self._process_actions(group, requested, now))
            else:
                actions.extend(self._replace_silent(group, now))
        return self._answer_if_done(actions, now)

    def give_up(self, now: Instant) -> list[Action]:
        """Answer with the replies so far, if they are enough."""
        if has_enough_shards(self._route, self._reply_count):
            return self._deliver(self._merge())
        return self._deliver(self._answer_failure(now))

    @property
    def attempts_left(self) -> int:
        """Return 0: aggregators may have used them all."""
        return 0

    def missing_shards(self) -> dict[str, str]:
        """Return the shards without a reply, each with the reason."""
        missing: dict[str, str] = {}
        for group in self._groups:
            missing.update(group.missing_shards())
        return missing

    @property
    def _reply_count(self) -> int:
        return sum(group.reply_count for group in self._groups)

    def _send_to_next(self, group: GroupGather, now: Instant) -> list[Action]:
        """Send a group to its next aggregator, or directly to its shards."""
        if not group.attempts_left:
            group.finish_without_replies(_NO_ATTEMPTS_LEFT)
            return []
        aggregator = self._next_aggregator(group, now)
        if aggregator is None:
            return self._send_directly(group, now)
        attempt_id = self._context.next_attempt_id()
        attempts = group.delegate(
            attempt_id,
            aggregator,
            now,
            self._link_times.ack_timeout(aggregator),
        )
        # The reply has to come back in time over a longer link, too.
        round_trip = self._link_times.round_trip(
            aggregator.record.failure_domain
        )
        self._group_by_attempt[attempt_id] = group
        aggregator.health.start_attempt(attempt_id, now)
        return [
            Send(
                attempt_id,
                aggregator,
                min(self.deadline, self._round_cutoff + _DEADLINE_GRACE),
                group.shards[0],
                'aggregate',
                Subgather(
                    group.shards,
                    max(now, self._round_cutoff - round_trip),
                    group.may_have_run,
                    attempts,
                    group.tried_by_shard,
                ),
            )
        ]

    def _next_aggregator(
        self, group: GroupGather, now: Instant
    ) -> Upstream | None:
        """Return the next VM to delegate a group to, None for this one."""
        while group.candidates:
            aggregator = group.candidates.pop(0)
            if aggregator is None:
                break
            if not aggregator.health.is_ejected(now):
                return aggregator
        if group.was_refused or is_out_of_reach(group, self._context.directory):
            return self._choose_remote(group, now)
        return None

    def _choose_remote(
        self, group: GroupGather, now: Instant
    ) -> Upstream | None:
        """Return a VM of another failure domain, None after some of them."""
        tried = group.remote_tried
        if self._targets is None or len(tried) >= _MAX_REMOTE_TRIES:
            return None
        peer = self._targets.choose(self._route, tried, now, is_remote=True)
        if peer is not None:
            tried.add(peer.id.removeprefix('vm/'))
        return peer

    def _send_directly(self, group: GroupGather, now: Instant) -> list[Action]:
        group.candidates = []
        group.attempt_id = None
        group.direct = GatherExchange(
            self._request,
            replace(
                self._route,
                shards=group.shards,
                max_attempts=group.attempts_left,
                merge=TopKMerge(
                    self._route.merge.count, self._required_share(group, now)
                ),
            ),
            self._context,
            GatherDeadlines(
                max(self._deadlines.cutoff, now),
                self._deadlines.early_send_deadline,
            ),
            is_retry=group.may_have_run,
            tried_by_shard=group.tried_by_shard,
            fingerprint=self._fingerprint,
        )
        return self._process_actions(group, group.direct.start(now), now)

    def _required_share(self, group: GroupGather, now: Instant) -> float:
        """Return the share of a group that its direct gather must reach.

        A gather that starts before the cut-off answers at the cut-off with
        any number of shards; one that starts later has to supply what the
        route's minimum share lacks.
        """
        if now < self._deadlines.cutoff:
            return 0
        total = len(self._route.shards)
        needed = self._route.merge.min_shard_share * total - self._reply_count
        return min(1, max(0, needed / len(group.shards)))

    def _replace(
        self, group: GroupGather, reason: str, now: Instant
    ) -> list[Action]:
        event = self._make_event('aggregator-replaced', group, reason, now)
        return [event, *self._send_to_next(group, now)]

    def _make_event(
        self, event: str, group: GroupGather, reason: str, now: Instant
    ) -> LogEvent:
        details = group.describe(reason, self._request.arrived_at, now)
        return LogEvent(event, details)

    def _await_unread_acknowledgements(self, now: Instant) -> list[Action]:
        """Wait once more if this VM may be the late one.

        Its timers may be late, or its network link may be full. Then most
        aggregators seem silent at once, although they are at work.
        """
        delegated = [group for group in self._groups if group.is_delegated]
        silent = [
            group
            for group in delegated
            if group.wake_at <= now and not group.is_acknowledged
        ]
        if not silent or self._has_awaited:
            return []
        lag = now - min(group.wake_at for group in silent)
        is_most = len(silent) > max(1, len(delegated) * _SILENT_FRACTION)
        if lag <= _MAX_TIMER_LAG and not is_most:
            return []
        self._has_awaited = True
        for group in silent:
            group.wake_at = now + ACK_TIMEOUT
        return [
            LogEvent(
                'aggregators-awaited',
                {
                    'silent': len(silent),
                    'delegated': len(delegated),
                    'lag_ms': to_ms(lag),
                },
            )
        ]

    def _replace_silent(self, group: GroupGather, now: Instant) -> list[Action]:
        group.aggregator.health.record_unresponsive(now)
        cancellation = CancelSubgather(group.attempt_id)
        if group.is_acknowledged:
            return [cancellation, *self._mark_lost(group, 'overdue', now)]
        # `on_failure` replaces it when the cancellation is reported.
        group.is_cancelled = True
        group.wake_at = NEVER
        return [cancellation]

    def _mark_lost(
        self, group: GroupGather, reason: str, now: Instant
    ) -> list[Action]:
        """Finish a group whose aggregator was lost after acknowledging it.

        The group is not retried: the aggregator may have sent to as many
        upstreams as the route allows.
        """
        group.finish_without_replies(_AGGREGATOR_LOST)
        return [self._make_event('aggregator-lost', group, reason, now)]

    def _forward_reply(
        self, attempt_id: int, reply: UpstreamReply, now: Instant
    ) -> list[Action]:
        group = self._group_by_send[attempt_id]
        if group.is_finished:
            return []
        requested = group.direct.on_reply(attempt_id, reply, now)
        return self._process_actions(group, requested, now)

    def _process_actions(
        self, group: GroupGather, requested: list[Action], now: Instant
    ) -> list[Action]:
        """Register the sends of a direct gather and finish it on its answer."""
        kept: list[Action] = []
        for action in requested:
            if isinstance(action, Send):
                self._group_by_send[action.attempt_id] = group
            if isinstance(action, Deliver):
                group.finish(to_merged_answer(action.answer, group.direct))
            else:
                kept.append(action)
        if not group.is_finished:
            group.wake_at = group.direct.wake_at
        return kept

    def _record_unreachable(self, merged: MergedAnswer, now: Instant) -> None:
        lost = [
            service
            for service, reason in merged.missing.items()
            if reason in UNREACHABLE_REASONS
        ]
        # An aggregator that reaches hardly any shard has lost its own paths.
        if lost and len(lost) < len(merged.digest_by_shard):
            self._context.directory.mark_unreachable_from_peers(lost, now)

    def _answer_if_done(
        self, actions: list[Action], now: Instant
    ) -> list[Action]:
        if self.is_done:
            return actions
        is_complete = all(group.is_finished for group in self._groups)
        has_enough = has_enough_shards(self._route, self._reply_count)
        is_cut_off = has_enough and now >= self._deadlines.cutoff
        if is_complete and not has_enough and self._rounds < _MAX_ROUNDS:
            # A late answer is worth more than none.
            actions = actions + self._retry_missing(now)
            is_complete = all(group.is_finished for group in self._groups)
            has_enough = has_enough_shards(self._route, self._reply_count)
        if not is_complete and not is_cut_off and now < self._answer_deadline:
            self._schedule(now)
            return actions
        if has_enough:
            return actions + self._deliver(self._merge())
        return actions + self._deliver(self._answer_failure(now))

    def _retry_missing(self, now: Instant) -> list[Action]:
        """Send to the missing shards once more.

        The next round goes to other aggregators, which have their own share
        of the retry budget; in the last round this VM sends itself.
        """
        self._rounds += 1
        self._round_cutoff = min(
            now + self._route.target, self._answer_deadline
        )
        actions: list[Action] = []
        if now >= self._answer_deadline:
            return actions
        for other in list(self._groups):
            if not set(other.answer.missing.values()) - _FINAL_REASONS:
                continue
            group = GroupGather(
                tuple(other.answer.missing),
                self._next_candidates(other, now),
                self._route.max_attempts,
                may_have_run=other.may_have_run_anywhere,
                unreported_attempts=other.unreported_attempts,
                tried_by_shard=other.answer.tried_by_shard,
            )
            other.answer = replace(other.answer, missing={}, tried_by_shard={})
            self._groups.append(group)
            actions.extend(self._send_to_next(group, now))
        return actions

    def _next_candidates(
        self, group: GroupGather, now: Instant
    ) -> list[Upstream | None]:
        """Return which VMs get a group's missing shards in the next round."""
        lost = sum(
            reason in UNREACHABLE_REASONS
            for reason in group.answer.missing.values()
        )
        if lost > len(group.answer.digest_by_shard):
            remote = self._choose_remote(group, now)
            if remote is not None:
                return [remote]
        return [] if self._rounds == _MAX_ROUNDS else group.candidates

    def _schedule(self, now: Instant) -> None:
        wake_at = min(group.wake_at for group in self._groups)
        if now < self._deadlines.cutoff:
            wake_at = min(wake_at, self._deadlines.cutoff)
        self.wake_at = min(wake_at, self._answer_deadline)

    def _merge(self) -> MergedAnswer:
        answers = [
            group_answer
            for group in self._groups
            if (group_answer := group.current_answer) is not None
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

    def _answer_failure(self, now: Instant) -> Failure | Refusal:
        reason = ','.join(sorted(set(self.missing_shards().values())))
        if not any(group.may_have_run_anywhere for group in self._groups):
            return Refusal(reason, RETRY_AFTER)
        return Failure(reason, now >= self._answer_deadline)

    def _deliver(
        self, answer: MergedAnswer | Failure | Refusal
    ) -> list[Action]:
        self.is_done = True
        self.wake_at = NEVER
        return [Deliver(answer)]
