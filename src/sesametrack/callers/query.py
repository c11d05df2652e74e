"""State machine of one query: scatter, hedging, retries and gathering."""

from dataclasses import dataclass, field
from functools import singledispatchmethod

from sesametrack.callers.attempts import Attempt, ShardProgress
from sesametrack.callers.context import QueryContext, ServiceState
from sesametrack.callers.events import (
    CallerDisconnected,
    DeliverAnswer,
    GateStalled,
    LinkLost,
    QueryAction,
    QueryEvent,
    ReplyReceived,
    SendCancel,
    SendFailed,
    SendSubQuery,
    Started,
    TimerFired,
)
from sesametrack.callers.gathering import build_answer
from sesametrack.callers.replicas import Replica, SnapshotPlan
from sesametrack.contracts.answers import Answer
from sesametrack.contracts.messages import (
    Cancel,
    SubQuery,
    SubQueryKind,
    SubQueryReply,
    SubQueryState,
)
from sesametrack.contracts.outcomes import Reason
from sesametrack.contracts.requests import QueryRequest
from sesametrack.contracts.rules import Preference
from sesametrack.contracts.snapshots import Holding
from sesametrack.contracts.types import (
    Instant,
    Milliseconds,
    Seconds,
    UpstreamId,
)

_MS_PER_SECOND: Milliseconds = 1000
# Reserved before the deadline to build and send the answer.
_ANSWER_MARGIN: Seconds = 0.01
_MIN_HEDGE_DELAY: Seconds = 0.004
_INITIAL_BACKOFF: Seconds = 0.01
_MAX_BACKOFF: Seconds = 0.25
_MAX_RESTARTS = 4
_MIN_CANARY_REPLICAS = 2
_MAX_HEDGE_ATTEMPTS = 3

# Refusals after which another replica must run the sub-query although the
# refusing one is not overloaded. Their retries are not charged to the budget.
_UNBUDGETED_RETRY_REASONS = frozenset(
    (
        Reason.draining,
        Reason.failure_domain_out,
        Reason.not_owner,
        Reason.no_gate,
        Reason.snapshot_gone,
        Reason.stopping,
        Reason.unknown_upstream,
        Reason.no_replica,
    )
)


@dataclass(slots=True)
class _Progress:
    shards: list[ShardProgress] = field(default_factory=list)
    shard_by_sub_query: dict[str, ShardProgress] = field(default_factory=dict)


