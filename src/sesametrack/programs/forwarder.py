"""Routes requests of callers and sub-gathers of other VMs to exchanges."""

from asyncio import AbstractEventLoop
from collections.abc import Callable
from functools import partial
from itertools import count
from random import Random

from sesametrack.contracts.subgathers import AttemptGrant
from sesametrack.contracts.types import (
    Address,
    FailureDomainId,
    Fingerprint,
    Instant,
    Seconds,
    ServiceId,
    UpstreamId,
    VmId,
)
from sesametrack.links.caller_connection import (
    CallerConnection,
    IncomingRequest,
    OutgoingResponse,
)
from sesametrack.programs.active_requests import ActiveRequest
from sesametrack.programs.crash_watch import CrashWatch
from sesametrack.programs.domain_crossings import DomainCrossings
from sesametrack.programs.exchange_driver import (
    ExchangeDriver,
    PeerCalls,
    PermitRequester,
    Readiness,
)
from sesametrack.programs.peer_requests import PeerRequests
from sesametrack.programs.permit_exchange import PermitCallback
from sesametrack.programs.request_entry import QuotaRequester, RequestEntry
from sesametrack.routing.admission import admit
from sesametrack.routing.aggregators import (
    AGGREGATOR_SERVICE,
    Aggregators,
    ShardGroup,
)
from sesametrack.routing.budget_holders import BudgetHolders
from sesametrack.routing.calls import CallContext
from sesametrack.routing.canaries import (
    QUARANTINED,
    is_trial,
    try_held_shards,
    try_suspect,
)
from sesametrack.routing.crash_ledger import CrashLedger
from sesametrack.routing.crash_records import Standing
from sesametrack.routing.desired_state import Route
from sesametrack.routing.directory import Upstream, UpstreamDirectory
from sesametrack.routing.events import (
    Answer,
    CallerRequest,
    Failure,
    Refusal,
    RequestPermits,
)
from sesametrack.routing.exchanges import (
    Exchange,
    GatherExchange,
    SingleExchange,
    gather_deadlines,
    is_listed_but_unreachable,
)
from sesametrack.routing.fingerprints import compute_fingerprint
from sesametrack.routing.handover import (
    HandoverExchange,
    HandoverTargets,
    may_hand_over,
)
from sesametrack.routing.hints import PeerReachability
from sesametrack.routing.pacing import UpstreamPacer
from sesametrack.routing.remote_groups import RemoteGroups
from sesametrack.routing.retry_budget import RetryBudget
from sesametrack.routing.rollout_evidence import RolloutEvidence
from sesametrack.routing.routes import RouteTable
from sesametrack.routing.selection import Selector
from sesametrack.routing.shares import (
    DEFAULT_VM_COUNT,
    LimitShares,
    connection_limit,
)
from sesametrack.routing.timing import TimingTable
from sesametrack.routing.wide_gather import WideGatherExchange
from sesametrack.routing.workspaces import Workspaces
from sesametrack.telemetry.metrics import Metrics
from sesametrack.vms.watchers import FleetVm

_MS_PER_SECOND = 1000
# A route counts as in use until this time after its last request.
_ROUTE_IN_USE_TIME: Seconds = 5
# Connections to one aggregator, each of which carries one sub-gather at a time.
_MAX_PEER_CONNECTIONS = 8
_ASSUMED_REPLY_TIME: Seconds = 0.01
# A VM that can't reach this part of its upstreams may have lost its own paths.
_DOUBTFUL_FRACTION = 0.4


