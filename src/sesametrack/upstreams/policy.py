"""Policy of one upstream: limits, queue, health and quarantine."""

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
    BroadcastConnectionLoss,
    PublishView,
    SendCancel,
    SendReply,
    SendRequest,
    UpstreamAction,
)
from sesametrack.upstreams.concurrency import AdaptiveConcurrency
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
from sesametrack.upstreams.health import Health
from sesametrack.upstreams.in_flight import InFlightRequest, InFlightRequests
from sesametrack.upstreams.latency import ReferenceServiceTimes
from sesametrack.upstreams.quarantine import Quarantine
from sesametrack.upstreams.queue import DeadlineQueue, QueuedSubQuery
from sesametrack.upstreams.replies import (
    make_lost_reply,
    make_refusal,
    make_reply,
)
from sesametrack.upstreams.untracked import UntrackedRequests

_MS_PER_SECOND: Milliseconds = 1000
_MAX_QUEUE_LENGTH = 512
# A response is overdue after this multiple of the reference service time. The
# idle connections are then probed, as a lost network path affects them too.
_OVERDUE_FACTOR = 10
_MIN_OVERDUE_TIME: Seconds = 0.08
# After this multiple a request is abandoned even if the probes on the other
# connections were answered, since only its own connection may be broken.
_ABANDON_FACTOR = 50
_MIN_ABANDON_TIME: Seconds = 0.3
# A request without a response is abandoned and its connection closed this
# long after its deadline; an overdue one at once when a probe times out.
_DEADLINE_GRACE: Seconds = 0.1

# The upstream may still run an abandoned request, so its slot stays reserved
# for this multiple of the reference service time.
_RESERVATION_FACTOR = 10
_MIN_RESERVATION: Seconds = 0.1


