"""Executes the actions of exchanges and reports replies and failures back."""

from asyncio import AbstractEventLoop, TimerHandle
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial, singledispatchmethod
from logging import getLogger
from secrets import randbits

from sesametrack.contracts.subgathers import AttemptGrant
from sesametrack.contracts.types import Instant, Seconds, ServiceId, UpstreamId
from sesametrack.links.caller_connection import CallerConnection
from sesametrack.links.upstream_pool import PoolOwner
from sesametrack.programs.active_requests import (
    REPLY_OVERDUE,
    ActiveRequest,
    InFlightSend,
    describe_answer,
)
from sesametrack.programs.crash_watch import CrashWatch, UnansweredSend
from sesametrack.programs.domain_crossings import DomainCrossings
from sesametrack.programs.limit_reports import LimitReports
from sesametrack.programs.pending_sends import build_pending_send
from sesametrack.programs.permit_exchange import PermitCallback
from sesametrack.programs.upstream_notices import UpstreamNotices
from sesametrack.programs.upstream_pools import UpstreamPools
from sesametrack.routing.admission import AdmissionExchange
from sesametrack.routing.directory import Upstream, UpstreamDirectory
from sesametrack.routing.events import (
    Action,
    Admit,
    Answer,
    BorrowExtraSend,
    CancelSubgather,
    Deliver,
    FailureKind,
    GrantAttempts,
    LogEvent,
    ReplyKind,
    RequestPermits,
    Send,
    UpstreamReply,
)
from sesametrack.routing.exchanges import Exchange
from sesametrack.routing.pace import WorkPace
from sesametrack.routing.rollout_evidence import RolloutEvidence
from sesametrack.routing.timing import TimingTable
from sesametrack.routing.wide_gather import WideGatherExchange
from sesametrack.telemetry.metrics import Metrics
from sesametrack.telemetry.structured_log import log_event

_MS_PER_SECOND = 1000
# Sends of a disconnected caller may complete within this time, so that their
# connections can be reused; an abort would close them.
_DISCONNECT_GRACE: Seconds = 0.2
# Upstreams stop working on a request at the deadline sent to them, so a send
# without a reply this long after its deadline is on an unresponsive connection.
_DEADLINE_GRACE: Seconds = 0.25
_SWEEP_INTERVAL: Seconds = 0.1
# A timer that fires later than this means that the process lags behind its
# socket input.
_MAX_TIMER_LAG: Seconds = 0.002
_TIMER_DEFERRAL: Seconds = 0.0005
# Timers later than this are logged: the process was paused, or its event loop
# was busy for as long as an aggregator has to acknowledge a sub-gather.
_LOGGED_TIMER_LAG: Seconds = 0.02
# Send reasons that are too frequent to be logged for each send.
_UNLOGGED_REASONS = frozenset(('first', 'aggregate'))
_CLOSE_EXPIRED_INTERVAL: Seconds = 1
# The id of a grant consists of a number of the process and an attempt's id.
_GRANT_ID_BASE_BITS = 31
_ATTEMPT_ID_BITS = 32

PermitRequester = Callable[[RequestPermits, PermitCallback | None], None]

_log = getLogger('forwarder')


@dataclass(frozen=True, slots=True)
class PeerCalls:
    """Calls to other VMs on behalf of active requests; none of them waits."""

    send_grant: Callable[[UpstreamId, AttemptGrant], None]
    request_permits: PermitRequester
    borrow_extra_send: Callable[[ServiceId], None]
    # Returns the exchange that hands a request on, None if it stays here.
    hand_over: Callable[[ActiveRequest, Answer, Instant], Exchange | None]
    # Counts the sends that leave the failure domain.
    crossings: DomainCrossings


@dataclass(slots=True)
class Readiness:
    """Whether this VM should receive new caller requests."""

    # When all requests must be answered, as the process ends; None if it goes
    # on.
    stops_at: Instant | None = None
    # Set while upstreams out of this VM's reach may be reachable from others.
    is_isolated: bool = False
    # Set while this VM takes several times as long as usual for its own work.
    is_slow: bool = False

    @property
    def is_stopping(self) -> bool:
        """Return whether this VM shuts down."""
        return self.stops_at is not None

    @property
    def is_draining_callers(self) -> bool:
        """Return whether caller connections close after the next response."""
        return self.is_stopping or self.is_isolated


