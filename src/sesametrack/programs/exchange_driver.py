"""Carries out what exchanges ask for, and tells them what happens."""

from asyncio import AbstractEventLoop, TimerHandle
from collections.abc import Callable
from dataclasses import dataclass
from logging import getLogger

from sesametrack.contracts.types import Instant, Seconds, ServiceId
from sesametrack.links.caller_server import CallerConnection
from sesametrack.links.upstream_pool import PoolOwner
from sesametrack.programs.active_requests import (
    OVERDUE,
    ActiveRequest,
    InFlightSend,
    describe_answer,
)
from sesametrack.programs.pending_sends import build_pending_send
from sesametrack.programs.upstream_pools import UpstreamPools
from sesametrack.routing.directory import UpstreamDirectory
from sesametrack.routing.events import (
    Action,
    Answer,
    CancelSubgather,
    Deliver,
    FailureKind,
    LogEvent,
    ReplyKind,
    Send,
    UpstreamReply,
)
from sesametrack.routing.timing import TimingTable
from sesametrack.routing.wide_gather import WideGatherExchange
from sesametrack.telemetry.journal import log_event
from sesametrack.telemetry.metrics import Metrics

_MS = 1000
# After a caller has left, its sends may still end by themselves for so
# long, which keeps their connections.
_LEFT_GRACE: Seconds = 0.2
# An upstream stops at the time limit that it was given; a send without a
# reply so long after it is on a silent connection.
_OVERDUE: Seconds = 0.25
_SWEEP_INTERVAL: Seconds = 0.1
# A timer that fires so late shows that the process lags behind its input.
_LAG: Seconds = 0.002
_DEFERRAL: Seconds = 0.0005
# Sends that need no line of their own.
_USUAL_SENDS = frozenset(('first', 'aggregate'))
_TRIM_INTERVAL: Seconds = 1

_log = getLogger('forwarder')


@dataclass(slots=True)
class Readiness:
    """Whether callers had better use another VM."""

    is_stopping: bool = False
    # Set while this VM cannot reach what others may reach.
    is_cut_off: bool = False

    @property
    def is_leaving(self) -> bool:
        """Tell whether callers are let go after their answer."""
        return self.is_stopping or self.is_cut_off


