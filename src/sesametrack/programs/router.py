"""The router daemon, which runs on each VM."""

from asyncio import (
    Event,
    Task,
    TimerHandle,
    get_running_loop,
    run,
    sleep,
    wait_for,
)
from contextlib import suppress
from logging import getLogger
from os import environ
from pathlib import Path
from random import Random
from signal import SIG_UNBLOCK, SIGHUP, SIGINT, SIGTERM, pthread_sigmask
from sys import exit as exit_process
from sys import stderr
from time import CLOCK_BOOTTIME, clock_gettime, time

from absl import app, flags

from sesametrack.contracts.exceptions import SesametrackError, SettingsError
from sesametrack.contracts.router_settings import (
    RouterSettings,
    read_router_settings,
)
from sesametrack.contracts.settings import split_address
from sesametrack.contracts.subgathers import AttemptGrant
from sesametrack.contracts.types import (
    Address,
    FailureDomainId,
    Instant,
    Seconds,
    ServiceId,
    UpstreamId,
)
from sesametrack.links.caller_server import CallerServer
from sesametrack.links.datagrams import DatagramEndpoint
from sesametrack.links.http import HttpRequest, HttpResponse
from sesametrack.links.http_server import HttpServer
from sesametrack.links.subgathers import KEEP_ALIVE_S
from sesametrack.platform.object_watcher import (
    RELAY_MAX_STALENESS,
    ObjectWatcher,
)
from sesametrack.platform.registration import Registration
from sesametrack.platform.relay import Relay
from sesametrack.platform.rollout_objects import KIND as ROLLOUTS
from sesametrack.programs.budget_exchange import BudgetExchange
from sesametrack.programs.forwarder import Forwarder
from sesametrack.programs.hint_exchange import HintExchange, SharedKnowledge
from sesametrack.programs.permit_exchange import PermitExchange
from sesametrack.programs.process_limits import ProcessLimits
from sesametrack.programs.quota_setup import create_quotas
from sesametrack.programs.rollout_exchange import RolloutExchange
from sesametrack.routing.desired_state import ClientLimits, DesiredState
from sesametrack.routing.directory import UpstreamRecord
from sesametrack.routing.evacuations import EvacuatedDomains
from sesametrack.routing.retry_budget import BudgetRule, RetryBudget
from sesametrack.routing.rollout_evidence import RolloutEvidence
from sesametrack.routing.rollout_orders import RolloutBounds, RolloutOrder
from sesametrack.telemetry.metrics import Metrics
from sesametrack.telemetry.structured_log import (
    StructuredLogHandler,
    install_handler,
    log_event,
)
from sesametrack.vms.watchers import (
    SMALL_DOMAIN_VMS,
    FleetVm,
    StoreSources,
    choose_watchers,
)

_EXIT_INVALID_SETTINGS = 2
_OK = 200
_UNAVAILABLE = 503
# The load balancer checks readiness every second and removes a VM after two
# failed checks, so callers still connect for this long after the first one.
_DEREGISTRATION_DELAY: Seconds = 2.6
# Part of the stop timeout that is reserved for closing connections, and how
# long each step of it takes at most.
_CLOSE_RESERVE: Seconds = 0.6
_CLOSE_STEP_TIMEOUT: Seconds = 0.15
_POLL_INTERVAL: Seconds = 0.05
# Shorter than the interval of readiness checks, which is one second.
_REACHABILITY_INTERVAL: Seconds = 0.25
_STORE_VERIFY_INTERVAL: Seconds = 2
# Other VMs send a caller's request with a list of shards. Their connections
# time out here later than on their side, so that those VMs close them first.
_PEER_LIMITS = ClientLimits(
    max_body_bytes=4 << 20, idle_timeout=KEEP_ALIVE_S + 10
)
# Entries that expired during an outage of the store may still be missing
# this long after its recovery.
_RECOVERY_WINDOW: Seconds = 2.5
# Of the number that tells processes of a VM apart.
_PROCESS_BITS = 48