class UpstreamPolicy:
    """Decides what one gate does with one upstream.

    `handle` takes an event and the current time, returns actions, and is the
    only method that changes the state. The actions never exceed the slots,
    the concurrency window or the connection limit.
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
        """Start with the smallest window, or all slots if not `is_adaptive`.

        The baseline policy is not adaptive. No request is sent before the
        previous gate's handover or `handover_deadline`, nor within
        `takeover_delay` seconds after the upstream became responsive.
        """
        self.upstream = upstream
        self.health = Health(not_owner_until=handover_deadline)
        self.holdings: list[Holding] = []
        self._is_adaptive = is_adaptive
        self._quarantine = quarantine
        self._queue = DeadlineQueue()
        self._pool = ConnectionPool(upstream.slots, upstream.connections)
        self._concurrency = AdaptiveConcurrency(
            upstream.service,
            upstream.slots,
            reference_times or ReferenceServiceTimes(),
            now,
            is_adaptive=is_adaptive,
        )
        self._untracked = UntrackedRequests()
        self._in_flight = InFlightRequests()
        self._takeover_delay = takeover_delay
        self._is_responsive = False
        self._last_published: tuple = ()
        # Bound once: each access to a singledispatchmethod creates a wrapper.
        self._apply_event = self._apply

    def handle(
        self, event: UpstreamEvent, now: Instant
    ) -> list[UpstreamAction]:
        """Apply an event and return the resulting actions."""
        actions = self._apply_event(event, now)
        actions.extend(self._dispatch(now))
        self._untracked.record_in_flight(len(self._in_flight), now)
        actions.extend(self._publish(now))
        return actions

    def view(self, now: Instant, *, with_holdings: bool) -> UpstreamView:
        """Return the state that entries use to choose a replica."""
        return UpstreamView(
            self.upstream.id,
            self._is_accepting(now),
            self._expected_wait() * _MS_PER_SECOND,
            self._idle_slots(),
            self._concurrency.service_time.mean * _MS_PER_SECOND,
            list(self.holdings) if with_holdings else None,
        )

    def make_handover(self) -> Handover:
        """Return the measured state for the next gate of this upstream."""
        return Handover(
            self.upstream.id,
            self._concurrency.window.size,
            self._concurrency.service_time.reference * _MS_PER_SECOND,
            list(self.holdings),
            len(self._in_flight),
        )

    def describe(self, now: Instant) -> dict[str, object]:
        """Return the state for the debug view."""
        return {
            'in_flight': len(self._in_flight),
            'queued': len(self._queue),
            'window': self._concurrency.window.size,
            'foreign': self._untracked.external_count,
            'ghosts': self._untracked.abandoned_count,
            'refusal': self.health.refusal(now).value,
            'service_ms': self._concurrency.service_time.mean * _MS_PER_SECOND,
            'connections': self._pool.describe(),
            'holdings': self.holdings,
        }

    @property
    def in_flight(self) -> int:
        """Number of requests sent and not yet ended."""
        return len(self._in_flight)

    @property
    def is_responsive(self) -> bool:
        """Return whether a response came since a request was last abandoned."""
        return self._is_responsive

    @property
    def is_busy(self) -> bool:
        """Return whether frequent ticks are needed, for work or for probes."""
        return bool(
            self._in_flight or len(self._queue) or not self._is_responsive
        )

    @property
    def queue_length(self) -> int:
        """Number of queued sub-queries."""
        return len(self._queue)

    @property
    def window_size(self) -> int:
        """Current size of the concurrency window."""
        return self._concurrency.window.size

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
    def _handle_sub_query(
        self, event: SubQueryReceived, now: Instant
    ) -> list[UpstreamAction]:
        queued = QueuedSubQuery(
            event.sender, event.sub_query, event.deadline, now
        )
        reason = self._refusal(queued, now)
        if reason is not Reason.none:
            return [self._refuse(queued, reason, now)]
        self._queue.push(queued)
        return []

    @_apply.register
    def _handle_cancel(
        self, event: SubQueryCancelled, now: Instant
    ) -> list[UpstreamAction]:
        queued = self._queue.remove(event.id)
        if queued is not None:
            return [self._refuse(queued, Reason.cancelled, now)]
        request = self._in_flight.find(event.id)
        if request is None or request.is_cancelled:
            return []
        request.is_cancelled = True
        return [SendCancel(event.id)]

    @_apply.register
    def _handle_open(
        self, event: ConnectionOpened, now: Instant
    ) -> list[UpstreamAction]:
        self._pool.record_open(event.connection, now)
        if self._is_responsive:
            return []
        # An unresponsive upstream must answer a probe before it gets work.
        return self._pool.probe_idle(now, 0)

    @_apply.register
    def _handle_end(
        self, event: ConnectionEnded, now: Instant
    ) -> list[UpstreamAction]:
        self._pool.record_end(event.connection, now)
        if not self._in_flight.has_request(event.connection):
            return []
        request, in_flight = self._in_flight.remove_failed(
            event.connection, now
        )
        self._concurrency.window.record_failure(now)
        self._add_abandoned(now)
        fingerprint = request.sub_query.fingerprint
        self._quarantine.record_crash(
            fingerprint, self.upstream.id, in_flight, now
        )
        return [
            BroadcastConnectionLoss(self.upstream.id, fingerprint, in_flight),
            self._make_lost_reply(request, now),
        ]

    @_apply.register
    def _handle_probe_answer(
        self, event: ProbeAnswered, now: Instant
    ) -> list[UpstreamAction]:
        self._mark_responsive(now)
        self._pool.release(event.connection, now)
        return []

    @_apply.register
    def _handle_response(
        self, event: ResponseReceived, now: Instant
    ) -> list[UpstreamAction]:
        request = self._in_flight.remove(event.connection)
        if event.is_reusable:
            self._pool.release(event.connection, now)
        else:
            self._pool.record_end(event.connection, now)
        if request is None:
            return []
        self._mark_responsive(now)
        self._record_response(request, event.response, now)
        view = self.view(now, with_holdings=False)
        return [make_reply(request, event.response, view, now)]

    @_apply.register
    def _handle_load_report(
        self, event: LoadReported, now: Instant
    ) -> list[UpstreamAction]:
        self._mark_responsive(now)
        self._untracked.record_report(event.in_flight, now)
        self.health.is_report_draining = event.is_draining
        if event.is_cold and self._concurrency.window.is_full_size:
            self._concurrency.window.record_failure(now)
        if event.holdings:
            self.holdings = event.holdings
        return []

    @_apply.register
    def _handle_leaving(
        self, event: LeavingReported, now: Instant
    ) -> list[UpstreamAction]:
        self.health.is_leaving = event.is_leaving
        return []

    @_apply.register
    def _handle_handover(
        self, event: HandoverReceived, now: Instant
    ) -> list[UpstreamAction]:
        self.health.not_owner_until = now
        self._concurrency.restore(
            int(event.handover.window),
            event.handover.service_ms / _MS_PER_SECOND,
        )
        if not self.holdings:
            self.holdings = event.handover.holdings
        for _ in range(event.handover.in_flight):
            self._add_abandoned(now)
        return []

    @_apply.register
    def _handle_domain_change(
        self, event: FailureDomainChanged, now: Instant
    ) -> list[UpstreamAction]:
        self.health.is_failure_domain_out = event.is_out
        if not event.is_out:
            return []
        return self._refuse_all(Reason.failure_domain_out, now)

    @_apply.register
    def _handle_stop(
        self, event: GateStopping, now: Instant
    ) -> list[UpstreamAction]:
        self.health.is_gate_stopping = True
        return self._refuse_all(Reason.not_owner, now)

    @_apply.register
    def _handle_tick(self, event: Ticked, now: Instant) -> list[UpstreamAction]:
        actions: list[UpstreamAction] = []
        expired = self._queue.pop_expired(now + self._expected_run_time())
        for queued in expired:
            actions.append(self._refuse(queued, Reason.deadline, now))
        if self._is_adaptive:
            actions.extend(self._check_in_flight(now))
            actions.extend(self._pool.probe_idle(now))
        closing = self._pool.close_overdue(now)
        if closing:
            actions.extend(closing)
            actions.extend(self._abandon_overdue(now))
        actions.extend(
            self._pool.refill(now, is_responsive=self._is_responsive)
        )
        if not self._pool.has_open():
            actions.extend(self._refuse_all(Reason.no_replica, now))
        return actions

    def _refusal(self, queued: QueuedSubQuery, now: Instant) -> Reason:
        reason = self.health.refusal(now)
        if reason is not Reason.none:
            return reason
        if not self._is_accepting(now):
            return Reason.no_replica
        sub_query = queued.sub_query
        if self._quarantine.is_quarantined(sub_query.fingerprint, now):
            return Reason.quarantined
        if len(self._queue) >= _MAX_QUEUE_LENGTH:
            return Reason.queue_full
        if sub_query.kind is SubQueryKind.hedge and self._idle_slots() <= 0:
            return Reason.no_idle_slot
        finish = now + self._expected_wait() + self._expected_run_time()
        if self._is_adaptive and finish > queued.deadline:
            return Reason.overload
        return Reason.none

    def _refuse(
        self, queued: QueuedSubQuery, reason: Reason, now: Instant
    ) -> SendReply:
        view = self.view(now, with_holdings=reason is Reason.snapshot_gone)
        return make_refusal(queued, reason, view, now)

    def _refuse_all(self, reason: Reason, now: Instant) -> list[UpstreamAction]:
        queued = self._queue.pop_all()
        return [self._refuse(refused, reason, now) for refused in queued]

    def _dispatch(self, now: Instant) -> list[UpstreamAction]:
        actions: list[UpstreamAction] = []
        while self._may_start(now):
            queued = self._queue.peek()
            if queued is None:
                break
            if not self._in_flight.may_start(queued.sub_query.kind):
                break
            number = self._pool.acquire_idle(now)
            if number is None:
                actions.extend(
                    self._pool.refill(now, is_responsive=self._is_responsive)
                )
                break
            self._queue.remove(queued.sub_query.id)
            self._in_flight.add(number, queued, now)
            actions.append(
                SendRequest(number, queued.sub_query, queued.deadline)
            )
        return actions

    def _may_start(self, now: Instant) -> bool:
        if not len(self._queue) or not self._is_responsive:
            return False
        if self.health.refusal(now) is not Reason.none:
            return False
        return self._idle_slots() > 0

    def _idle_slots(self) -> int:
        limit = self._concurrency.window.size - self._untracked.external_count
        return (
            max(1, limit)
            - len(self._in_flight)
            - self._untracked.abandoned_count
        )

    def _expected_run_time(self) -> Seconds:
        return self._concurrency.service_time.mean if self._is_adaptive else 0

    def _expected_wait(self) -> Seconds:
        window_size = max(1, self._concurrency.window.size)
        backlog = len(self._queue) + max(
            0, len(self._in_flight) - window_size + 1
        )
        return backlog * self._concurrency.service_time.mean / window_size

    def _record_response(
        self, request: InFlightRequest, response: Response, now: Instant
    ) -> None:
        if response.is_draining or response.kind is ResponseKind.draining:
            self.health.record_in_band_drain(now)
        if response.kind in {ResponseKind.shed, ResponseKind.failed}:
            self._concurrency.window.record_failure(now)
        if response.kind is not ResponseKind.answered:
            return
        self._quarantine.record_success(request.queued.sub_query.fingerprint)
        elapsed = now - request.sent_at
        self._concurrency.record_response_time(
            elapsed, now, is_counted=request.is_counted_slow
        )

    def _check_in_flight(self, now: Instant) -> list[UpstreamAction]:
        actions: list[UpstreamAction] = []
        reference = self._concurrency.service_time.reference
        overdue_after = max(_MIN_OVERDUE_TIME, _OVERDUE_FACTOR * reference)
        abandon_after = max(_MIN_ABANDON_TIME, _ABANDON_FACTOR * reference)
        slow_threshold = self._concurrency.slow_threshold
        for number, request in self._in_flight:
            elapsed = now - request.sent_at
            if elapsed > slow_threshold and not request.is_counted_slow:
                request.is_counted_slow = True
                self._concurrency.record_slow_response(now)
            if elapsed > overdue_after and not request.is_overdue:
                request.is_overdue = True
                actions.extend(self._pool.probe_idle(now, 0))
            is_abandoned = elapsed > abandon_after
            if is_abandoned or now > request.queued.deadline + _DEADLINE_GRACE:
                actions.extend(self._abandon(number, now))
        if not self._is_responsive:
            actions.extend(self._pool.probe_idle(now, 0))
        return actions

    def _abandon_overdue(self, now: Instant) -> list[UpstreamAction]:
        actions: list[UpstreamAction] = []
        for number, request in self._in_flight:
            if request.is_overdue:
                actions.extend(self._abandon(number, now))
        return actions

    def _abandon(self, number: int, now: Instant) -> list[UpstreamAction]:
        request = self._in_flight.remove(number)
        self._add_abandoned(now)
        self._is_responsive = False
        actions = self._pool.close(number)
        actions.append(self._make_lost_reply(request, now))
        return actions

    def _add_abandoned(self, now: Instant) -> None:
        hold = _RESERVATION_FACTOR * self._concurrency.service_time.reference
        self._untracked.add_abandoned(now, max(_MIN_RESERVATION, hold))

    def _make_lost_reply(
        self, request: InFlightRequest, now: Instant
    ) -> SendReply:
        return make_lost_reply(
            request, self.view(now, with_holdings=False), now
        )

    def _mark_responsive(self, now: Instant) -> None:
        """Record that the upstream has responded."""
        self._pool.reset_backoff()
        if self._is_responsive:
            return
        self._is_responsive = True
        start_at = now + self._takeover_delay
        self.health.not_owner_until = max(self.health.not_owner_until, start_at)

    def _is_accepting(self, now: Instant) -> bool:
        return (
            self.health.refusal(now) is Reason.none
            and self._is_responsive
            and bool(self.holdings)
            and self._pool.has_open()
        )

    def _publish(self, now: Instant) -> list[UpstreamAction]:
        published = (self._is_accepting(now), tuple(self.holdings))
        if published == self._last_published:
            return []
        self._last_published = published
        return [PublishView()]
