"""The policy of one upstream: limits, queue, health and quarantine."""

from functools import singledispatchmethod

from sesametrack.contracts.inventory import Upstream
from sesametrack.contracts.messages import (
    Handover,
    SubQueryKind,
    UpstreamView,
)
from sesametrack.contracts.outcomes import Reason
from sesametrack.contracts.snapshots import Holding
from sesametrack.contracts.types import Instant, Milliseconds, Seconds
from sesametrack.upstreams.actions import (
    BroadcastSuspicion,
    PublishView,
    SendCancel,
    SendReply,
    SendRequest,
    UpstreamAction,
)
from sesametrack.upstreams.coldstart import ColdStart
from sesametrack.upstreams.connections import ConnectionPool
from sesametrack.upstreams.events import (
    ConnectionEnded,
    ConnectionOpened,
    FailureDomainChanged,
    GateStopping,
    HandoverReceived,
    LeavingReported,
    LoadReported,
    ProbeAnswered,
    Response,
    ResponseKind,
    ResponseReceived,
    SubQueryCancelled,
    SubQueryReceived,
    Ticked,
    UpstreamEvent,
)
from sesametrack.upstreams.foreign import ForeignWork
from sesametrack.upstreams.health import Health
from sesametrack.upstreams.latency import ReferenceServiceTimes
from sesametrack.upstreams.quarantine import Quarantine
from sesametrack.upstreams.queue import DeadlineQueue, QueuedSubQuery
from sesametrack.upstreams.replies import (
    make_lost_reply,
    make_refusal,
    make_reply,
)
from sesametrack.upstreams.running import InFlightRequest, InFlightRequests

_MS: Milliseconds = 1000
_MAX_QUEUE = 512
# A reply is overdue after this many mean response times; then the idle
# connections are probed, since a silent path would take them as well.
_OVERDUE_FACTOR = 10
_MIN_OVERDUE: Seconds = 0.08
# After this time a reply is given up even if the probes beside it were
# answered, since only its own connection may be silent.
_HOPELESS_FACTOR = 50
_MIN_HOPELESS: Seconds = 0.3
# The connection of a request without a reply is closed this long after its
# deadline, or at once if a probe beside it went unanswered.
_DEADLINE_GRACE: Seconds = 0.1

# A request given up holds its slot for this many response times more.
_GHOST_FACTOR = 10
_MIN_GHOST: Seconds = 0.1


