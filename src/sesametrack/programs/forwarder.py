"""Drives exchanges: callers' requests in, upstream sends, answers out."""

from asyncio import AbstractEventLoop, TimerHandle
from collections.abc import Callable
from functools import partial
from itertools import count
from logging import getLogger
from random import Random

from sesametrack.contracts.exceptions import ProtocolError, RequestError
from sesametrack.contracts.types import (
    FailureDomainId,
    Instant,
    Seconds,
    ServiceId,
    UpstreamId,
    VmId,
)
from sesametrack.links.caller_server import CallerConnection, IncomingRequest
from sesametrack.links.subgathers import (
    build_subgather,
    read_subgather,
    read_subgather_reply,
    refuse_subgather,
    write_subgather,
)
from sesametrack.links.upstream_pool import (
    PendingSend,
    PoolOwner,
)
from sesametrack.platform.headers import (
    build_send,
    read_reply,
    read_request,
    write_answer,
    write_bad_request,
    write_unrouted,
)
from sesametrack.programs.running import (
    OVERDUE,
    InFlight,
    Running,
    describe_answer,
)
from sesametrack.programs.upstream_links import UpstreamLinks
from sesametrack.routing.budget import RetryBudget
from sesametrack.routing.calls import CallContext
from sesametrack.routing.desired import Route
from sesametrack.routing.directory import UpstreamDirectory
from sesametrack.routing.events import (
    Abandon,
    Action,
    Answer,
    CallerRequest,
    Deliver,
    FailureKind,
    Note,
    Refusal,
    ReplyKind,
    Send,
    UpstreamReply,
)
from sesametrack.routing.exchanges import (
    Exchange,
    GatherExchange,
    SingleExchange,
    gather_times,
    is_out_of_reach,
)
from sesametrack.routing.groups import AGGREGATORS, Aggregators
from sesametrack.routing.pacing import ColdPacer
from sesametrack.routing.routes import RouteTable
from sesametrack.routing.selection import Selector
from sesametrack.routing.shares import (
    UNKNOWN_FLEET,
    LimitShares,
    connection_share,
)
from sesametrack.routing.timing import TimingTable
from sesametrack.routing.wide_gather import WideGatherExchange
from sesametrack.telemetry.journal import log_event
from sesametrack.telemetry.metrics import Metrics
from sesametrack.vms.watchers import FleetVm

_MS = 1000
# After a caller has left, its sends may still end by themselves for so
# long, which keeps their connections.
_LEFT_GRACE: Seconds = 0.2
# An upstream stops at the time limit that it was given; a send without a
# reply so long after it is on a silent connection.
_OVERDUE: Seconds = 0.25
_SWEEP_INTERVAL: Seconds = 0.1
_TRIM_INTERVAL: Seconds = 1
# A route counts as in use for so long after a request.
_ROUTE_IN_USE: Seconds = 5
# A timer that fires so late shows that the process lags behind its input.
_LAG: Seconds = 0.002
_DEFERRAL: Seconds = 0.0005
# Sends that need no line of their own.
_USUAL_SENDS = frozenset(('first', 'aggregate'))
# Sub-gathers under way at one aggregator at the same time.
_MAX_PEER_CONNECTIONS = 8
_WARM_USUAL: Seconds = 0.01
_NO_STATE_RETRY_AFTER: Seconds = 0.1

_log = getLogger('forwarder')