class ExchangeDriver(PoolOwner):
    """Owns all active requests with their sends and timers."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        timings: TimingTable,
        readiness: Readiness,
        connection_limit: Callable[[ServiceId], int],
        peers: PeerCalls,
        crash_watch: CrashWatch,
        metrics: Metrics,
        loop: AbstractEventLoop,
        now: Callable[[], Instant],
    ) -> None:
        """Create the pools; `start` begins the periodic work."""
        self._peers = peers
        # Differs between processes, so that a grant never applies to a
        # sub-gather of an earlier process of this VM.
        self._grant_id_base = randbits(_GRANT_ID_BASE_BITS) << _ATTEMPT_ID_BITS
        self._active_by_grant: dict[int, ActiveRequest] = {}
        self._crash_watch = crash_watch
        self.pools = UpstreamPools(
            self,
            connection_limit,
            self._on_upstream_ended,
            crash_watch.record_connection,
            metrics,
            loop,
            now,
        )
        self.limit_reports = LimitReports(metrics)
        self._notices = UpstreamNotices(metrics)
        # None if versions of upstreams make no difference.
        self.rollout_evidence: RolloutEvidence | None = None
        self.pace = WorkPace()
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
        """Start the periodic checks for overdue sends and idle connections."""
        self._abort_overdue_sends()
        self._close_expired()

    def close(self) -> None:
        """Close all connections to upstreams."""
        for timer in self._timers:
            if timer is not None:
                timer.cancel()
        self.pools.close()

    @property
    def active_count(self) -> int:
        """Number of requests that have not been answered."""
        return len(self._active_by_connection)

    def start_request(self, active_request: ActiveRequest) -> None:
        """Register a request and execute its first actions."""
        self._active_by_connection[active_request.connection] = active_request
        if active_request.grant_id:
            self._active_by_grant[active_request.grant_id] = active_request
        now = self._now()
        self._execute_actions(
            active_request, active_request.exchange.start(now), now
        )
        started_at = self._now()
        self.pace.record(started_at - now, active_request.sends, started_at)

    def answer_all(self) -> None:
        """Answer all active requests with what there is."""
        now = self._now()
        for active_request in list(self._active_by_connection.values()):
            self._execute_actions(
                active_request, active_request.exchange.give_up(now), now
            )

    def on_caller_disconnected(self, connection: CallerConnection) -> None:
        """Finish the request of a caller that disconnected before its answer.

        Sends of repeatable requests are aborted after a grace period.
        """
        active_request = self._active_by_connection.pop(connection, None)
        if active_request is None:
            return
        active_request.connection = None
        now = self._now()
        self._metrics.count('requests.left')
        self._log_outcome(active_request, 'caller-left', {}, now)
        self._finish_request(active_request)
        if not active_request.route.is_repeatable:
            # The upstream may already run it, so it must be left to complete.
            return
        for in_flight in self._in_flight_by_attempt.values():
            if in_flight.active_request is active_request:
                in_flight.is_caller_disconnected = True
                in_flight.abort_at = min(
                    in_flight.abort_at, now + _DISCONNECT_GRACE
                )

    def on_reply(self, attempt_id: int, reply: UpstreamReply) -> None:
        """Record a complete reply and pass it to the exchange."""
        in_flight = self._in_flight_by_attempt.pop(attempt_id, None)
        if in_flight is None:
            return
        now = self._now()
        if reply.kind is not ReplyKind.misdirected:
            self._crash_watch.record_alive(in_flight.upstream)
        health = in_flight.upstream.health
        if reply.load is not None:
            health.record_load(reply.load, now)
        if reply.stated_rate is not None:
            self.limit_reports.record_reply(
                in_flight.upstream, reply.stated_rate, in_flight.sent_at, now
            )
        self._notices.record(in_flight.upstream, in_flight.pool, reply, now)
        if reply.kind is ReplyKind.succeeded:
            self._record_success(in_flight, attempt_id, now)
            self._clear_request(in_flight, reply, now)
        elif reply.pause:
            health.end_attempt(attempt_id)
        else:
            self._record_failure(in_flight, attempt_id, reply.kind.value, now)
        if reply.kind is ReplyKind.misdirected:
            self._directory.mark_replaced(in_flight.upstream.id)
        active_request = in_flight.active_request
        self._record_answer(in_flight, reply, now)
        if not active_request.exchange.is_done:
            self._execute_actions(
                active_request,
                active_request.exchange.on_reply(attempt_id, reply, now),
                now,
            )

    def _record_answer(
        self, in_flight: InFlightSend, reply: UpstreamReply, now: Instant
    ) -> None:
        """Record an answer as evidence of its upstream's version."""
        if self.rollout_evidence is None or in_flight.is_subgather:
            return
        has_run = reply.kind in {ReplyKind.succeeded, ReplyKind.failed}
        self.rollout_evidence.record_answer(
            in_flight.upstream,
            in_flight.active_request.route.name,
            in_flight.sent_at,
            in_flight.written_at or in_flight.sent_at,
            now,
            is_first=in_flight.reason == 'first',
            has_failed=reply.kind is ReplyKind.failed if has_run else None,
        )

    def _record_loss(self, in_flight: InFlightSend, now: Instant) -> None:
        """Record a send without an answer as evidence, too."""
        is_left = in_flight.is_caller_disconnected or in_flight.is_subgather
        if self.rollout_evidence is not None and not is_left:
            self.rollout_evidence.record_loss(
                in_flight.upstream, in_flight.active_request.route.name, now
            )

    def on_written(self, attempt_id: int) -> None:
        """Record when an aggregator's request was written."""
        in_flight = self._in_flight_by_attempt.get(attempt_id)
        if in_flight is None:
            return
        if self.rollout_evidence is not None:
            in_flight.written_at = self._now()
        if not in_flight.is_subgather:
            return
        exchange = in_flight.active_request.exchange
        if isinstance(exchange, WideGatherExchange):
            exchange.on_written(attempt_id, self._now())

    def on_interim(self, attempt_id: int) -> None:
        """Handle an aggregator's acknowledgment of a sub-gather."""
        in_flight = self._in_flight_by_attempt.get(attempt_id)
        if in_flight is None or in_flight.active_request.exchange.is_done:
            return
        exchange = in_flight.active_request.exchange
        if isinstance(exchange, WideGatherExchange):
            now = self._now()
            next_actions = exchange.on_acknowledged(attempt_id, now)
            self._execute_actions(in_flight.active_request, next_actions, now)

    def on_attempts_granted(self, grant: AttemptGrant) -> None:
        """Let a sub-gather that this VM works on use further attempts."""
        active_request = self._active_by_grant.get(grant.grant_id)
        if active_request is None:
            self._metrics.count('grants.late')
            return
        self._metrics.count('grants.taken')
        now = self._now()
        self._execute_actions(
            active_request,
            active_request.exchange.on_attempts_granted(
                grant.max_attempts, now
            ),
            now,
        )

    def on_failure(self, attempt_id: int, kind: FailureKind, why: str) -> None:
        """Record a send that ended without a reply and notify the exchange."""
        in_flight = self._in_flight_by_attempt.pop(attempt_id, None)
        if in_flight is None:
            return
        now = self._now()
        if kind is FailureKind.withdrawn:
            in_flight.upstream.health.end_attempt(attempt_id)
        else:
            self._record_failure(
                in_flight, attempt_id, f'{kind.value}: {why}', now
            )
        is_overdue = kind is FailureKind.broken and why == REPLY_OVERDUE
        if is_overdue:
            in_flight.upstream.health.record_unreachable(now)
            self.pools.probe(in_flight.upstream.id)
        if kind is not FailureKind.not_sent:
            self._record_loss(in_flight, now)
        is_unanswered = is_overdue or kind is FailureKind.closed
        if is_unanswered and not in_flight.is_subgather:
            self._check_for_crash(in_flight, now, is_overdue=is_overdue)
        active_request = in_flight.active_request
        if not active_request.exchange.is_done:
            self._execute_actions(
                active_request,
                active_request.exchange.on_failure(attempt_id, kind, now),
                now,
            )

    def _check_for_crash(
        self, in_flight: InFlightSend, now: Instant, *, is_overdue: bool
    ) -> None:
        """Find out whether the upstream ended while it had the request."""
        active_request = in_flight.active_request
        self._crash_watch.record_unanswered(
            UnansweredSend(
                in_flight.upstream,
                active_request.fingerprint,
                active_request.request.id,
                in_flight.sent_at,
                now,
                is_overdue=is_overdue,
            )
        )
        self.pools.check(in_flight.upstream.id)

    def _has_survived(self, send: UnansweredSend) -> bool:
        return self.pools.has_survived(
            send.upstream, send.silent_since, needs_reply=send.is_overdue
        )

    def _on_upstream_ended(self, upstream: Upstream) -> None:
        self._crash_watch.record_ended(upstream, self._now())

    def _clear_request(
        self, in_flight: InFlightSend, reply: UpstreamReply, now: Instant
    ) -> None:
        """Record that an upstream, or one of an aggregator's, has run it."""
        fingerprint = in_flight.active_request.fingerprint
        services: Iterable[ServiceId] = (in_flight.service,)
        if reply.merged is not None:
            services = reply.merged.digest_by_shard
        elif in_flight.is_subgather and in_flight.active_request.route.shards:
            # The answer to a handed-over gather doesn't name its shards.
            services = ()
        for service in services:
            self._crash_watch.record_success(fingerprint, service, now)

    def _execute_actions(
        self, active_request: ActiveRequest, actions: list[Action], now: Instant
    ) -> None:
        for action in actions:
            self._execute(action, active_request, now)
        exchange = active_request.exchange
        if not exchange.is_done and exchange.wake_at < active_request.timer_at:
            self._schedule_timer(active_request, now)

    @singledispatchmethod
    def _execute(
        self, action: Action, active_request: ActiveRequest, now: Instant
    ) -> None:
        raise TypeError(action)

    @_execute.register
    def _send(
        self, send: Send, active_request: ActiveRequest, now: Instant
    ) -> None:
        pool = self.pools.pool_for(send.upstream)
        request = active_request.request
        active_request.count_send(send.reason)
        if send.reason not in _UNLOGGED_REASONS:
            log_event(
                _log,
                send.reason,
                request_id=request.id,
                service=send.service,
                upstream=send.upstream.id,
                age_ms=round((now - request.arrived_at) * _MS_PER_SECOND, 1),
                slowness=round(send.upstream.health.slowness, 2),
            )
        self._metrics.count(f'sends.{send.reason}')
        self.limit_reports.record_send(send.upstream, send.reason)
        if self.rollout_evidence is not None and not send.is_to_peer:
            self.rollout_evidence.record_send(send.upstream)
        self._peers.crossings.record(
            send.reason, send.upstream.record.failure_domain
        )
        self._in_flight_by_attempt[send.attempt_id] = InFlightSend(
            active_request,
            send.upstream,
            pool,
            self._timings.for_route(active_request.route),
            send.service,
            now,
            send.deadline + _DEADLINE_GRACE,
            send.reason,
            is_subgather=send.is_to_peer,
        )
        grant_id = self._grant_id_base | send.attempt_id
        pool.send(build_pending_send(active_request, send, grant_id, self._now))

    @_execute.register
    def _ask_for_permits(
        self,
        action: RequestPermits,
        active_request: ActiveRequest,
        now: Instant,
    ) -> None:
        callback = None
        if action.is_admission:
            callback = partial(self._on_permits, active_request)
        self._peers.request_permits(action, callback)

    def _on_permits(
        self,
        active_request: ActiveRequest,
        wait: Seconds | None,
        retry_after: Seconds,
    ) -> None:
        exchange = active_request.exchange
        if isinstance(exchange, AdmissionExchange) and not exchange.is_done:
            now = self._now()
            next_actions = exchange.on_permits(wait, retry_after, now)
            self._execute_actions(active_request, next_actions, now)

    @_execute.register
    def _ask_for_extra_send(
        self,
        action: BorrowExtraSend,
        active_request: ActiveRequest,
        now: Instant,
    ) -> None:
        self._peers.borrow_extra_send(action.service)

    @_execute.register
    def _admit(
        self, action: Admit, active_request: ActiveRequest, now: Instant
    ) -> None:
        active_request.exchange = active_request.exchange.admitted
        active_request.log_details['admitted_after_ms'] = round(
            (now - active_request.request.arrived_at) * _MS_PER_SECOND, 1
        )
        self._execute_actions(
            active_request, active_request.exchange.start(now), now
        )

    @_execute.register
    def _deliver(
        self, action: Deliver, active_request: ActiveRequest, now: Instant
    ) -> None:
        answer = action.answer
        if self._hand_over(active_request, answer, now):
            return
        connection = active_request.connection
        active_request.connection = None
        self._finish_request(active_request)
        outcome, details = describe_answer(answer)
        self._metrics.count(f'answers.{outcome}')
        elapsed_ms = (now - active_request.request.arrived_at) * _MS_PER_SECOND
        self._metrics.time(f'answers.{outcome}-time', elapsed_ms)
        missing = getattr(active_request.exchange, 'missing_shards', None)
        if missing is not None and outcome != 'whole':
            details['missing'] = missing()
        self._log_outcome(active_request, outcome, details, now)
        if connection is not None:
            self._active_by_connection.pop(connection, None)
            connection.respond(
                active_request.encode_answer(answer),
                is_last=self._readiness.is_stopping
                or (
                    self._readiness.is_isolated
                    and not active_request.is_subgather
                ),
            )

    def _hand_over(
        self, active_request: ActiveRequest, answer: Answer, now: Instant
    ) -> bool:
        """Hand a request on that this VM can't serve; return whether it is."""
        if active_request.connection is None or active_request.is_handed_over:
            return False
        exchange = self._peers.hand_over(active_request, answer, now)
        if exchange is None:
            return False
        active_request.is_handed_over = True
        self._withdraw_sends(active_request)
        active_request.exchange = exchange
        active_request.timer_at = float('inf')
        self._execute_actions(active_request, exchange.start(now), now)
        return True

    def _finish_request(self, active_request: ActiveRequest) -> None:
        """Cancel the timer, queued sends and sub-gathers of a request."""
        active_request.exchange.is_done = True
        self._active_by_grant.pop(active_request.grant_id, None)
        if active_request.timer is not None:
            active_request.timer.cancel()
        self._withdraw_sends(active_request)

    def _withdraw_sends(self, active_request: ActiveRequest) -> None:
        """Cancel what other VMs do for a request, and what is not written."""
        for attempt_id, in_flight in list(self._in_flight_by_attempt.items()):
            if in_flight.active_request is not active_request:
                continue
            if in_flight.is_subgather:
                self._abandon(attempt_id, 'not needed')
            elif in_flight.pool.cancel_waiting(attempt_id):
                in_flight.upstream.health.end_attempt(attempt_id)
                self._in_flight_by_attempt.pop(attempt_id)

    @_execute.register
    def _cancel_subgather(
        self,
        action: CancelSubgather,
        active_request: ActiveRequest,
        now: Instant,
    ) -> None:
        attempt_id = action.attempt_id
        in_flight = self._in_flight_by_attempt.get(attempt_id)
        kind = self._abandon(attempt_id, 'silent')
        if in_flight is not None:
            self.pools.probe(in_flight.upstream.id)
        if not active_request.exchange.is_done:
            self._execute_actions(
                active_request,
                active_request.exchange.on_failure(attempt_id, kind, now),
                now,
            )

    @_execute.register
    def _grant_attempts(
        self, action: GrantAttempts, active_request: ActiveRequest, now: Instant
    ) -> None:
        in_flight = self._in_flight_by_attempt.get(action.attempt_id)
        if in_flight is not None:
            self._metrics.count('grants.sent')
            self._peers.crossings.record(
                'grant', in_flight.upstream.record.failure_domain
            )
            self._peers.send_grant(
                in_flight.upstream.id,
                AttemptGrant(
                    self._grant_id_base | action.attempt_id,
                    action.max_attempts,
                ),
            )

    def _abandon(self, attempt_id: int, why: str) -> FailureKind:
        """Withdraw a send, or close its connection if it was written.

        An aggregator stops its sub-gather when the connection closes.
        """
        in_flight = self._in_flight_by_attempt.pop(attempt_id, None)
        if in_flight is None:
            return FailureKind.broken
        in_flight.upstream.health.end_attempt(attempt_id)
        if in_flight.pool.cancel_waiting(attempt_id):
            return FailureKind.not_sent
        in_flight.pool.abort(attempt_id, why)
        return FailureKind.broken

    @_execute.register
    def _log_decision(
        self, action: LogEvent, active_request: ActiveRequest, now: Instant
    ) -> None:
        self._metrics.count(f'decisions.{action.event}')
        log_event(
            _log,
            action.event,
            request_id=active_request.request.id,
            **action.details,
        )

    def _schedule_timer(
        self, active_request: ActiveRequest, now: Instant
    ) -> None:
        if active_request.timer is not None:
            active_request.timer.cancel()
        active_request.timer_at = active_request.exchange.wake_at
        active_request.timer = self._loop.call_later(
            max(0, active_request.timer_at - now),
            self._on_timer,
            active_request,
        )

    def _on_timer(self, active_request: ActiveRequest) -> None:
        active_request.timer = None
        planned_at, active_request.timer_at = (
            active_request.timer_at,
            float('inf'),
        )
        if active_request.exchange.is_done:
            return
        now = self._now()
        lag = now - planned_at
        self._metrics.time('timers.lag', lag * _MS_PER_SECOND)
        if lag > _LOGGED_TIMER_LAG:
            log_event(
                _log,
                'timer-late',
                request_id=active_request.request.id,
                lag_ms=round(lag * _MS_PER_SECOND, 1),
            )
        if lag > _MAX_TIMER_LAG and not active_request.is_deferred:
            # The event loop is behind, so replies may be waiting unread. They
            # are read first, before an upstream is treated as slow.
            active_request.is_deferred = True
            active_request.timer_at = now
            active_request.timer = self._loop.call_later(
                _TIMER_DEFERRAL, self._on_timer, active_request
            )
            return
        active_request.is_deferred = False
        self._execute_actions(
            active_request, active_request.exchange.on_timer(now), now
        )

    def _record_success(
        self, in_flight: InFlightSend, attempt_id: int, now: Instant
    ) -> None:
        elapsed = now - in_flight.sent_at
        health = in_flight.upstream.health
        if in_flight.is_subgather:
            # A sub-gather takes as long as its slowest shard, so its time
            # says nothing about the aggregator's own speed.
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
            fingerprint=in_flight.active_request.fingerprint,
            service=in_flight.service,
            upstream=upstream.id,
            why=why,
            kind=in_flight.reason,
            elapsed_ms=round((now - in_flight.sent_at) * _MS_PER_SECOND, 1),
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

    def _abort_overdue_sends(self) -> None:
        now = self._now()
        overdue = [
            attempt_id
            for attempt_id, in_flight in self._in_flight_by_attempt.items()
            if in_flight.abort_at <= now
        ]
        for attempt_id in overdue:
            in_flight = self._in_flight_by_attempt[attempt_id]
            # Abort each attempt once; the pool reports its end as a failure.
            in_flight.abort_at = float('inf')
            in_flight.pool.abort(attempt_id, in_flight.abort_reason)
        self._crash_watch.settle(self._has_survived, now)
        self._timers[0] = self._loop.call_later(
            _SWEEP_INTERVAL, self._abort_overdue_sends
        )

    def _close_expired(self) -> None:
        self.pools.close_expired()
        self.limit_reports.flush()
        self._metrics.traffic.report(self._now())
        self._peers.crossings.flush()
        self._metrics.gauge('requests.busy', self.active_count)
        self._timers[1] = self._loop.call_later(
            _CLOSE_EXPIRED_INTERVAL, self._close_expired
        )

    def _log_outcome(
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
                (now - active_request.request.arrived_at) * _MS_PER_SECOND, 1
            ),
            sends=active_request.sends,
            hedges=active_request.hedges,
            retries=active_request.retries,
            **active_request.log_details,
            **details,
        )