class ExchangeDriver(PoolOwner):
    """Owns all requests under way, their sends, timers and answers."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        timings: TimingTable,
        readiness: Readiness,
        limit_of: Callable[[ServiceId], int],
        metrics: Metrics,
        loop: AbstractEventLoop,
        now: Callable[[], Instant],
    ) -> None:
        """Bind the decisions and the clock."""
        self.pools = UpstreamPools(self, limit_of, metrics, loop, now)
        self._directory = directory
        self._timings = timings
        self._readiness = readiness
        self._metrics = metrics
        self._loop = loop
        self._now = now
        self._active_by_connection: dict[CallerConnection, ActiveRequest] = {}
        self._in_flight_by_attempt: dict[int, InFlightSend] = {}
        self._timers: list[TimerHandle | None] = [None, None]

    def start(self) -> None:
        """Begin the periodic work."""
        self._sweep()
        self._trim()

    def close(self) -> None:
        """Close all connections to upstreams."""
        for timer in self._timers:
            if timer is not None:
                timer.cancel()
        self.pools.close()

    @property
    def busy(self) -> int:
        """Number of requests without an answer."""
        return len(self._active_by_connection)

    def run(self, active_request: ActiveRequest) -> None:
        """Begin a request."""
        self._active_by_connection[active_request.connection] = active_request
        now = self._now()
        self._perform(active_request, active_request.exchange.start(now), now)

    def on_left(self, connection: CallerConnection) -> None:
        """Take the leaving of a caller before its answer."""
        active_request = self._active_by_connection.pop(connection, None)
        if active_request is None:
            return
        active_request.connection = None
        now = self._now()
        self._metrics.count('requests.left')
        self._log_end(active_request, 'caller-left', {}, now)
        self._stop(active_request)
        if not active_request.route.is_repeatable:
            # It may have run: it must end by itself.
            return
        for in_flight in self._in_flight_by_attempt.values():
            if in_flight.active_request is active_request:
                in_flight.is_caller_gone = True
                in_flight.abort_at = min(in_flight.abort_at, now + _LEFT_GRACE)

    def on_reply(self, attempt_id: int, reply: UpstreamReply) -> None:
        """Take a whole reply of an upstream."""
        in_flight = self._in_flight_by_attempt.pop(attempt_id, None)
        if in_flight is None:
            return
        now = self._now()
        health = in_flight.upstream.health
        if reply.load is not None:
            health.record_load(*reply.load, now)
        if reply.kind is ReplyKind.succeeded:
            self._record_success(in_flight, attempt_id, now)
        else:
            self._record_failure(in_flight, attempt_id, reply.kind.value, now)
        if reply.kind is ReplyKind.misdirected:
            self._directory.mark_replaced(in_flight.upstream.id)
        active_request = in_flight.active_request
        if not active_request.exchange.is_done:
            self._perform(
                active_request,
                active_request.exchange.on_reply(attempt_id, reply, now),
                now,
            )

    def on_interim(self, attempt_id: int) -> None:
        """Take an aggregator's word that it works on a sub-gather."""
        in_flight = self._in_flight_by_attempt.get(attempt_id)
        if in_flight is None or in_flight.active_request.exchange.is_done:
            return
        exchange = in_flight.active_request.exchange
        if isinstance(exchange, WideGatherExchange):
            now = self._now()
            found = exchange.on_acknowledged(attempt_id, now)
            self._perform(in_flight.active_request, found, now)

    def on_failure(self, attempt_id: int, kind: FailureKind, why: str) -> None:
        """Take the end of a send without a reply."""
        in_flight = self._in_flight_by_attempt.pop(attempt_id, None)
        if in_flight is None:
            return
        now = self._now()
        self._record_failure(in_flight, attempt_id, f'{kind.value}: {why}', now)
        if why == OVERDUE:
            in_flight.upstream.health.record_unreachable(now)
            self.pools.probe(in_flight.upstream.id)
        active_request = in_flight.active_request
        if not active_request.exchange.is_done:
            self._perform(
                active_request,
                active_request.exchange.on_failure(attempt_id, kind, now),
                now,
            )

    def _perform(
        self, active_request: ActiveRequest, actions: list[Action], now: Instant
    ) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(active_request, action, now)
            elif isinstance(action, Deliver):
                self._deliver(active_request, action.answer, now)
            elif isinstance(action, CancelSubgather):
                self._abandon_silent(action.attempt_id)
            elif isinstance(action, LogEvent):
                self._metrics.count(f'decisions.{action.event}')
                log_event(
                    _log,
                    action.event,
                    request_id=active_request.request.id,
                    **action.details,
                )
        exchange = active_request.exchange
        if not exchange.is_done and exchange.wake_at < active_request.timer_at:
            self._schedule(active_request, now)

    def _send(
        self, active_request: ActiveRequest, send: Send, now: Instant
    ) -> None:
        pool = self.pools.pool_for(send.upstream)
        request = active_request.request
        active_request.count_send(send.reason)
        if send.reason not in _USUAL_SENDS:
            log_event(
                _log,
                send.reason,
                request_id=request.id,
                service=send.service,
                upstream=send.upstream.id,
                age_ms=round((now - request.arrived_at) * _MS, 1),
                slowness=round(send.upstream.health.slowness, 2),
            )
        self._metrics.count(f'sends.{send.reason}')
        self._in_flight_by_attempt[send.attempt_id] = InFlightSend(
            active_request,
            send.upstream,
            pool,
            self._timings.for_route(active_request.route),
            send.service,
            now,
            send.deadline + _OVERDUE,
            send.reason,
            is_subgather=send.subgather is not None,
        )
        pool.send(build_pending_send(active_request, send, self._now))

    def _deliver(
        self, active_request: ActiveRequest, answer: Answer, now: Instant
    ) -> None:
        connection = active_request.connection
        active_request.connection = None
        self._stop(active_request)
        outcome, details = describe_answer(answer)
        self._metrics.count(f'answers.{outcome}')
        elapsed_ms = (now - active_request.request.arrived_at) * _MS
        self._metrics.time(f'answers.{outcome}-time', elapsed_ms)
        missing = getattr(active_request.exchange, 'missing_shards', None)
        if missing is not None and outcome != 'whole':
            details['missing'] = missing()
        self._log_end(active_request, outcome, details, now)
        if connection is not None:
            self._active_by_connection.pop(connection, None)
            connection.respond(
                active_request.write(answer),
                is_last=self._readiness.is_stopping
                or (
                    self._readiness.is_cut_off
                    and not active_request.is_subgather
                ),
            )

    def _stop(self, active_request: ActiveRequest) -> None:
        """Let nothing new begin for a request that is over."""
        active_request.exchange.is_done = True
        if active_request.timer is not None:
            active_request.timer.cancel()
        for attempt_id, in_flight in list(self._in_flight_by_attempt.items()):
            if in_flight.active_request is not active_request:
                continue
            if in_flight.is_subgather:
                self._abandon(attempt_id, 'not needed')
            elif in_flight.pool.cancel_waiting(attempt_id):
                in_flight.upstream.health.end_attempt(attempt_id)
                self._in_flight_by_attempt.pop(attempt_id)

    def _abandon_silent(self, attempt_id: int) -> None:
        in_flight = self._in_flight_by_attempt.get(attempt_id)
        self._abandon(attempt_id, 'silent')
        if in_flight is not None:
            self.pools.probe(in_flight.upstream.id)

    def _abandon(self, attempt_id: int, why: str) -> None:
        """Let an aggregator stop; it learns so from its connection."""
        in_flight = self._in_flight_by_attempt.pop(attempt_id, None)
        if in_flight is None:
            return
        in_flight.upstream.health.end_attempt(attempt_id)
        if not in_flight.pool.cancel_waiting(attempt_id):
            in_flight.pool.abort(attempt_id, why)

    def _schedule(self, active_request: ActiveRequest, now: Instant) -> None:
        if active_request.timer is not None:
            active_request.timer.cancel()
        active_request.timer_at = active_request.exchange.wake_at
        active_request.timer = self._loop.call_later(
            max(0, active_request.timer_at - now), self._wake, active_request
        )

    def _wake(self, active_request: ActiveRequest) -> None:
        active_request.timer = None
        planned_at, active_request.timer_at = (
            active_request.timer_at,
            float('inf'),
        )
        if active_request.exchange.is_done:
            return
        now = self._now()
        if now - planned_at > _LAG and not active_request.is_deferred:
            # This process is late, so replies may lie unread: they are read
            # before it is decided that an upstream is slow.
            active_request.is_deferred = True
            active_request.timer_at = now
            active_request.timer = self._loop.call_later(
                _DEFERRAL, self._wake, active_request
            )
            return
        active_request.is_deferred = False
        self._perform(
            active_request, active_request.exchange.on_timer(now), now
        )

    def _record_success(
        self, in_flight: InFlightSend, attempt_id: int, now: Instant
    ) -> None:
        elapsed = now - in_flight.sent_at
        health = in_flight.upstream.health
        if in_flight.is_subgather:
            # Its time is that of its slowest shard, and says nothing of it.
            health.record_reply(attempt_id, elapsed, now)
            return
        health.record_reply(attempt_id, in_flight.timing.median(now), now)
        in_flight.timing.record(elapsed, now)

    def _record_failure(
        self, in_flight: InFlightSend, attempt_id: int, why: str, now: Instant
    ) -> None:
        upstream = in_flight.upstream
        is_ejected = upstream.health.record_failure(attempt_id, now)
        self._metrics.count('sends.failed')
        log_event(
            _log,
            'send-failed',
            request_id=in_flight.active_request.request.id,
            service=in_flight.service,
            upstream=upstream.id,
            why=why,
            kind=in_flight.reason,
            elapsed_ms=round((now - in_flight.sent_at) * _MS, 1),
        )
        if is_ejected:
            self._metrics.count('upstreams.ejected')
            log_event(
                _log,
                'upstream-ejected',
                upstream=upstream.id,
                failures=upstream.health.consecutive_failures,
                for_s=round(upstream.health.ejected_until - now, 2),
            )

    def _sweep(self) -> None:
        now = self._now()
        overdue = [
            attempt_id
            for attempt_id, in_flight in self._in_flight_by_attempt.items()
            if in_flight.abort_at <= now
        ]
        for attempt_id in overdue:
            in_flight = self._in_flight_by_attempt[attempt_id]
            # Each attempt is aborted once; its end comes as a failure.
            in_flight.abort_at = float('inf')
            in_flight.pool.abort(attempt_id, in_flight.why_aborted)
        self._timers[0] = self._loop.call_later(_SWEEP_INTERVAL, self._sweep)

    def _trim(self) -> None:
        self.pools.trim()
        self._metrics.gauge('requests.busy', self.busy)
        self._timers[1] = self._loop.call_later(_TRIM_INTERVAL, self._trim)

    def _log_end(
        self,
        active_request: ActiveRequest,
        outcome: str,
        details: dict[str, object],
        now: Instant,
    ) -> None:
        log_event(
            _log,
            'answered',
            request_id=active_request.request.id,
            outcome=outcome,
            route=active_request.route.name,
            version=active_request.version,
            elapsed_ms=round(
                (now - active_request.request.arrived_at) * _MS, 1
            ),
            sends=active_request.sends,
            hedges=active_request.hedges,
            retries=active_request.retries,
            **details,
        )