class Query:
    """Turns one admitted request into sub-queries and one answer.

    `handle` applies an event and returns the actions to execute;
    `next_wakeup` returns when TimerFired is due. Replies from any snapshot
    other than the pinned one are never used in the answer.
    """

    def __init__(
        self,
        request: QueryRequest,
        service: ServiceState,
        context: QueryContext,
        now: Instant,
    ) -> None:
        """Initialize the query; nothing is sent before `Started`."""
        self._request = request
        self._service = service
        self._context = context
        self._started_at = now
        timeout = service.rules.deadline
        if request.deadline is not None:
            timeout = min(timeout, request.deadline)
        self.deadline = now + timeout
        self._plan: SnapshotPlan | None = None
        self._progress = _Progress()
        # Attempts on snapshots that a restart replaced. They may have run, so
        # they count for the outcome, but their replies are never used.
        self._superseded_attempts: list[Attempt] = []
        self._restarts = 0
        self._is_canary_stage = False
        self.is_done = False
        # Set when the next wake-up may have moved to an earlier time.
        self.needs_reschedule = True
        # Cached: each access to a singledispatchmethod builds a wrapper.
        self._apply_event = self._apply

    def handle(self, event: QueryEvent, now: Instant) -> list[QueryAction]:
        """Apply an event and return the actions to execute."""
        if self.is_done:
            return []
        actions = self._apply_event(event, now)
        if not self.is_done:
            actions.extend(self._finish_if_due(now))
        return actions

    def next_wakeup(self, now: Instant) -> Instant:
        """Return the time at which TimerFired is due."""
        self.needs_reschedule = False
        times = [self.deadline - _ANSWER_MARGIN]
        if self._service.rules.prefers is Preference.latency:
            target = self._started_at + self._service.rules.target
            if target - _ANSWER_MARGIN > now:
                times.append(target - _ANSWER_MARGIN)
        for shard in self._progress.shards:
            if shard.retry_at is not None:
                times.append(shard.retry_at)
            elif self._can_hedge(shard):
                times.append(shard.waiting_since + self._hedge_delay(now))
        return min(times)

    @singledispatchmethod
    def _apply(self, event: QueryEvent, now: Instant) -> list[QueryAction]:
        raise NotImplementedError(type(event).__name__)

    @_apply.register
    def _on_started(self, event: Started, now: Instant) -> list[QueryAction]:
        self._plan = self._context.table.plan(self._request.service)
        if self._plan is None:
            return self._refuse(Reason.no_replica, now)
        self._create_shards()
        fingerprint = self._request.fingerprint
        if self._context.quarantine.is_quarantined(fingerprint, now):
            return self._refuse(Reason.quarantined, now)
        if self._context.quarantine.is_suspect(fingerprint, now):
            return self._start_canary(now)
        return self._scatter(now)

    @_apply.register
    def _on_reply(
        self, event: ReplyReceived, now: Instant
    ) -> list[QueryAction]:
        reply = event.reply
        shard = self._progress.shard_by_sub_query.get(reply.id)
        attempt = self._close_attempt(reply.id, reply.state, reply.reason)
        if shard is None or attempt is None or shard.is_answered:
            return []
        if reply.state is SubQueryState.answered:
            return self._accept_answer(shard, attempt, reply, now)
        return self._handle_failure(shard, attempt, now)

    @_apply.register
    def _on_send_failed(
        self, event: SendFailed, now: Instant
    ) -> list[QueryAction]:
        shard = self._progress.shard_by_sub_query.get(event.id)
        attempt = self._close_attempt(
            event.id, SubQueryState.not_run, Reason.no_gate
        )
        if shard is None or attempt is None or shard.is_answered:
            return []
        return self._handle_failure(shard, attempt, now)

    @_apply.register
    def _on_link_lost(self, event: LinkLost, now: Instant) -> list[QueryAction]:
        actions: list[QueryAction] = []
        for shard in self._progress.shards:
            for attempt in shard.pending:
                if attempt.gate != event.gate:
                    continue
                self._close_attempt(
                    attempt.id, SubQueryState.unknown, Reason.link_lost
                )
                if not shard.is_answered:
                    actions.extend(self._handle_failure(shard, attempt, now))
        return actions

    @_apply.register
    def _on_gate_stalled(
        self, event: GateStalled, now: Instant
    ) -> list[QueryAction]:
        """Retry on another replica; the retry is not charged to the budget.

        The stalled attempt stays pending and its reply is used if it arrives.
        """
        if not self._request.repeatable or self._is_canary_stage:
            return []
        actions: list[QueryAction] = []
        for shard in self._progress.shards:
            pending_gates = {attempt.gate for attempt in shard.pending}
            if not shard.is_answered and pending_gates == {event.gate}:
                if not set(shard.plan.replicas) <= shard.tried_upstreams:
                    actions.extend(self._send(shard, SubQueryKind.retry, now))
        return actions

    @_apply.register
    def _on_timer(self, event: TimerFired, now: Instant) -> list[QueryAction]:
        actions: list[QueryAction] = []
        if now >= self.deadline - _ANSWER_MARGIN:
            return actions
        for shard in self._progress.shards:
            if shard.is_answered:
                continue
            if shard.retry_at is not None:
                if now >= shard.retry_at:
                    actions.extend(self._retry(shard, now))
            elif self._is_hedge_due(shard, now):
                actions.extend(self._hedge(shard, now))
        return actions

    @_apply.register
    def _on_caller_disconnected(
        self, event: CallerDisconnected, now: Instant
    ) -> list[QueryAction]:
        self.is_done = True
        return self._cancel_pending()

    def _create_shards(self) -> None:
        hashed_key = self._request.hashed_key
        shards = [
            ShardProgress(shard)
            for shard in self._plan.shards
            if hashed_key is None or shard.key_range.contains(hashed_key)
        ]
        self._progress = _Progress(shards)
        self._context.sub_queries_needed += len(shards)

    def _scatter(self, now: Instant) -> list[QueryAction]:
        actions: list[QueryAction] = []
        self._is_canary_stage = False
        unsent = [
            shard
            for shard in self._progress.shards
            if not shard.attempts and not shard.is_answered
        ]
        self._service.hedge_budget.record_primary(len(unsent))
        self._service.retry_budget.record_primary(len(unsent))
        for shard in unsent:
            actions.extend(self._send(shard, SubQueryKind.primary, now))
        return actions

    def _start_canary(self, now: Instant) -> list[QueryAction]:
        # A suspect request may crash its upstream. The canary goes to the
        # shard with the most usable replicas, never to a shard's last one.
        shard = max(self._progress.shards, key=self._count_usable)
        if self._count_usable(shard) < _MIN_CANARY_REPLICAS:
            return self._refuse(Reason.quarantined, now)
        self._is_canary_stage = True
        return self._send(shard, SubQueryKind.canary, now)

    def _count_usable(self, shard: ShardProgress) -> int:
        replica_by_id = self._context.table.replica_by_id
        return sum(
            1
            for upstream in shard.plan.replicas
            if upstream in replica_by_id and replica_by_id[upstream].is_usable
        )

    def _send(
        self, shard: ShardProgress, kind: SubQueryKind, now: Instant
    ) -> list[QueryAction]:
        replica = self._choose_replica(shard, kind, now)
        if replica is None:
            self._schedule_retry(shard, Reason.no_replica, now)
            return []
        attempt = Attempt(
            self._context.next_id(),
            replica.upstream.id,
            replica.gate.id,
            kind,
            now,
        )
        shard.attempts.append(attempt)
        shard.retry_at = None
        self.needs_reschedule = True
        self._progress.shard_by_sub_query[attempt.id] = shard
        replica.outstanding += 1
        sub_query = SubQuery(
            attempt.id,
            attempt.upstream,
            self._plan.snapshot,
            shard.plan.key_range,
            self._request.body,
            (self.deadline - now - _ANSWER_MARGIN / 2) * _MS_PER_SECOND,
            self._request.repeatable,
            self._request.fingerprint,
            kind,
        )
        return [SendSubQuery(attempt.gate, sub_query)]

    def _choose_replica(
        self, shard: ShardProgress, kind: SubQueryKind, now: Instant
    ) -> Replica | None:
        table = self._context.table
        replicas = self._holders(shard)
        if not self._context.is_adaptive:
            usable = [
                upstream_id
                for upstream_id in replicas
                if table.replica_by_id[upstream_id].is_usable
            ]
            return table.replica_by_id[usable[0]] if usable else None
        is_hedge = kind is SubQueryKind.hedge
        excluded = (
            shard.possible_executors if is_hedge else shard.tried_upstreams
        )
        candidates = [
            upstream_id
            for upstream_id in replicas
            if upstream_id not in excluded
        ]
        replica = table.choose_replica(candidates, self._context.rng, now)
        if replica is None and not is_hedge:
            pending_upstreams = {attempt.upstream for attempt in shard.pending}
            others = [
                upstream_id
                for upstream_id in replicas
                if upstream_id not in pending_upstreams
            ]
            replica = table.choose_replica(others, self._context.rng, now)
        return replica

    def _holders(self, shard: ShardProgress) -> list[UpstreamId]:
        """Return the replicas that still hold the pinned snapshot."""
        holding = Holding(self._plan.snapshot, shard.plan.key_range)
        replica_by_id = self._context.table.replica_by_id
        return [
            upstream_id
            for upstream_id in shard.plan.replicas
            if upstream_id in replica_by_id
            and holding in replica_by_id[upstream_id].holdings
        ]

    def _close_attempt(
        self, sub_query_id: str, state: SubQueryState, reason: Reason
    ) -> Attempt | None:
        shard = self._progress.shard_by_sub_query.get(sub_query_id)
        attempts = (
            self._superseded_attempts if shard is None else shard.attempts
        )
        for attempt in attempts:
            if attempt.id == sub_query_id and attempt.is_pending:
                attempt.state = state
                attempt.reason = reason
                self._decrement_outstanding(attempt)
                return attempt
        return None

    def _decrement_outstanding(self, attempt: Attempt) -> None:
        replica = self._context.table.replica_by_id.get(attempt.upstream)
        if replica is not None:
            replica.outstanding = max(0, replica.outstanding - 1)

    def _accept_answer(
        self,
        shard: ShardProgress,
        attempt: Attempt,
        reply: SubQueryReply,
        now: Instant,
    ) -> list[QueryAction]:
        if reply.snapshot != self._plan.snapshot:
            attempt.reason = Reason.snapshot_gone
            return self._handle_failure(shard, attempt, now)
        shard.reply = reply
        shard.retry_at = None
        self._service.hedge_delay.record(
            now - _wait_started_at(shard, attempt), now
        )
        self._context.quarantine.record_success(self._request.fingerprint)
        actions = _cancel_all(shard.pending)
        if self._is_canary_stage:
            actions.extend(self._scatter(now))
        return actions

    def _handle_failure(
        self, shard: ShardProgress, attempt: Attempt, now: Instant
    ) -> list[QueryAction]:
        if attempt.kind is SubQueryKind.hedge and shard.pending:
            return []
        shard.reason = attempt.reason
        if attempt.may_have_run and not self._request.repeatable:
            return []
        if attempt.reason is Reason.quarantined:
            return []
        if attempt.reason is Reason.snapshot_gone:
            return self._handle_snapshot_gone(shard, attempt, now)
        if shard.pending:
            return []
        if self._is_canary_stage:
            return []
        if self._is_last_replica_of_suspect(shard, attempt, now):
            shard.reason = Reason.quarantined
            return []
        if attempt.reason in _UNBUDGETED_RETRY_REASONS:
            if set(shard.plan.replicas) <= shard.tried_upstreams:
                self._schedule_retry(shard, attempt.reason, now)
                return []
            return self._send(shard, SubQueryKind.retry, now)
        return self._retry_within_budget(shard, attempt, now)

    def _is_last_replica_of_suspect(
        self, shard: ShardProgress, attempt: Attempt, now: Instant
    ) -> bool:
        if attempt.reason is not Reason.connection_lost:
            return False
        if any(other.is_answered for other in self._progress.shards):
            # A request that crashes upstreams crashes every one that runs
            # it, and this one has been answered.
            return False
        fingerprint = self._request.fingerprint
        if not self._context.quarantine.is_suspect(fingerprint, now):
            return False
        others = [
            upstream
            for upstream in shard.plan.replicas
            if upstream != attempt.upstream
            and self._context.table.replica_by_id[upstream].is_usable
        ]
        return len(others) < _MIN_CANARY_REPLICAS

    def _retry_within_budget(
        self, shard: ShardProgress, attempt: Attempt, now: Instant
    ) -> list[QueryAction]:
        is_overload = attempt.reason in {Reason.overload, Reason.queue_full}
        if (
            is_overload
            and self._context.table.choose_replica(
                [
                    upstream_id
                    for upstream_id in shard.plan.replicas
                    if upstream_id not in shard.tried_upstreams
                ],
                self._context.rng,
                now,
            )
            is None
        ):
            self._schedule_retry(shard, attempt.reason, now)
            return []
        if not self._service.retry_budget.try_spend():
            self._schedule_retry(shard, attempt.reason, now)
            return []
        return self._send(shard, SubQueryKind.retry, now)

    def _schedule_retry(
        self, shard: ShardProgress, reason: Reason, now: Instant
    ) -> None:
        """Schedule a retry with exponential backoff before the deadline."""
        shard.reason = reason
        backoff = min(_MAX_BACKOFF, _INITIAL_BACKOFF * 2**shard.retry_count)
        shard.retry_count += 1
        shard.retry_at = None
        if now + backoff < self.deadline - _ANSWER_MARGIN:
            shard.retry_at = now + backoff
            self.needs_reschedule = True

    def _retry(self, shard: ShardProgress, now: Instant) -> list[QueryAction]:
        # The current plan may list replicas that have recovered since.
        plan = self._context.table.plan(self._request.service)
        if plan is not None and plan.snapshot == self._plan.snapshot:
            for updated in plan.shards:
                if updated.key_range == shard.plan.key_range:
                    shard.plan = updated
        if not self._holders(shard):
            return self._restart(shard, now)
        is_unbudgeted = (
            shard.reason in _UNBUDGETED_RETRY_REASONS or not shard.attempts
        )
        if not is_unbudgeted and not self._service.retry_budget.try_spend():
            self._schedule_retry(shard, shard.reason, now)
            return []
        shard.retry_at = None
        return self._send(shard, SubQueryKind.retry, now)

    def _handle_snapshot_gone(
        self, shard: ShardProgress, attempt: Attempt, now: Instant
    ) -> list[QueryAction]:
        table = self._context.table
        table.remove_holding(attempt.upstream, self._plan.snapshot)
        others = [
            upstream_id
            for upstream_id in self._holders(shard)
            if upstream_id not in shard.tried_upstreams
        ]
        if table.choose_replica(others, self._context.rng, now) is not None:
            return self._send(shard, SubQueryKind.retry, now)
        if shard.pending:
            return []
        return self._restart(shard, now)

    def _restart(self, shard: ShardProgress, now: Instant) -> list[QueryAction]:
        plan = self._context.table.plan(self._request.service)
        if self._restarts >= _MAX_RESTARTS or not self._should_switch_to(
            plan, now
        ):
            self._schedule_retry(shard, shard.reason, now)
            return []
        if self._non_repeatable_may_have_run():
            return []
        self._restarts += 1
        actions = self._cancel_pending()
        for superseded in self._progress.shards:
            self._superseded_attempts.extend(superseded.attempts)
        self._plan = plan
        self._create_shards()
        return actions + self._scatter(now)

    def _should_switch_to(
        self, plan: SnapshotPlan | None, now: Instant
    ) -> bool:
        """Return whether to restart the query on a plan.

        The holdings of replicas change quickly while a new snapshot is
        rolled out. So a plan with partial coverage is used only in the second
        half of the time to the deadline, and only if it covers more.
        """
        if plan is None or plan.snapshot == self._plan.snapshot:
            return False
        if not plan.uncovered_width:
            return True
        is_late = now > (self._started_at + self.deadline) / 2
        uncovered = sum(
            shard.plan.key_range.width
            for shard in self._progress.shards
            if not shard.is_answered and not self._holders(shard)
        )
        return is_late and plan.uncovered_width < uncovered

    def _non_repeatable_may_have_run(self) -> bool:
        if self._request.repeatable:
            return False
        return any(attempt.may_have_run for attempt in self._all_attempts())

    def _can_hedge(self, shard: ShardProgress) -> bool:
        return (
            self._context.is_adaptive
            and self._request.repeatable
            and not self._is_canary_stage
            and not shard.is_answered
            and shard.hedge_attempts < _MAX_HEDGE_ATTEMPTS
            and len(shard.plan.replicas) > 1
            and len(shard.pending) == 1
        )

    def _hedge_delay(self, now: Instant) -> Seconds:
        return max(_MIN_HEDGE_DELAY, self._service.hedge_delay.current(now))

    def _is_hedge_due(self, shard: ShardProgress, now: Instant) -> bool:
        if not self._can_hedge(shard):
            return False
        return now >= shard.waiting_since + self._hedge_delay(now)

    def _hedge(self, shard: ShardProgress, now: Instant) -> list[QueryAction]:
        # Without an idle slot or budget, the hedge is attempted again later.
        shard.hedge_attempts += 1
        shard.last_hedge_at = now
        self.needs_reschedule = True
        candidates = set(self._holders(shard)) - shard.possible_executors
        replica_by_id = self._context.table.replica_by_id
        has_idle = any(
            upstream_id in replica_by_id
            and replica_by_id[upstream_id].idle_slots > 0
            for upstream_id in candidates
        )
        if not has_idle or not self._service.hedge_budget.try_spend():
            return []
        return self._send(shard, SubQueryKind.hedge, now)

    def _finish_if_due(self, now: Instant) -> list[QueryAction]:
        shards = self._progress.shards
        if all(shard.is_answered for shard in shards):
            return self._deliver(now)
        if self._is_canary_stage:
            canary = next(shard for shard in shards if shard.attempts)
            if canary.is_exhausted:
                return self._refuse(canary.missing_reason(), now)
        elif all(shard.is_answered or shard.is_exhausted for shard in shards):
            return self._deliver(now)
        if now >= self.deadline - _ANSWER_MARGIN:
            return self._deliver(now)
        if self._has_enough_at_target(now):
            return self._deliver(now)
        return []

    def _has_enough_at_target(self, now: Instant) -> bool:
        rules = self._service.rules
        if rules.prefers is not Preference.latency:
            return False
        if now < self._started_at + rules.target - _ANSWER_MARGIN:
            return False
        answered = sum(
            shard.plan.key_range.width
            for shard in self._progress.shards
            if shard.is_answered
        )
        requested = sum(
            shard.plan.key_range.width for shard in self._progress.shards
        )
        return answered > 0 and answered >= rules.least_coverage * requested

    def _cancel_pending(self) -> list[QueryAction]:
        return [
            action
            for shard in self._progress.shards
            for action in _cancel_all(shard.pending)
        ]

    def _all_attempts(self) -> list[Attempt]:
        attempts = list(self._superseded_attempts)
        for shard in self._progress.shards:
            attempts.extend(shard.attempts)
        return attempts

    def _refuse(self, reason: Reason, now: Instant) -> list[QueryAction]:
        for shard in self._progress.shards:
            if not shard.is_answered:
                shard.reason = reason
        return self._deliver(now, reason)

    def _deliver(
        self, now: Instant, reason: Reason = Reason.none
    ) -> list[QueryAction]:
        actions = self._cancel_pending()
        self.is_done = True
        for attempt in self._all_attempts():
            if attempt.is_pending:
                self._decrement_outstanding(attempt)
        actions.append(DeliverAnswer(self._build_answer(now, reason)))
        return actions

    def _build_answer(self, now: Instant, reason: Reason) -> Answer:
        attempts = self._all_attempts()
        return build_answer(
            self._request.request_id,
            self._plan.snapshot if self._plan else None,
            self._progress.shards,
            least_coverage=self._service.rules.least_coverage,
            may_have_run=any(attempt.may_have_run for attempt in attempts),
            elapsed=now - self._started_at,
            reason=reason,
        )


def _cancel_all(attempts: list[Attempt]) -> list[QueryAction]:
    actions: list[QueryAction] = []
    for attempt in attempts:
        if not attempt.is_cancelled:
            attempt.is_cancelled = True
            cancel = Cancel(attempt.id, attempt.upstream)
            actions.append(SendCancel(attempt.gate, cancel))
    return actions


def _wait_started_at(shard: ShardProgress, attempt: Attempt) -> Instant:
    """Return the start of the latency sample of an answered attempt.

    For a hedge it is the start of the attempt before it, which took even
    longer. Otherwise the quantile would miss stragglers and fall until the
    budget is spent on hedges of ordinary sub-queries.
    """
    if attempt.kind is not SubQueryKind.hedge:
        return attempt.sent_at
    position = shard.attempts.index(attempt)
    return shard.attempts[position - 1].sent_at