class UpstreamPolicy:
    """Decides what one gate does with one upstream.

    Events and the time go in, actions come out; `handle` is the only way
    to change the state. Slots, the cold-start window and the connection
    limit are never exceeded by the actions returned.
    """

    def __init__(
        self,
        upstream: Upstream,
        quarantine: Quarantine,
        now: Instant,
        *,
        is_adaptive: bool = True,
        handover_deadline: Instant = 0,
        reference_times: ReferenceServiceTimes | None = None,
        takeover_delay: Seconds = 0,
    ) -> None:
        """Start cautiously; `is_adaptive` is off for the baseline policy.

        Nothing is started before the former gate's handover, or before the
        instant at which that is due, nor for `takeover_delay` seconds after the
        upstream gave its first sign of life.
        """
        self.upstream = upstream
        self.health = Health(not_owner_until=handover_deadline)
        self.holdings: list[Holding] = []
        self._is_adaptive = is_adaptive
        self._quarantine = quarantine
        self._queue = DeadlineQueue()
        self._pool = ConnectionPool(upstream.slots, upstream.connections)
        self._cold_start = ColdStart(
            upstream.service,
            upstream.slots,
            reference_times or ReferenceServiceTimes(),
            now,
            is_adaptive=is_adaptive,
        )
        self._foreign = ForeignWork()
        self._running = InFlightRequests()
        self._takeover_delay = takeover_delay
        self._is_responsive = False
        self._published: tuple = ()
        # Bound once: each access to a singledispatchmethod makes a wrapper.
        self._apply_event = self._apply

    def handle(
        self, event: UpstreamEvent, now: Instant
    ) -> list[UpstreamAction]:
        """Apply an event and return the actions that follow from it."""
        actions = self._apply_event(event, now)
        actions.extend(self._dispatch(now))
        self._foreign.record_own(len(self._running), now)
        actions.extend(self._publish(now))
        return actions

    def view(self, now: Instant, *, with_holdings: bool) -> UpstreamView:
        """Return what entries need to know to choose a replica."""
        return UpstreamView(
            self.upstream.id,
            self._is_accepting(now),
            self._expected_wait() * _MS,
            self._idle_slots(),
            self._cold_start.service_time.mean * _MS,
            list(self.holdings) if with_holdings else None,
        )

    def make_handover(self) -> Handover:
        """Return the learned state for the next gate of this upstream."""
        return Handover(
            self.upstream.id,
            self._cold_start.window.size,
            self._cold_start.service_time.reference * _MS,
            list(self.holdings),
            len(self._running),
        )

    def describe(self, now: Instant) -> dict[str, object]:
        """Return the state for the debug view."""
        return {
            'in_flight': len(self._running),
            'queued': len(self._queue),
            'window': self._cold_start.window.size,
            'foreign': self._foreign.count,
            'ghosts': self._foreign.ghosts,
            'refusal': self.health.refusal(now).value,
            'service_ms': self._cold_start.service_time.mean * _MS,
            'connections': self._pool.describe(),
            'holdings': self.holdings,
        }

    @property
    def in_flight(self) -> int:
        """Number of requests sent and not yet ended."""
        return len(self._running)

    @property
    def is_responsive(self) -> bool:
        """Tell whether the upstream gave a sign of life since it was silent."""
        return self._is_responsive

    @property
    def is_busy(self) -> bool:
        """Tell whether time matters at once: work is there, or is due."""
        return bool(
            self._running or len(self._queue) or not self._is_responsive
        )

    @property
    def queue_length(self) -> int:
        """Number of sub-queries that wait."""
        return len(self._queue)

    @property
    def window_size(self) -> int:
        """Present size of the concurrency window."""
        return self._cold_start.window.size

    @property
    def connections(self) -> int:
        """Number of pooled connections, opening ones included."""
        return len(self._pool)

    @singledispatchmethod
    def _apply(
        self, event: UpstreamEvent, now: Instant
    ) -> list[UpstreamAction]:
        raise NotImplementedError(type(event).__name__)

    @_apply.register
    def _offer(
        self, event: SubQueryReceived, now: Instant
    ) -> list[UpstreamAction]:
        waiting = QueuedSubQuery(
            event.sender, event.sub_query, event.deadline, now
        )
        reason = self._refusal(waiting, now)
        if reason is not Reason.none:
            return [self._refuse(waiting, reason, now)]
        self._queue.push(waiting)
        return []

    @_apply.register
    def _cancel(
        self, event: SubQueryCancelled, now: Instant
    ) -> list[UpstreamAction]:
        waiting = self._queue.remove(event.id)
        if waiting is not None:
            return [self._refuse(waiting, Reason.cancelled, now)]
        running = self._running.find(event.id)
        if running is None or running.is_cancelled:
            return []
        running.is_cancelled = True
        return [SendCancel(event.id)]

    @_apply.register
    def _open(
        self, event: ConnectionOpened, now: Instant
    ) -> list[UpstreamAction]:
        self._pool.record_open(event.connection, now)
        if self._is_responsive:
            return []
        # An upstream that did not answer is asked before it gets work.
        return self._pool.probe_idle(now, 0)

    @_apply.register
    def _end(
        self, event: ConnectionEnded, now: Instant
    ) -> list[UpstreamAction]:
        self._pool.record_end(event.connection, now)
        if not self._running.has(event.connection):
            return []
        running, in_flight = self._running.record_death(event.connection, now)
        self._cold_start.window.record_failure(now)
        self._add_ghost(now)
        fingerprint = running.sub_query.fingerprint
        self._quarantine.record_crash(
            fingerprint, self.upstream.id, in_flight, now
        )
        return [
            BroadcastSuspicion(self.upstream.id, fingerprint, in_flight),
            self._make_lost_reply(running, now),
        ]

    @_apply.register
    def _probe_answered(
        self, event: ProbeAnswered, now: Instant
    ) -> list[UpstreamAction]:
        self._prove(now)
        self._pool.release(event.connection, now)
        return []

    @_apply.register
    def _respond(
        self, event: ResponseReceived, now: Instant
    ) -> list[UpstreamAction]:
        running = self._running.end(event.connection)
        if event.is_reusable:
            self._pool.release(event.connection, now)
        else:
            self._pool.record_end(event.connection, now)
        if running is None:
            return []
        self._prove(now)
        self._learn(running, event.response, now)
        view = self.view(now, with_holdings=False)
        return [make_reply(running, event.response, view, now)]

    @_apply.register
    def _load(self, event: LoadReported, now: Instant) -> list[UpstreamAction]:
        self._prove(now)
        self._foreign.record_report(event.in_flight, now)
        self.health.is_report_draining = event.is_draining
        if event.is_cold and self._cold_start.window.is_full_size:
            self._cold_start.window.record_failure(now)
        if event.holdings:
            self.holdings = event.holdings
        return []

    @_apply.register
    def _platform(
        self, event: LeavingReported, now: Instant
    ) -> list[UpstreamAction]:
        self.health.is_leaving = event.is_leaving
        return []

    @_apply.register
    def _take_over(
        self, event: HandoverReceived, now: Instant
    ) -> list[UpstreamAction]:
        self.health.not_owner_until = now
        self._cold_start.restore(
            int(event.handover.window), event.handover.service_ms / _MS
        )
        if not self.holdings:
            self.holdings = event.handover.holdings
        for _ in range(event.handover.in_flight):
            self._add_ghost(now)
        return []

    @_apply.register
    def _change_domain(
        self, event: FailureDomainChanged, now: Instant
    ) -> list[UpstreamAction]:
        self.health.is_failure_domain_out = event.is_out
        if not event.is_out:
            return []
        return self._refuse_all(Reason.failure_domain_out, now)

    @_apply.register
    def _stop(self, event: GateStopping, now: Instant) -> list[UpstreamAction]:
        self.health.is_gate_stopping = True
        return self._refuse_all(Reason.not_owner, now)

    @_apply.register
    def _tick(self, event: Ticked, now: Instant) -> list[UpstreamAction]:
        actions: list[UpstreamAction] = []
        late = self._queue.pop_late(now + self._least_run_time())
        for waiting in late:
            actions.append(self._refuse(waiting, Reason.deadline, now))
        if self._is_adaptive:
            actions.extend(self._watch_running(now))
            actions.extend(self._pool.probe_idle(now))
        closing = self._pool.close_overdue(now)
        if closing:
            actions.extend(closing)
            actions.extend(self._give_up_overdue(now))
        actions.extend(
            self._pool.refill(now, is_responsive=self._is_responsive)
        )
        if not self._pool.has_open():
            actions.extend(self._refuse_all(Reason.no_replica, now))
        return actions

    def _refusal(self, waiting: QueuedSubQuery, now: Instant) -> Reason:
        reason = self.health.refusal(now)
        if reason is not Reason.none:
            return reason
        if not self._is_accepting(now):
            return Reason.no_replica
        sub_query = waiting.sub_query
        if self._quarantine.is_quarantined(sub_query.fingerprint, now):
            return Reason.quarantined
        if len(self._queue) >= _MAX_QUEUE:
            return Reason.queue_full
        if sub_query.kind is SubQueryKind.hedge and self._idle_slots() <= 0:
            return Reason.no_idle_slot
        finish = now + self._expected_wait() + self._least_run_time()
        if self._is_adaptive and finish > waiting.deadline:
            return Reason.overload
        return Reason.none

    def _refuse(
        self, waiting: QueuedSubQuery, reason: Reason, now: Instant
    ) -> SendReply:
        view = self.view(now, with_holdings=reason is Reason.snapshot_gone)
        return make_refusal(waiting, reason, view, now)

    def _refuse_all(self, reason: Reason, now: Instant) -> list[UpstreamAction]:
        waiting = self._queue.pop_all()
        return [self._refuse(refused, reason, now) for refused in waiting]

    def _dispatch(self, now: Instant) -> list[UpstreamAction]:
        actions: list[UpstreamAction] = []
        while self._may_start(now):
            waiting = self._queue.peek()
            if waiting is None:
                break
            if not self._running.allow(waiting.sub_query.kind):
                break
            number = self._pool.take_idle(now)
            if number is None:
                actions.extend(
                    self._pool.refill(now, is_responsive=self._is_responsive)
                )
                break
            self._queue.remove(waiting.sub_query.id)
            self._running.start(number, waiting, now)
            actions.append(
                SendRequest(number, waiting.sub_query, waiting.deadline)
            )
        return actions

    def _may_start(self, now: Instant) -> bool:
        if not len(self._queue) or not self._is_responsive:
            return False
        if self.health.refusal(now) is not Reason.none:
            return False
        return self._idle_slots() > 0

    def _idle_slots(self) -> int:
        limit = self._cold_start.window.size - self._foreign.count
        return max(1, limit) - len(self._running) - self._foreign.ghosts

    def _least_run_time(self) -> Seconds:
        return self._cold_start.service_time.mean if self._is_adaptive else 0

    def _expected_wait(self) -> Seconds:
        width = max(1, self._cold_start.window.size)
        ahead = len(self._queue) + max(0, len(self._running) - width + 1)
        return ahead * self._cold_start.service_time.mean / width

    def _learn(
        self, running: InFlightRequest, response: Response, now: Instant
    ) -> None:
        if response.is_draining or response.kind is ResponseKind.draining:
            self.health.record_in_band_drain(now)
        if response.kind in {ResponseKind.shed, ResponseKind.failed}:
            self._cold_start.window.record_failure(now)
        if response.kind is not ResponseKind.answered:
            return
        self._quarantine.record_success(running.queued.sub_query.fingerprint)
        elapsed = now - running.sent_at
        self._cold_start.record_answer(
            elapsed, now, is_counted=running.is_jump_counted
        )

    def _watch_running(self, now: Instant) -> list[UpstreamAction]:
        actions: list[UpstreamAction] = []
        reference = self._cold_start.service_time.reference
        overdue = max(_MIN_OVERDUE, _OVERDUE_FACTOR * reference)
        hopeless = max(_MIN_HOPELESS, _HOPELESS_FACTOR * reference)
        jump_limit = self._cold_start.jump_limit
        for number, running in self._running:
            elapsed = now - running.sent_at
            if elapsed > jump_limit and not running.is_jump_counted:
                running.is_jump_counted = True
                self._cold_start.record_jump(now)
            if elapsed > overdue and not running.has_probed:
                running.has_probed = True
                actions.extend(self._pool.probe_idle(now, 0))
            is_lost = elapsed > hopeless
            if is_lost or now > running.queued.deadline + _DEADLINE_GRACE:
                actions.extend(self._give_up(number, now))
        if not self._is_responsive:
            actions.extend(self._pool.probe_idle(now, 0))
        return actions

    def _give_up_overdue(self, now: Instant) -> list[UpstreamAction]:
        actions: list[UpstreamAction] = []
        for number, running in self._running:
            if running.has_probed:
                actions.extend(self._give_up(number, now))
        return actions

    def _give_up(self, number: int, now: Instant) -> list[UpstreamAction]:
        running = self._running.end(number)
        self._add_ghost(now)
        self._is_responsive = False
        actions = self._pool.close(number)
        actions.append(self._make_lost_reply(running, now))
        return actions

    def _add_ghost(self, now: Instant) -> None:
        hold = _GHOST_FACTOR * self._cold_start.service_time.reference
        self._foreign.add_ghost(now, max(_MIN_GHOST, hold))

    def _make_lost_reply(
        self, running: InFlightRequest, now: Instant
    ) -> SendReply:
        return make_lost_reply(
            running, self.view(now, with_holdings=False), now
        )

    def _prove(self, now: Instant) -> None:
        """Note a sign of life."""
        self._pool.reset_backoff()
        if self._is_responsive:
            return
        self._is_responsive = True
        settled_at = now + self._takeover_delay
        self.health.not_owner_until = max(
            self.health.not_owner_until, settled_at
        )

    def _is_accepting(self, now: Instant) -> bool:
        return (
            self.health.refusal(now) is Reason.none
            and self._is_responsive
            and bool(self.holdings)
            and self._pool.has_open()
        )

    def _publish(self, now: Instant) -> list[UpstreamAction]:
        published = (self._is_accepting(now), tuple(self.holdings))
        if published == self._published:
            return []
        self._published = published
        return [PublishView()]