class Forwarder(PoolOwner):
    """Owns all requests, sends and pools of this router."""

    def __init__(
        self,
        vm: VmId,
        vm_domain: FailureDomainId,
        budget: RetryBudget,
        metrics: Metrics,
        loop: AbstractEventLoop,
        now: Callable[[], Instant],
        rng: Random,
    ) -> None:
        """Build the decisions and bind the clock."""
        self.routes = RouteTable()
        self.directory = UpstreamDirectory()
        self.aggregators = Aggregators(vm, vm_domain)
        self.budget = budget
        self.is_stopping = False
        # Set while this VM cannot reach what others may reach.
        self.is_cut_off = False
        self.vm_count = UNKNOWN_FLEET
        self._shares = LimitShares(UNKNOWN_FLEET)
        self._metrics = metrics
        self._loop = loop
        self._now = now
        self._pacer = ColdPacer()
        self._timings = TimingTable()
        self._context = CallContext(
            self.directory,
            Selector(vm_domain, self._pacer, rng),
            budget,
            self._pacer,
            self._timings,
            partial(next, count(1)),
            self._max_connections,
        )
        self._running_by_connection: dict[CallerConnection, Running] = {}
        self._in_flight_by_attempt: dict[int, InFlight] = {}
        self._links = UpstreamLinks(
            self, self._max_connections, metrics, loop, now
        )
        self._used_at_by_route: dict[str, Instant] = {}
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
        self._links.close()

    @property
    def is_leaving(self) -> bool:
        """Tell whether callers had better use another VM."""
        return self.is_stopping or self.is_cut_off

    @property
    def busy(self) -> int:
        """Number of requests without an answer."""
        return len(self._running_by_connection)

    @property
    def opened(self) -> int:
        """Number of connections opened to listed upstreams."""
        return self._links.opened

    def out_of_reach(self) -> list[str]:
        """Return all routes whose listed upstreams are out of reach."""
        if self.routes.state is None:
            return []
        now = self._now()
        # Many routes share their services.
        is_out_by_key: dict[tuple[object, ...], bool] = {}
        found = []
        for route in self.routes.state.routes:
            key = (route.services, route.merge)
            if key not in is_out_by_key:
                is_out_by_key[key] = is_out_of_reach(route, self.directory, now)
            if is_out_by_key[key]:
                found.append(route.name)
        return found

    def routes_in_use(self) -> set[str]:
        """Return the routes that had requests lately."""
        earliest = self._now() - _ROUTE_IN_USE
        self._used_at_by_route = {
            name: used_at
            for name, used_at in self._used_at_by_route.items()
            if used_at >= earliest
        }
        return set(self._used_at_by_route)

    def divide(self, vm_count: int) -> None:
        """Take this VM's share of every limit of the whole fleet."""
        self.vm_count = vm_count
        gathers = set()
        if self.routes.state is not None:
            gathers = {route.shards for route in self.routes.state.routes}
        self._shares = self.aggregators.shares(vm_count, gathers)
        self.budget.divide(self._shares)
        self._pacer.divide(self._shares)
        self._links.apply_limits()

    def apply_state(self) -> None:
        """Take over the limits of a new desired state."""
        state = self.routes.state
        self._pacer.configure(state.service_by_id)
        self._timings.retain({route.name for route in state.routes})
        self.divide(self.vm_count)

    def warm(self) -> None:
        """Open a connection to the likely upstream of each shard.

        The first gather of a process would else open as many at once.
        """
        if self.routes.state is None or not self.directory.is_known:
            return
        now = self._now()
        scattered = {route.shards for route in self.routes.state.routes}
        services = {
            service
            for shards in scattered
            for service in self._asked_directly(shards)
        }
        chosen = [
            self._context.selector.choose(
                self.directory.usable(service), set(), _WARM_USUAL, 1, now
            )
            for service in sorted(services)
        ]
        self._links.open_ahead([one for one in chosen if one is not None])

    def _asked_directly(
        self, shards: tuple[ServiceId, ...]
    ) -> tuple[ServiceId, ...]:
        """Return the shards of a gather that this VM sends to itself."""
        if not self.aggregators.groups(shards):
            return shards
        return tuple(
            shard
            for shard in shards
            if self._shares.rank_by_service.get(shard) == 0
        )

    def apply_fleet(self, fleet: list[FleetVm], vm_count: int) -> None:
        """Take over the live VMs, which share the limits and the work."""
        is_changed, gone = self.aggregators.apply(fleet)
        self._links.forget(gone)
        if is_changed or vm_count != self.vm_count:
            self.divide(vm_count)

    def forget(self, upstream_ids: list[UpstreamId]) -> None:
        """Let go of upstreams that are no longer listed."""
        for upstream_id in upstream_ids:
            self._pacer.forget(upstream_id)
        self._links.forget(upstream_ids)

    # Callers.

    def on_request(
        self, connection: CallerConnection, incoming: IncomingRequest
    ) -> None:
        """Route one whole request."""
        try:
            request = read_request(incoming)
        except RequestError as refused:
            self._metrics.count('requests.bad')
            log_event(_log, 'bad-request', problem=str(refused))
            connection.respond(
                write_bad_request(str(refused)), is_last=self.is_leaving
            )
            return
        route = None
        if self.routes.state is not None and self.directory.is_known:
            route = self.routes.find(request.host, request.path)
            if route is None:
                self._answer_unrouted(connection, request)
                return
        if route is None:
            refusal = Refusal('no-desired-state', _NO_STATE_RETRY_AFTER)
            self._refuse(connection, request, refusal)
            return
        self._begin(connection, request, route)

    def on_subgather(
        self, connection: CallerConnection, incoming: IncomingRequest
    ) -> None:
        """Send another VM's request to some shards of its route."""
        try:
            request, route, times, may_have_run = read_subgather(incoming)
        except ProtocolError as refused:
            log_event(_log, 'subgather-refused', 30, problem=str(refused))
            connection.respond(refuse_subgather(str(refused)), is_last=True)
            return
        if self.is_stopping or not self.directory.is_known:
            log_event(
                _log,
                'subgather-refused',
                request_id=request.id,
                is_stopping=self.is_stopping,
            )
            connection.respond(
                refuse_subgather('not-ready'), is_last=self.is_stopping
            )
            return
        connection.acknowledge()
        exchange = GatherExchange(
            request, route, self._context, times, is_repeat=may_have_run
        )
        self._metrics.count('subgathers.started')
        self._run(
            Running(
                request,
                route,
                exchange,
                connection,
                self.routes.version,
                partial(write_subgather, exchange=exchange),
                is_subgather=True,
            )
        )

    def on_left(self, connection: CallerConnection) -> None:
        """Take the leaving of a caller before its answer."""
        running = self._running_by_connection.pop(connection, None)
        if running is None:
            return
        running.connection = None
        now = self._now()
        self._metrics.count('requests.left')
        self._log_end(running, 'caller-left', {}, now)
        self._stop(running)
        if not running.route.is_repeatable:
            # It may have run: it must end by itself.
            return
        for in_flight in self._in_flight_by_attempt.values():
            if in_flight.running is running:
                in_flight.is_caller_gone = True
                in_flight.abort_at = min(in_flight.abort_at, now + _LEFT_GRACE)

    def on_refused(self, status: int) -> None:
        """Count a request that broke a limit or the protocol."""
        self._metrics.count(f'requests.refused-{status}')
        log_event(_log, 'request-refused', status=status)

    # Upstreams.

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
            self.directory.mark_replaced(in_flight.upstream.id)
        running = in_flight.running
        if not running.exchange.is_done:
            self._perform(
                running, running.exchange.on_reply(attempt_id, reply, now), now
            )

    def on_interim(self, attempt_id: int) -> None:
        """Take an aggregator's word that it works on a sub-gather."""
        in_flight = self._in_flight_by_attempt.get(attempt_id)
        if in_flight is None or in_flight.running.exchange.is_done:
            return
        exchange = in_flight.running.exchange
        if isinstance(exchange, WideGatherExchange):
            now = self._now()
            found = exchange.on_acknowledged(attempt_id, now)
            self._perform(in_flight.running, found, now)

    def on_failure(self, attempt_id: int, kind: FailureKind, why: str) -> None:
        """Take the end of a send without a reply."""
        in_flight = self._in_flight_by_attempt.pop(attempt_id, None)
        if in_flight is None:
            return
        now = self._now()
        self._record_failure(in_flight, attempt_id, f'{kind.value}: {why}', now)
        if why == OVERDUE:
            in_flight.upstream.health.record_unreachable(now)
            self._links.probe(in_flight.upstream.id)
        running = in_flight.running
        if not running.exchange.is_done:
            self._perform(
                running, running.exchange.on_failure(attempt_id, kind, now), now
            )

    # Exchanges.

    def _begin(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        route: Route,
    ) -> None:
        self._used_at_by_route[route.name] = request.arrived_at
        self._metrics.count('requests.started')
        self._run(
            Running(
                request,
                route,
                self._exchange(request, route),
                connection,
                self.routes.version,
                partial(write_answer, request_id=request.id),
            )
        )

    def _exchange(self, request: CallerRequest, route: Route) -> Exchange:
        if not route.shards:
            service = self.routes.choose_branch(route)
            return SingleExchange(request, route, service, self._context)
        groups = self.aggregators.groups(route.shards)
        if groups:
            return WideGatherExchange(
                request, route, self._context, self.aggregators, groups
            )
        times = gather_times(request, route)
        return GatherExchange(request, route, self._context, times)

    def _run(self, running: Running) -> None:
        self._running_by_connection[running.connection] = running
        now = self._now()
        self._perform(running, running.exchange.start(now), now)

    def _perform(
        self, running: Running, actions: list[Action], now: Instant
    ) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(running, action, now)
            elif isinstance(action, Deliver):
                self._deliver(running, action.answer, now)
            elif isinstance(action, Abandon):
                self._abandon(action.attempt_id, 'replaced')
            elif isinstance(action, Note):
                self._metrics.count(f'decisions.{action.event}')
                log_event(
                    _log,
                    action.event,
                    request_id=running.request.id,
                    **action.details,
                )
        exchange = running.exchange
        if not exchange.is_done and exchange.wake_at < running.timer_at:
            self._schedule(running, now)

    def _send(self, running: Running, send: Send, now: Instant) -> None:
        pool = self._links.pool(send.upstream)
        request = running.request
        running.count_send(send.reason)
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
        self._in_flight_by_attempt[send.attempt_id] = InFlight(
            running,
            send.upstream,
            pool,
            self._timings.of(running.route),
            send.service,
            now,
            send.deadline + _OVERDUE,
            send.reason,
            is_subgather=send.subgather is not None,
        )
        pool.send(self._plan_send(running, send))

    def _plan_send(self, running: Running, send: Send) -> PendingSend:
        request = running.request
        if send.subgather is not None:
            return PendingSend(
                send.attempt_id,
                partial(
                    build_subgather, request, running.route, send, self._now
                ),
                read_subgather_reply,
                is_repeatable=True,
            )
        return PendingSend(
            send.attempt_id,
            partial(
                build_send, request, send.upstream.id, send.deadline, self._now
            ),
            partial(read_reply, request.id.encode('latin-1')),
            running.route.is_repeatable,
        )

    def _deliver(self, running: Running, answer: Answer, now: Instant) -> None:
        connection = running.connection
        running.connection = None
        self._stop(running)
        outcome, details = describe_answer(answer)
        self._metrics.count(f'answers.{outcome}')
        elapsed_ms = (now - running.request.arrived_at) * _MS
        self._metrics.time(f'answers.{outcome}-time', elapsed_ms)
        missing = getattr(running.exchange, 'missing_shards', None)
        if missing is not None and outcome != 'whole':
            details['missing'] = missing()
        self._log_end(running, outcome, details, now)
        if connection is not None:
            self._running_by_connection.pop(connection, None)
            connection.respond(
                running.write(answer),
                is_last=self.is_stopping
                or (self.is_cut_off and not running.is_subgather),
            )

    def _stop(self, running: Running) -> None:
        """Let nothing new begin for a request that is over."""
        running.exchange.is_done = True
        if running.timer is not None:
            running.timer.cancel()
        for attempt_id, in_flight in list(self._in_flight_by_attempt.items()):
            if in_flight.running is not running:
                continue
            if in_flight.is_subgather:
                self._abandon(attempt_id, 'not needed')
            elif in_flight.pool.withdraw(attempt_id):
                in_flight.upstream.health.end(attempt_id)
                self._in_flight_by_attempt.pop(attempt_id)

    def _abandon(self, attempt_id: int, why: str) -> None:
        """Let an aggregator stop; it learns so from its connection."""
        in_flight = self._in_flight_by_attempt.pop(attempt_id, None)
        if in_flight is None:
            return
        in_flight.upstream.health.end(attempt_id)
        if not in_flight.pool.withdraw(attempt_id):
            in_flight.pool.abort(attempt_id, why)

    def _schedule(self, running: Running, now: Instant) -> None:
        if running.timer is not None:
            running.timer.cancel()
        running.timer_at = running.exchange.wake_at
        running.timer = self._loop.call_later(
            max(0, running.timer_at - now), self._wake, running
        )

    def _wake(self, running: Running) -> None:
        running.timer = None
        planned_at, running.timer_at = running.timer_at, float('inf')
        if running.exchange.is_done:
            return
        now = self._now()
        if now - planned_at > _LAG and not running.is_deferred:
            # This process is late, so replies may lie unread: they are read
            # before it is decided that an upstream is slow.
            running.is_deferred = True
            running.timer_at = now
            running.timer = self._loop.call_later(
                _DEFERRAL, self._wake, running
            )
            return
        running.is_deferred = False
        self._perform(running, running.exchange.on_time(now), now)

    def _refuse(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        refusal: Refusal,
    ) -> None:
        self._metrics.count('answers.refused')
        log_event(_log, 'refused', request_id=request.id, reason=refusal.reason)
        connection.respond(
            write_answer(refusal, request.id), is_last=self.is_leaving
        )

    def _answer_unrouted(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        self._metrics.count('answers.unrouted')
        log_event(
            _log,
            'unrouted',
            request_id=request.id,
            host=request.host,
            path=request.path,
            version=self.routes.version,
        )
        connection.respond(write_unrouted(request.id), is_last=self.is_leaving)

    def _max_connections(self, service: ServiceId) -> int:
        if service == AGGREGATORS:
            return _MAX_PEER_CONNECTIONS
        spec = None
        if self.routes.state is not None:
            spec = self.routes.state.service_by_id.get(service)
        if spec is None:
            return 1
        return connection_share(
            spec.max_connections, self._shares.part(service)
        )

    def _record_success(
        self, in_flight: InFlight, attempt_id: int, now: Instant
    ) -> None:
        elapsed = now - in_flight.sent_at
        health = in_flight.upstream.health
        if in_flight.is_subgather:
            # Its time is that of its slowest shard, and says nothing of it.
            health.record_reply(attempt_id, elapsed, now)
            return
        health.record_reply(attempt_id, in_flight.timing.usual(now), now)
        in_flight.timing.record(elapsed, now)

    def _record_failure(
        self, in_flight: InFlight, attempt_id: int, why: str, now: Instant
    ) -> None:
        upstream = in_flight.upstream
        is_ejected = upstream.health.record_failure(attempt_id, now)
        self._metrics.count('sends.failed')
        log_event(
            _log,
            'send-failed',
            request_id=in_flight.running.request.id,
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
                failures=upstream.health.failures_in_row,
                for_s=round(upstream.health.ejected_until - now, 2),
            )

    # Periodic work.

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
        self.forget(self.directory.expire(now))
        self._timers[0] = self._loop.call_later(_SWEEP_INTERVAL, self._sweep)

    def _trim(self) -> None:
        self._links.trim()
        self._metrics.gauge('requests.busy', self.busy)
        self._timers[1] = self._loop.call_later(_TRIM_INTERVAL, self._trim)

    def _log_end(
        self,
        running: Running,
        outcome: str,
        details: dict[str, object],
        now: Instant,
    ) -> None:
        log_event(
            _log,
            'answered',
            request_id=running.request.id,
            outcome=outcome,
            route=running.route.name,
            version=running.version,
            elapsed_ms=round((now - running.request.arrived_at) * _MS, 1),
            sends=running.sends,
            hedges=running.hedges,
            retries=running.retries,
            **details,
        )