class Forwarder:
    """Accepts requests and owns the state that routing decisions use."""

    def __init__(
        self,
        vm: VmId,
        vm_domain: FailureDomainId,
        budget: RetryBudget,
        send_datagram: Callable[[Address, AttemptGrant], None],
        metrics: Metrics,
        loop: AbstractEventLoop,
        now: Callable[[], Instant],
        rng: Random,
    ) -> None:
        """Create the routing state and the driver without any upstreams."""
        self._send_datagram = send_datagram
        self.routes = RouteTable()
        self.directory = UpstreamDirectory()
        self.aggregators = Aggregators(vm, vm_domain)
        self._remote_groups = RemoteGroups(
            vm, vm_domain, self.directory, self.aggregators.link_times
        )
        self.budget_holders = BudgetHolders(vm, vm_domain)
        self.budget = budget
        self.budget.set_shares(self.budget_holders)
        self.readiness = Readiness()
        self.vm_count = DEFAULT_VM_COUNT
        self._shares = LimitShares(DEFAULT_VM_COUNT)
        self._metrics = metrics
        self._now = now
        self.pacer = UpstreamPacer()
        self._timings = TimingTable()
        self.ledger = CrashLedger()
        self.crash_watch = CrashWatch(self.ledger, metrics)
        self.reachability = PeerReachability()
        self._crossings = DomainCrossings(vm_domain, metrics)
        self._targets = HandoverTargets(
            vm_domain, self.aggregators, self.reachability, rng
        )
        self._context = CallContext(
            self.directory,
            Selector(vm_domain, self.pacer, rng),
            budget,
            self.pacer,
            self._timings,
            partial(next, count(1)),
            self._connection_limit,
            self.ledger,
        )
        self._driver = ExchangeDriver(
            self.directory,
            self._timings,
            self.readiness,
            self._connection_limit,
            PeerCalls(
                self._send_grant,
                self._request_permits,
                self._borrow_extra_send,
                self._hand_over,
                self._crossings,
            ),
            self.crash_watch,
            metrics,
            loop,
            now,
        )
        self._pools = self._driver.pools
        self.peer_requests = PeerRequests(
            self.routes,
            self._context,
            self._driver,
            self.readiness,
            self._start_request,
            metrics,
            now,
        )
        self._workspaces = Workspaces()
        self._entry = RequestEntry(
            self.routes,
            self._workspaces,
            self.directory,
            self.readiness,
            self._start_request,
            self._pools.has_room_for,
            metrics,
            loop,
            now,
        )
        self._permit_requester: PermitRequester | None = None
        self._extra_send_borrower: Callable[[ServiceId], None] | None = None
        self._last_used_at_by_route: dict[str, Instant] = {}

    def start(
        self,
        request_permits: PermitRequester,
        borrow_extra_send: Callable[[ServiceId], None],
        request_quota: QuotaRequester,
    ) -> None:
        """Start the periodic work; the callbacks ask other VMs."""
        self._entry.start(request_quota)
        self._permit_requester = request_permits
        self._extra_send_borrower = borrow_extra_send
        self._driver.start()

    def set_rollout_evidence(self, evidence: RolloutEvidence) -> None:
        """Collect evidence of the versions of upstreams."""
        self._driver.rollout_evidence = evidence

    @property
    def crossings(self) -> DomainCrossings:
        """Return the counts of what this VM sends to other domains."""
        return self._crossings

    def report_leaving(self) -> None:
        """Set the gauges of what leaves the failure domain."""
        share = self._context.selector.leaving.share
        self._metrics.gauge('leaving.fraction', share.fraction)
        self._metrics.gauge('leaving.shards', self._remote_groups.shard_count)

    def answer_all(self) -> None:
        """Answer all requests now, and refuse those that still arrive."""
        self.readiness.stops_at = self._now()
        self._entry.refuse_early()
        self._driver.answer_all()

    def close(self) -> None:
        """Close all connections to upstreams."""
        self._driver.close()

    @property
    def is_draining_callers(self) -> bool:
        """Return whether caller connections close after the next response."""
        return self.readiness.is_draining_callers

    @property
    def active_count(self) -> int:
        """Number of requests that have not been answered."""
        return self._driver.active_count + self._entry.waiting_count

    @property
    def opened_connections(self) -> int:
        """Number of connections opened to listed upstreams."""
        return self._pools.opened_connections

    @property
    def is_slow(self) -> bool:
        """Return whether this VM's own work takes far longer than usual."""
        return self._driver.pace.is_slow(self._now())

    @property
    def has_lost_paths(self) -> bool:
        """Return whether this VM's own paths to upstreams may be the fault."""
        return self._pools.unreachable_fraction() >= _DOUBTFUL_FRACTION

    def unreachable_routes(self) -> list[str]:
        """Return the routes whose listed upstreams are unreachable."""
        if self.routes.state is None:
            return []
        now = self._now()
        # Many routes share their services, so each set is checked once.
        is_unreachable_by_key: dict[tuple[object, ...], bool] = {}
        names = []
        for route in self.routes.state.routes:
            key = (route.services, route.merge)
            if key not in is_unreachable_by_key:
                is_unreachable_by_key[key] = is_listed_but_unreachable(
                    route, self.directory, now
                )
            if is_unreachable_by_key[key]:
                names.append(route.name)
        return names

    def recently_used_routes(self) -> set[str]:
        """Return the routes that have received requests recently."""
        earliest = self._now() - _ROUTE_IN_USE_TIME
        self._last_used_at_by_route = {
            name: used_at
            for name, used_at in self._last_used_at_by_route.items()
            if used_at >= earliest
        }
        return set(self._last_used_at_by_route)

    def limit_upstream_memory(self, max_bytes: int) -> None:
        """Limit what incomplete replies and unsent requests may take."""
        self._pools.limit_memory(max_bytes)

    def apply_vm_count(self, vm_count: int) -> None:
        """Recompute this VM's shares of the limits of the whole fleet."""
        self.vm_count = vm_count
        gathers = set()
        if self.routes.state is not None:
            gathers = {route.shards for route in self.routes.state.routes}
        self._pools.set_vm_count(vm_count)
        self._shares = self.aggregators.shares(vm_count, gathers)
        self.budget_holders.apply_groups(
            group
            for shards in gathers
            for group in self.aggregators.groups(shards)
        )
        self._remote_groups.retain(gathers)
        self._pools.update_limits()

    def groups(self, shards: tuple[ServiceId, ...]) -> list[ShardGroup]:
        """Return the groups of a gather, empty if it is sent directly."""
        return self._remote_groups.replace(
            shards, self.aggregators.groups(shards), self._now()
        )

    def apply_desired_state(self) -> None:
        """Apply the limits of the new desired state in the route table."""
        state = self.routes.state
        self._workspaces.apply(state.workspaces)
        self.pacer.configure(state.service_by_id)
        self._timings.retain({route.name for route in state.routes})
        self.apply_vm_count(self.vm_count)
        self._preopen_aggregators()

    def preopen_connections(self) -> None:
        """Open a connection to the preferred upstream of each shard.

        Without them, the first gather of a process would open all of these
        connections at once.
        """
        if self.routes.state is None or not self.directory.has_listing:
            return
        now = self._now()
        shard_sets = {route.shards for route in self.routes.state.routes}
        services = {
            service
            for shards in shard_sets
            for service in self._direct_shards(shards)
        }
        chosen = [
            self._context.selector.choose(
                self.directory.usable(service),
                set(),
                _ASSUMED_REPLY_TIME,
                1,
                now,
            )
            for service in sorted(services)
        ]
        self._pools.preopen([one for one in chosen if one is not None])
        self._preopen_aggregators()

    def _preopen_aggregators(self) -> None:
        """Open a connection to each aggregator that has none.

        Otherwise the first gather of a process would open all of them, and
        its aggregators would seem silent meanwhile.
        """
        if self.routes.state is None:
            return
        shard_sets = {route.shards for route in self.routes.state.routes}
        vms = {
            group.vms[0]
            for shards in shard_sets
            for group in self.groups(shards)
        }
        peers = [self.aggregators.peer(vm) for vm in sorted(vms)]
        self._pools.preopen([peer for peer in peers if peer is not None])

    def _direct_shards(
        self, shards: tuple[ServiceId, ...]
    ) -> tuple[ServiceId, ...]:
        """Return the shards whose upstreams this VM itself sends to."""
        if not self.groups(shards):
            return shards
        leaving = self._remote_groups.leaving(shards)
        return tuple(
            shard
            for shard in shards
            if self._shares.rank_by_service.get(shard) == 0
            and shard not in leaving
        )

    def apply_fleet(self, fleet: list[FleetVm], vm_count: int) -> None:
        """Update the live VMs, which share the limits and the sub-gathers."""
        is_changed, removed_ids = self.aggregators.apply(fleet)
        self._pools.remove(removed_ids)
        self._remote_groups.apply_fleet(fleet)
        self.budget_holders.apply_fleet(fleet)
        self.apply_vm_count(vm_count)
        if is_changed:
            self._preopen_aggregators()

    def expire_upstreams(self) -> None:
        """Remove upstreams that have been missing for too long."""
        removed_ids = self.directory.expire(self._now())
        if removed_ids:
            self.remove_upstreams(removed_ids)

    def remove_upstreams(self, upstream_ids: list[UpstreamId]) -> None:
        """Drop the state and the pools of upstreams that are not listed."""
        for upstream_id in upstream_ids:
            self.pacer.remove_upstream(upstream_id)
        self._pools.remove(upstream_ids)

    def on_request(
        self, connection: CallerConnection, incoming: IncomingRequest
    ) -> None:
        """Handle one complete request of a caller."""
        self._entry.on_request(connection, incoming)

    def start_early_requests(self) -> None:
        """Start what arrived before the first listing, once it is there."""
        self._entry.start_early()

    def _hand_over(
        self, active_request: ActiveRequest, answer: Answer, now: Instant
    ) -> Exchange | None:
        """Return the handover of a request that other VMs can serve.

        Upstreams that this VM can't reach may be within the reach of others,
        unless it reaches most: then the rest has probably ended.
        """
        if not self.has_lost_paths:
            return None
        route = active_request.route
        deadline = active_request.exchange.deadline
        if active_request.is_subgather:
            return None
        if not may_hand_over(answer, route, deadline, now):
            return None
        attempts = route.max_attempts
        if isinstance(answer, Failure):
            attempts = active_request.exchange.attempts_left
        if not attempts:
            return None
        if self._targets.choose(route, set(), now) is None:
            return None
        self._metrics.count('handovers.sent')
        return HandoverExchange(
            active_request.request,
            route,
            self._targets,
            self._context.next_attempt_id,
            answer,
            attempts,
        )

    def report_limit_news(
        self, upstream: Upstream, before: float | None
    ) -> None:
        """Report a limit that changed by what another VM heard."""
        self._driver.limit_reports.report_change(upstream, before, 'hint')

    def on_attempts_granted(self, grant: AttemptGrant) -> None:
        """Let a sub-gather of another VM use further attempts."""
        self._driver.on_attempts_granted(grant)

    def on_caller_disconnected(self, connection: CallerConnection) -> None:
        """Handle a caller that disconnected before its answer."""
        self._entry.drop(connection)
        self._driver.on_caller_disconnected(connection)

    def _start_request(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        route: Route,
        encode_answer: Callable[[Answer], OutgoingResponse],
        *,
        is_handed_over: bool = False,
    ) -> None:
        self._last_used_at_by_route[route.name] = request.arrived_at
        self._metrics.count('requests.started')
        now = self._now()
        fingerprint = compute_fingerprint(request)
        exchange: Exchange | Refusal
        if self.ledger.standing(fingerprint, now) is Standing.clear:
            exchange = self._create_exchange(request, route, fingerprint)
        elif route.shards:
            exchange = self._guard_gather(request, route, fingerprint, now)
        else:
            exchange = self._guard_single(request, route, fingerprint, now)
        if isinstance(exchange, Refusal):
            self._entry.refuse(
                connection, request, exchange, encode_answer, fingerprint
            )
            return
        self._driver.start_request(
            ActiveRequest(
                request,
                route,
                exchange,
                connection,
                self.routes.version,
                encode_answer,
                fingerprint,
                is_handed_over=is_handed_over,
                log_details=_describe_caller(request),
            )
        )

    def _guard_gather(
        self,
        request: CallerRequest,
        route: Route,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> Exchange | Refusal:
        """Return what may be sent of a gather under which upstreams ended.

        If some shards answer it, it goes on without the others.
        """
        standing = self.ledger.standing(fingerprint, now)
        is_quarantined = standing is Standing.quarantined
        exchange = self._create_exchange(request, route, fingerprint)
        if self.ledger.is_whole(fingerprint, now):
            if is_quarantined:
                return self._refuse_quarantined(fingerprint, now)
            trial = self._create_exchange(
                request, route, fingerprint, is_trial=True
            )
            return try_suspect(
                request, route, fingerprint, route.shards, trial, self._context
            )
        if is_quarantined or self.groups(route.shards):
            return exchange
        return try_held_shards(
            self._create_exchange(request, route, fingerprint, is_trial=True),
            exchange,
            request,
            route,
            fingerprint,
            self.ledger.held_services(fingerprint, route.shards, now),
            self._context,
        )

    def _guard_single(
        self,
        request: CallerRequest,
        route: Route,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> Exchange | Refusal:
        """Return what may be sent of a request under which upstreams ended."""
        service = self.routes.choose_service(route)
        standing = self.ledger.standing(fingerprint, now, service)
        if standing is Standing.quarantined:
            return self._refuse_quarantined(fingerprint, now)
        if standing is Standing.suspect:
            return try_suspect(
                request, route, fingerprint, (service,), None, self._context
            )
        single = SingleExchange(
            request, route, service, self._context, fingerprint
        )
        return self._admit(single, request, route, (service,))

    def _refuse_quarantined(
        self, fingerprint: Fingerprint, now: Instant
    ) -> Refusal:
        left = self.ledger.quarantined_until(fingerprint) - now
        return Refusal(QUARANTINED, left)

    def _create_exchange(
        self,
        request: CallerRequest,
        route: Route,
        fingerprint: Fingerprint,
        *,
        is_trial: bool = False,
    ) -> Exchange:
        if not route.shards:
            service = self.routes.choose_service(route)
            single = SingleExchange(
                request, route, service, self._context, fingerprint
            )
            return self._admit(single, request, route, (service,))
        groups = self.groups(route.shards)
        if groups:
            return WideGatherExchange(
                request,
                route,
                self._context,
                self.aggregators,
                groups,
                fingerprint,
                self._targets,
            )
        times = gather_deadlines(request, route)
        gather = GatherExchange(
            request,
            route,
            self._context,
            times,
            fingerprint=fingerprint,
            is_trial=is_trial,
        )
        return self._admit(gather, request, route, route.shards)

    def _admit(
        self,
        exchange: Exchange,
        request: CallerRequest,
        route: Route,
        services: tuple[ServiceId, ...],
    ) -> Exchange:
        return admit(
            exchange, request, route, services, self._context, self._now()
        )

    def _request_permits(
        self, request: RequestPermits, callback: PermitCallback | None
    ) -> None:
        if callback is not None and is_trial(request):
            callback = partial(self._end_trial_request, request, callback)
        self._permit_requester(request, callback)

    def _end_trial_request(
        self,
        request: RequestPermits,
        callback: PermitCallback,
        wait: Seconds | None,
        retry_after: Seconds,
    ) -> None:
        """Pass on the result; permits of trials are used at once."""
        for target in request.needs[0]:
            self.pacer.remove_upstream(target.id)
        callback(wait, retry_after)

    def _borrow_extra_send(self, service: ServiceId) -> None:
        self._extra_send_borrower(service)

    def _send_grant(self, peer_id: UpstreamId, grant: AttemptGrant) -> None:
        address = self.aggregators.grant_address(peer_id)
        if address:
            self._send_datagram(address, grant)

    def _connection_limit(self, service: ServiceId) -> int:
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


def _describe_caller(request: CallerRequest) -> dict[str, object]:
    return {'workspace': request.workspace} if request.workspace else {}
