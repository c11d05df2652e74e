"""Drives exchanges: callers' requests in, upstream sends, answers out."""

from asyncio import AbstractEventLoop
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
    decode_subgather_request,
    encode_subgather_refusal,
    encode_subgather_reply,
)
from sesametrack.platform.headers import (
    read_request,
    write_answer,
    write_bad_request,
    write_unrouted,
)
from sesametrack.programs.active_requests import ActiveRequest
from sesametrack.programs.exchange_driver import ExchangeDriver, Readiness
from sesametrack.routing.aggregators import AGGREGATOR_SERVICE, Aggregators
from sesametrack.routing.calls import CallContext
from sesametrack.routing.desired_state import Route
from sesametrack.routing.directory import UpstreamDirectory
from sesametrack.routing.events import CallerRequest, Refusal
from sesametrack.routing.exchanges import (
    Exchange,
    GatherExchange,
    SingleExchange,
    gather_deadlines,
    is_listed_but_unreachable,
)
from sesametrack.routing.pacing import ColdStartPacer
from sesametrack.routing.retry_budget import RetryBudget
from sesametrack.routing.routes import RouteTable
from sesametrack.routing.selection import Selector
from sesametrack.routing.shares import (
    DEFAULT_VM_COUNT,
    LimitShares,
    connection_limit,
)
from sesametrack.routing.timing import TimingTable
from sesametrack.routing.wide_gather import WideGatherExchange
from sesametrack.telemetry.journal import log_event
from sesametrack.telemetry.metrics import Metrics
from sesametrack.vms.watchers import FleetVm

_MS = 1000
# A route counts as in use for so long after a request.
_ROUTE_IN_USE: Seconds = 5
# Sub-gathers under way at one aggregator at the same time.
_MAX_PEER_CONNECTIONS = 8
_WARM_USUAL: Seconds = 0.01
_NO_STATE_RETRY_AFTER: Seconds = 0.1

_log = getLogger('forwarder')


class Forwarder:
    """Takes requests, and keeps what decides where they go."""

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
        self.readiness = Readiness()
        self.vm_count = DEFAULT_VM_COUNT
        self._shares = LimitShares(DEFAULT_VM_COUNT)
        self._metrics = metrics
        self._now = now
        self._pacer = ColdStartPacer()
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
        self._driver = ExchangeDriver(
            self.directory,
            self._timings,
            self.readiness,
            self._max_connections,
            metrics,
            loop,
            now,
        )
        self._pools = self._driver.pools
        self._used_at_by_route: dict[str, Instant] = {}

    def start(self) -> None:
        """Begin the periodic work."""
        self._driver.start()

    def close(self) -> None:
        """Close all connections to upstreams."""
        self._driver.close()

    @property
    def is_leaving(self) -> bool:
        """Tell whether callers had better use another VM."""
        return self.readiness.is_leaving

    @property
    def busy(self) -> int:
        """Number of requests without an answer."""
        return self._driver.busy

    @property
    def opened(self) -> int:
        """Number of connections opened to listed upstreams."""
        return self._pools.opened

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
                is_out_by_key[key] = is_listed_but_unreachable(
                    route, self.directory, now
                )
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
        self.budget.set_shares(self._shares)
        self._pacer.set_shares(self._shares)
        self._pools.apply_limits()

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
        if self.routes.state is None or not self.directory.has_listing:
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
        self._pools.open_ahead([one for one in chosen if one is not None])

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
        self._pools.forget(gone)
        if is_changed or vm_count != self.vm_count:
            self.divide(vm_count)

    def expire(self) -> None:
        """Let go of upstreams that were missing for long enough."""
        gone = self.directory.expire(self._now())
        if gone:
            self.forget(gone)

    def forget(self, upstream_ids: list[UpstreamId]) -> None:
        """Let go of upstreams that are no longer listed."""
        for upstream_id in upstream_ids:
            self._pacer.remove_upstream(upstream_id)
        self._pools.forget(upstream_ids)

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
        if self.routes.state is not None and self.directory.has_listing:
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
            asked_for = decode_subgather_request(incoming)
        except ProtocolError as refused:
            log_event(_log, 'subgather-refused', 30, problem=str(refused))
            connection.respond(
                encode_subgather_refusal(str(refused)), is_last=True
            )
            return
        if self.readiness.is_stopping or not self.directory.has_listing:
            log_event(
                _log,
                'subgather-refused',
                request_id=asked_for.request.id,
                is_stopping=self.readiness.is_stopping,
            )
            connection.respond(
                encode_subgather_refusal('not-ready'),
                is_last=self.readiness.is_stopping,
            )
            return
        connection.send_processing()
        exchange = GatherExchange(
            asked_for.request,
            asked_for.route,
            self._context,
            asked_for.deadlines,
            is_retry=asked_for.may_have_run,
            tried_by_shard=asked_for.tried_by_shard,
        )
        self._metrics.count('subgathers.started')
        self._driver.run(
            ActiveRequest(
                asked_for.request,
                asked_for.route,
                exchange,
                connection,
                self.routes.version,
                partial(encode_subgather_reply, exchange=exchange),
                is_subgather=True,
            )
        )

    def on_left(self, connection: CallerConnection) -> None:
        """Take the leaving of a caller before its answer."""
        self._driver.on_left(connection)

    def on_refused(self, status: int) -> None:
        """Count a request that broke a limit or the protocol."""
        self._metrics.count(f'requests.refused-{status}')
        log_event(_log, 'request-refused', status=status)

    def _begin(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        route: Route,
    ) -> None:
        self._used_at_by_route[route.name] = request.arrived_at
        self._metrics.count('requests.started')
        self._driver.run(
            ActiveRequest(
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
            service = self.routes.choose_service(route)
            return SingleExchange(request, route, service, self._context)
        groups = self.aggregators.groups(route.shards)
        if groups:
            return WideGatherExchange(
                request, route, self._context, self.aggregators, groups
            )
        times = gather_deadlines(request, route)
        return GatherExchange(request, route, self._context, times)

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
        if service == AGGREGATOR_SERVICE:
            return _MAX_PEER_CONNECTIONS
        spec = None
        if self.routes.state is not None:
            spec = self.routes.state.service_by_id.get(service)
        if spec is None:
            return 1
        return connection_limit(
            spec.max_connections, self._shares.fraction(service)
        )