_SETTINGS = flags.DEFINE_string(
    'settings',
    environ.get('SESAMETRACK_SETTINGS'),
    'path of the settings file; defaults to $SESAMETRACK_SETTINGS',
)
_LOG_LEVEL = flags.DEFINE_enum(
    'router_log_level',
    'INFO',
    ['DEBUG', 'INFO', 'WARNING', 'ERROR'],
    'minimum level of log messages',
)
_log = getLogger('router')


def steady_time() -> Instant:
    """Return monotonic time, which advances while the VM is suspended too."""
    return clock_gettime(CLOCK_BOOTTIME)


class Router:
    """Forwards caller requests to the upstreams listed in the store.

    It listens to the object watcher, and takes part in the sub-gathers
    and hints of the other VMs.
    """

    def __init__(self, settings: RouterSettings, path: str) -> None:
        """Create all components; `start` opens the sockets."""
        self._settings = settings
        self._path = path
        self._loop = get_running_loop()
        first_port = settings.peer_ports[0]
        self._metrics = Metrics(None, '')
        rng = Random()
        budget_rule = BudgetRule(
            settings.retries.ratio,
            settings.retries.window_s,
            settings.retries.slack,
        )
        grant_address = f'{settings.address}:{first_port + 2}'
        self._grant_endpoint = DatagramEndpoint(
            grant_address,
            self._on_attempts_granted,
            AttemptGrant,
            self._metrics.traffic,
            'grant',
        )
        self._forwarder = Forwarder(
            settings.vm,
            settings.failure_domain,
            RetryBudget(budget_rule, steady_time()),
            self._grant_endpoint.send,
            self._metrics,
            self._loop,
            steady_time,
            rng,
        )
        limits = ProcessLimits(settings, self._metrics, steady_time)
        self._limits = limits
        self._forwarder.limit_upstream_memory(limits.reply_bytes)
        peer_address = f'{settings.address}:{first_port}'
        host, port = split_address(settings.callers)
        self._caller_server = CallerServer(
            host,
            port,
            self._loop,
            steady_time,
            self._forwarder.on_request,
            self._forwarder.on_caller_disconnected,
            limits.log.record_status,
            limits.memory,
            limits.caller_connections,
        )
        self._caller_server.body_timeout = settings.bodies.timeout_s
        host, port = split_address(peer_address)
        self._subgather_server = CallerServer(
            host,
            port,
            self._loop,
            steady_time,
            self._forwarder.peer_requests.on_request,
            self._forwarder.on_caller_disconnected,
            limits.log.record_status,
            limits.memory,
            limits.peer_connections,
        )
        self._subgather_server.limits = _PEER_LIMITS
        host, port = split_address(settings.readiness)
        self._readiness_server = HttpServer(
            host,
            port,
            self._handle_readiness,
            limits.admin,
            limits.log.record,
        )
        self._metrics_server = HttpServer(
            settings.address,
            settings.metrics_port,
            self._handle_metrics,
            limits.admin,
            limits.log.record,
        )
        self._sources = StoreSources(settings.platform, settings.vm, rng)
        relay_address = f'{settings.address}:{first_port + 1}'
        self._relay = Relay(relay_address, steady_time, RELAY_MAX_STALENESS)
        self._object_watcher = ObjectWatcher(
            self._sources,
            self._relay,
            self,
            steady_time,
            rng,
            self._metrics.traffic,
            watches_rollouts=settings.rollouts is not None,
        )
        self._hint_exchange = HintExchange(
            settings.vm,
            settings.failure_domain,
            peer_address,
            SharedKnowledge(
                self._forwarder.directory,
                self._forwarder.report_limit_news,
                self._forwarder.crash_watch,
                self._forwarder.reachability,
                self._forwarder.crossings,
            ),
            self._metrics,
            self._loop,
            steady_time,
            rng,
        )
        permit_address = f'{settings.address}:{first_port + 3}'
        budget_address = f'{settings.address}:{first_port + 4}'
        self._budget_exchange = BudgetExchange(
            budget_address,
            self._forwarder.budget,
            self._forwarder.budget_holders,
            self._metrics,
            self._loop,
            steady_time,
        )
        own_vm = FleetVm(
            settings.vm,
            settings.failure_domain,
            relay_address,
            peer_address,
            grant_address,
            permit_address,
            budget_address,
            f'{settings.address}:{first_port + 5}' if settings.quotas else '',
        )
        self._quotas = create_quotas(
            settings, own_vm, self._metrics, self._loop, steady_time, rng
        )
        self._registration = Registration(
            settings.platform,
            own_vm,
            self._on_fleet_listed,
            steady_time,
            rng,
            is_first_start=settings.is_first_start,
            traffic=self._metrics.traffic,
        )
        self._permit_exchange = PermitExchange(
            settings.platform,
            settings.vm,
            permit_address,
            self._forwarder.pacer,
            self._metrics,
            self._loop,
            steady_time,
            rng,
        )
        self._rollouts = self._make_rollouts(rng)
        self._evacuated_domains = EvacuatedDomains()
        self._unavailable_kinds: set[str] = set()
        self._has_preopened = False
        self._unservable_in_use: list[str] = []
        self._store_verified_at: Instant = float('-inf')
        self._tasks: set[Task] = set()
        self._reachability_timer: TimerHandle | None = None
        self._store_recovered_at: Instant = float('-inf')
        self._stop_requested = Event()

    def _make_rollouts(self, rng: Random) -> RolloutExchange | None:
        """Return what takes part in roll-outs; None without bounds."""
        bounds = self._settings.rollouts
        if bounds is None:
            return None
        directory = self._forwarder.directory
        process = rng.getrandbits(_PROCESS_BITS)
        rollouts = RolloutExchange(
            RolloutEvidence(self._settings.vm, process, directory),
            self._settings.platform,
            directory,
            RolloutBounds(bounds.share, bounds.slack),
            self._permit_exchange,
            self._metrics,
            self._loop,
            steady_time,
            self._forwarder.remove_upstreams,
        )
        self._permit_exchange.set_rollouts(rollouts)
        self._forwarder.set_rollout_evidence(rollouts.evidence)
        return rollouts

    async def start(self) -> None:
        """Handle signals, open the sockets and follow the store."""
        self._handle_signals()
        await self._readiness_server.start()
        await self._metrics_server.start()
        await self._caller_server.start()
        self._forwarder.start(
            self._permit_exchange.request,
            self._budget_exchange.borrow,
            self._quotas.request,
        )
        self._check_reachability()
        await self._grant_endpoint.start()
        await self._subgather_server.start()
        await self._relay.start()
        await self._object_watcher.start(
            is_first_start=self._settings.is_first_start
        )
        await self._hint_exchange.start()
        await self._permit_exchange.start()
        await self._budget_exchange.start()
        await self._quotas.start()
        await self._registration.start()
        if self._rollouts is not None:
            self._rollouts.start()
        log_event(
            _log,
            'started',
            failure_domain=self._settings.failure_domain,
            callers=self._settings.callers,
        )

    def _handle_signals(self) -> None:
        """Install the handlers, and let through what was held back for them."""
        for number in (SIGTERM, SIGINT):
            self._loop.add_signal_handler(number, self.request_stop)
        self._loop.add_signal_handler(SIGHUP, self._reload)
        pthread_sigmask(SIG_UNBLOCK, (SIGHUP, SIGINT, SIGTERM))

    def request_stop(self) -> None:
        """Shut down gracefully: `serve` returns once that is done."""
        self._stop_requested.set()

    async def serve(self) -> None:
        """Serve until a stop signal, then shut down gracefully."""
        await self._stop_requested.wait()
        started_at = steady_time()
        deadline = started_at + self._settings.stop_timeout_s - _CLOSE_RESERVE
        self._forwarder.readiness.stops_at = deadline
        self._permit_exchange.stop()
        self._quotas.stop()
        log_event(_log, 'stopping', busy=self._forwarder.active_count)
        await sleep(min(_DEREGISTRATION_DELAY, deadline - started_at))
        self._caller_server.close_idle()
        while self._forwarder.active_count and steady_time() < deadline:
            await sleep(_POLL_INTERVAL)
        busy = self._forwarder.active_count
        self._caller_server.stop_listening()
        self._forwarder.answer_all()
        await self._caller_server.flush(_CLOSE_STEP_TIMEOUT)
        log_event(
            _log,
            'stopped',
            busy=busy,
            took_s=round(steady_time() - started_at, 2),
        )

    async def close(self) -> None:
        """Cancel all tasks and close all sockets."""
        if self._reachability_timer is not None:
            self._reachability_timer.cancel()
        for task in self._tasks:
            task.cancel()
        if self._rollouts is not None:
            self._rollouts.close()
        await self._registration.close()
        await self._hint_exchange.close()
        await self._permit_exchange.close()
        await self._budget_exchange.close()
        await self._quotas.close()
        await self._object_watcher.close()
        await self._caller_server.close()
        await self._subgather_server.close()
        await self._grant_endpoint.close()
        self._forwarder.close()
        for server in (
            self._readiness_server,
            self._metrics_server,
            self._relay,
        ):
            with suppress(TimeoutError):
                await wait_for(server.close(), _CLOSE_STEP_TIMEOUT)

    def has_aggregators(self, shards: tuple[ServiceId, ...]) -> bool:
        """Return whether aggregators share the gather over these shards."""
        return bool(self._forwarder.groups(shards))

    @property
    def is_coordinator(self) -> bool:
        """Return whether this VM issues permits and judges roll-outs."""
        return self._permit_exchange.is_coordinator

    @property
    def grants_quotas(self) -> bool:
        """Return whether this VM has its failure domain's share of quotas."""
        return self._quotas.is_coordinator

    @property
    def active_count(self) -> int:
        """Number of unanswered requests, including those of other VMs."""
        return self._forwarder.active_count

    # Callbacks of the object watcher.

    def on_desired_state(self, state: DesiredState) -> None:
        """Apply a desired state unless its version is not newer."""
        previous = self._forwarder.routes.version
        if not self._forwarder.routes.apply(state):
            if state.version < previous:
                log_event(
                    _log,
                    'older-state-ignored',
                    version=state.version,
                    in_force=previous,
                )
            return
        self._forwarder.apply_desired_state()
        self._quotas.apply_limits(state.version, state.workspaces)
        self._forwarder.start_early_requests()
        self._caller_server.limits = state.limits
        self._metrics.gauge('desired-state.version', state.version)
        log_event(
            _log,
            'desired-state',
            version=state.version,
            before=previous,
            routes=len(state.routes),
        )

    def on_upstreams_listed(self, records: list[UpstreamRecord]) -> None:
        """Replace the list of upstreams."""
        removed_ids = self._forwarder.directory.apply_listing(
            records, steady_time(), is_after_outage=self._is_after_outage()
        )
        self._forwarder.remove_upstreams(removed_ids)
        self._forwarder.start_early_requests()
        log_event(
            _log, 'upstreams-listed', listed=len(records), gone=len(removed_ids)
        )

    def on_upstream_changed(self, record: UpstreamRecord) -> None:
        """Add an upstream, or update its entry."""
        is_new = self._forwarder.directory.apply_record(record, steady_time())
        log_event(
            _log,
            'upstream-started' if is_new else 'upstream-changed',
            upstream=record.id,
            service=record.service,
            draining=record.is_draining,
            cold_left_s=record.cold_left,
            sequence=record.sequence,
        )

    def on_upstream_removed(self, upstream_id: UpstreamId) -> None:
        """Remove an upstream, or mark it as missing after an outage."""
        is_after_outage = self._is_after_outage()
        is_removed = self._forwarder.directory.apply_removal(
            upstream_id, steady_time(), is_after_outage=is_after_outage
        )
        if is_removed:
            self._forwarder.remove_upstreams([upstream_id])
        log_event(
            _log,
            'upstream-removed',
            upstream=upstream_id,
            after_outage=is_after_outage,
        )

    def on_evacuated(self, domains: frozenset[FailureDomainId]) -> None:
        """Stop sending to upstreams in these failure domains."""
        self._evacuated_domains.apply(domains)
        self._apply_evacuations()

    def on_rollouts(self, orders: list[RolloutOrder]) -> None:
        """Apply the orders of roll-outs."""
        self._rollouts.apply_orders(orders)

    def _apply_evacuations(self) -> None:
        domains = self._evacuated_domains.current(steady_time())
        if domains == self._forwarder.directory.evacuated:
            return
        self._forwarder.directory.evacuated = domains
        log_event(_log, 'evacuated', domains=sorted(domains))

    def on_store_lost(self, kind: str, problem: str) -> None:
        """Record that the store is unavailable for a kind of object."""
        self._unavailable_kinds.add(kind)
        if kind == ROLLOUTS:
            self._rollouts.record_orders_lost()
        self._metrics.count('store.lost')
        log_event(_log, 'store-lost', 30, kind=kind, problem=problem)

    def on_store_regained(self, kind: str) -> None:
        """Record that the store is available again for a kind of object."""
        self._unavailable_kinds.discard(kind)
        self._store_recovered_at = steady_time()
        self._registration.record_store_reply()
        log_event(_log, 'store-regained', kind=kind)

    def on_store_era(self, era: int, *, is_restored: bool) -> None:
        """Record that entries may be older until they are written again."""
        self._permit_exchange.observe_era(era)
        self._quotas.observe_era(era)
        if not is_restored:
            return
        self._store_recovered_at = steady_time()
        self._forwarder.directory.record_restore(self._store_recovered_at)
        self._evacuated_domains.record_restore(self._store_recovered_at)
        self._registration.record_restore()
        self._metrics.count('store.restored')
        log_event(_log, 'store-restored', 30, era=era)

    def _is_after_outage(self) -> bool:
        return steady_time() < self._store_recovered_at + _RECOVERY_WINDOW

    def _on_attempts_granted(
        self, grant: AttemptGrant, sender: Address
    ) -> None:
        self._forwarder.on_attempts_granted(grant)

    def _on_fleet_listed(self, fleet: list[FleetVm]) -> None:
        is_listed = any(one.vm == self._settings.vm for one in fleet)
        vm_count = len(fleet) if is_listed else len(fleet) + 1
        self._hint_exchange.peers = [
            one.peer_address for one in fleet if one.vm != self._settings.vm
        ]
        self._permit_exchange.set_peers(
            [
                one.permit_address
                for one in fleet
                if one.permit_address and one.vm != self._settings.vm
            ]
        )
        if self._rollouts is not None:
            self._rollouts.vms = {one.vm for one in fleet}
        self._quotas.set_fleet(fleet)
        domain = self._settings.failure_domain
        self._hint_exchange.remote_peers = frozenset(
            one.peer_address for one in fleet if one.failure_domain != domain
        )
        watchers = choose_watchers(fleet, domain)
        domain_size = sum(1 for one in fleet if one.failure_domain == domain)
        self._sources.set_watchers(watchers, domain_size)
        self._object_watcher.set_sources_ready(
            is_relaying=domain_size > SMALL_DOMAIN_VMS
        )
        previous = self._forwarder.vm_count
        self._forwarder.apply_fleet(fleet, vm_count)
        if not self._has_preopened:
            self._has_preopened = True
            self._forwarder.preopen_connections()
        if vm_count != previous:
            log_event(_log, 'fleet-size', vms=vm_count, before=previous)
            self._metrics.gauge('fleet.vms', vm_count)

    # Readiness, metrics and settings of the process.

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers to this VM."""
        readiness = self._forwarder.readiness
        return (
            not readiness.is_draining_callers
            and not readiness.is_slow
            and self._forwarder.routes.state is not None
            and self._forwarder.directory.has_listing
        )

    def _check_reachability(self) -> None:
        """Update whether this VM is isolated from upstreams that others reach.

        It is if routes in use reach too few upstreams, and either another VM
        reports that it can serve these routes or the store is unavailable
        too. Upstreams that no VM can reach are no reason to send callers to
        another VM.
        """
        now = steady_time()
        self._forwarder.expire_upstreams()
        self._apply_evacuations()
        self._limits.log.flush()
        self._check_pace()
        unreachable = self._forwarder.unreachable_routes()
        in_use = self._forwarder.recently_used_routes()
        self._unservable_in_use = [
            name for name in unreachable if name in in_use
        ]
        serving_vms = self._hint_exchange.peer_reachability.vms_serving(
            self._unservable_in_use, now
        )
        has_lost = self._unservable_in_use or self._forwarder.has_lost_paths
        is_isolated = bool(
            has_lost and (self._unavailable_kinds or serving_vms)
        )
        if is_isolated is not self._forwarder.readiness.is_isolated:
            self._forwarder.readiness.is_isolated = is_isolated
            log_event(
                _log,
                'cut-off' if is_isolated else 'reaches-again',
                routes=self._unservable_in_use,
                lost=sorted(self._unavailable_kinds),
                served_by=serving_vms,
            )
        self._hint_exchange.unservable_routes = unreachable
        self._hint_exchange.is_ready = (
            self.is_ready and not self._forwarder.has_lost_paths
        )
        if (
            self._unservable_in_use
            and now > self._store_verified_at + _STORE_VERIFY_INTERVAL
        ):
            self._store_verified_at = now
            task = self._loop.create_task(self._object_watcher.check_store())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._reachability_timer = self._loop.call_later(
            _REACHABILITY_INTERVAL, self._check_reachability
        )

    def _check_pace(self) -> None:
        """Leave new callers to other VMs while this one is slow."""
        readiness = self._forwarder.readiness
        is_slow = self._forwarder.is_slow
        if is_slow is not readiness.is_slow:
            readiness.is_slow = is_slow
            log_event(_log, 'slow' if is_slow else 'fast-again')

    async def _handle_readiness(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(_OK if self.is_ready else _UNAVAILABLE)

    async def _handle_metrics(self, request: HttpRequest) -> HttpResponse:
        self._metrics.traffic.report(steady_time())
        self._metrics.gauge('permits.is-coordinator', int(self.is_coordinator))
        self._metrics.gauge('memory.held-bytes', self._limits.memory.used)
        self._metrics.gauge('quotas.is-coordinator', int(self.grants_quotas))
        self._forwarder.report_leaving()
        self._metrics.gauge(
            'store.calls',
            self._object_watcher.calls
            + self._permit_exchange.store_calls
            + self._quotas.store_calls
            + (self._rollouts.store_calls if self._rollouts else 0),
        )
        return HttpResponse(
            _OK,
            self._metrics.render().encode(),
            {'content-type': 'text/plain'},
        )

    def _reload(self) -> None:
        try:
            settings = load_router_settings(self._path)
        except SettingsError as error:
            log_event(_log, 'reload-refused', 30, problem=str(error))
            return
        changed = [
            name
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        log_event(_log, 'reloaded', changed=changed)
        self._lift_quarantines(settings)

    def _lift_quarantines(self, settings: RouterSettings) -> None:
        self._forwarder.crash_watch.lift(
            settings.lifted_requests, steady_time()
        )


def load_router_settings(path: str | None) -> RouterSettings:
    """Return the settings in a file.

    Raises SettingsError if the file cannot be read or is not valid.
    """
    if not path:
        raise SettingsError('--settings', '$', 'is required')
    try:
        text = Path(path).read_bytes()
    except OSError as os_error:
        raise SettingsError(path, '$', str(os_error)) from os_error
    return read_router_settings(text, path)


async def _run_router(settings: RouterSettings, path: str) -> None:
    handler = StructuredLogHandler(f'{settings.vm}/router', time, steady_time)
    install_handler(handler, _LOG_LEVEL.value)
    handler.start(get_running_loop())
    router = Router(settings, path)
    try:
        await router.start()
        await router.serve()
    finally:
        await router.close()
        handler.close()


def _main(argv: list[str]) -> None:
    try:
        settings = load_router_settings(_SETTINGS.value)
    except SesametrackError as error:
        stderr.write(f'{error}\n')
        exit_process(_EXIT_INVALID_SETTINGS)
    run(_run_router(settings, _SETTINGS.value))


def run_program() -> None:
    """Parse the command line and run the router until it shuts down."""
    app.run(_main)
