"""The router daemon: one on each VM."""

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
from signal import SIGHUP, SIGINT, SIGTERM
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
from sesametrack.contracts.types import (
    FailureDomainId,
    Instant,
    Seconds,
    ServiceId,
    UpstreamId,
)
from sesametrack.links.caller_server import CallerServer
from sesametrack.links.http import HttpRequest, HttpResponse
from sesametrack.links.http_server import HttpServer
from sesametrack.links.subgathers import KEEP_ALIVE_S
from sesametrack.platform.follower import RELAY_MAX_AGE, Follower
from sesametrack.platform.registration import Registration
from sesametrack.platform.relay import Relay
from sesametrack.programs.forwarder import Forwarder
from sesametrack.programs.hint_exchange import HintExchange
from sesametrack.routing.desired_state import ClientLimits, DesiredState
from sesametrack.routing.directory import UpstreamRecord
from sesametrack.routing.retry_budget import BudgetRule, RetryBudget
from sesametrack.telemetry.journal import (
    JournalHandler,
    log_event,
    start_journal,
)
from sesametrack.telemetry.metrics import Metrics
from sesametrack.vms.watchers import (
    SMALL_DOMAIN_VMS,
    FleetVm,
    StoreSources,
    choose_watchers,
)

_EXIT_REFUSED = 2
_OK = 200
_UNAVAILABLE = 503
# The balancer asks each second and lets go after two misses, so callers
# still come for so long after this VM says that it is not ready.
_UNREADY_TIME: Seconds = 2.6
# Kept back from the time for a stop, to close what is left.
_CLOSE_TIME: Seconds = 0.6
_POLL_INTERVAL: Seconds = 0.05
# How often the reach of routes is looked at; the balancer asks each second.
_REACH_INTERVAL: Seconds = 0.25
_VERIFY_INTERVAL: Seconds = 2
# What other VMs may send: a caller's request and its shards, on connections
# that rest longer than those VMs keep them.
_PEER_LIMITS = ClientLimits(
    max_body_bytes=4 << 20, idle_timeout=KEEP_ALIVE_S + 10
)
# For so long after the store's return, entries may be missing that lapsed
# while it was away.
_LAPSE_WINDOW: Seconds = 2.5

_SETTINGS = flags.DEFINE_string(
    'settings',
    environ.get('SESAMETRACK_SETTINGS'),
    'path of the settings file; by default from SESAMETRACK_SETTINGS',
)
_LOG_LEVEL = flags.DEFINE_enum(
    'router_log_level',
    'INFO',
    ['DEBUG', 'INFO', 'WARNING', 'ERROR'],
    'least level of the log lines',
)
_log = getLogger('router')


def steady_time() -> Instant:
    """Return a clock that also counts the time of a suspended VM."""
    return clock_gettime(CLOCK_BOOTTIME)


class Router:
    """Ties callers, upstreams and the platform's store together."""

    def __init__(self, settings: RouterSettings, path: str) -> None:
        """Build the parts; `start` opens the sockets."""
        self._settings = settings
        self._path = path
        self._loop = get_running_loop()
        self._metrics = Metrics(None, '')
        rng = Random()
        rule = BudgetRule(
            settings.retries.ratio,
            settings.retries.window_s,
            settings.retries.slack,
        )
        self._forwarder = Forwarder(
            settings.vm,
            settings.failure_domain,
            RetryBudget(rule, steady_time()),
            self._metrics,
            self._loop,
            steady_time,
            rng,
        )
        peer_address = f'{settings.address}:{settings.peer_ports[0]}'
        host, port = split_address(settings.callers)
        self._callers = CallerServer(
            host,
            port,
            self._loop,
            steady_time,
            self._forwarder.on_request,
            self._forwarder.on_left,
            self._forwarder.on_refused,
        )
        host, port = split_address(peer_address)
        self._subgathers = CallerServer(
            host,
            port,
            self._loop,
            steady_time,
            self._forwarder.on_subgather,
            self._forwarder.on_left,
            self._forwarder.on_refused,
        )
        self._subgathers.limits = _PEER_LIMITS
        host, port = split_address(settings.readiness)
        self._readiness = HttpServer(host, port, self._answer_readiness)
        self._admin = HttpServer(
            settings.address, settings.metrics_port, self._answer_metrics
        )
        self._sources = StoreSources(settings.platform, settings.vm)
        relay_address = f'{settings.address}:{settings.peer_ports[0] + 1}'
        self._relay = Relay(relay_address, steady_time, RELAY_MAX_AGE)
        self._follower = Follower(
            self._sources, self._relay, self, steady_time, rng
        )
        self._hints = HintExchange(
            settings.vm,
            settings.failure_domain,
            peer_address,
            self._forwarder.directory,
            self._metrics,
            self._loop,
            steady_time,
            rng,
        )
        self._registration = Registration(
            settings.platform,
            settings.vm,
            settings.failure_domain,
            peer_address,
            relay_address,
            self._on_fleet,
            steady_time,
            rng,
            is_first_start=settings.is_first_start,
        )
        self._lost_kinds: set[str] = set()
        self._is_warm = False
        self._unservable: list[str] = []
        self._verified_at: Instant = float('-inf')
        self._tasks: set[Task] = set()
        self._reach_timer: TimerHandle | None = None
        self._regained_at: Instant = float('-inf')
        self._stop = Event()

    async def start(self) -> None:
        """Open the sockets and begin to follow the store."""
        await self._readiness.start()
        await self._admin.start()
        await self._callers.start()
        self._forwarder.start()
        self._check_reach()
        await self._subgathers.start()
        await self._relay.start()
        await self._follower.start(is_first_start=self._settings.is_first_start)
        await self._hints.start()
        await self._registration.start()
        for number in (SIGTERM, SIGINT):
            self._loop.add_signal_handler(number, self._stop.set)
        self._loop.add_signal_handler(SIGHUP, self._reload)
        log_event(
            _log,
            'started',
            failure_domain=self._settings.failure_domain,
            callers=self._settings.callers,
        )

    async def serve(self) -> None:
        """Return when a graceful shutdown has finished."""
        await self._stop.wait()
        began = steady_time()
        latest = began + self._settings.stop_timeout_s - _CLOSE_TIME
        self._forwarder.readiness.is_stopping = True
        log_event(_log, 'stopping', busy=self._forwarder.busy)
        await sleep(min(_UNREADY_TIME, latest - began))
        self._callers.close_idle()
        while self._forwarder.busy and steady_time() < latest:
            await sleep(_POLL_INTERVAL)
        log_event(
            _log,
            'stopped',
            busy=self._forwarder.busy,
            took_s=round(steady_time() - began, 2),
        )

    async def close(self) -> None:
        """Close all sockets."""
        if self._reach_timer is not None:
            self._reach_timer.cancel()
        for task in self._tasks:
            task.cancel()
        await self._registration.close()
        await self._hints.close()
        await self._follower.close()
        await self._callers.close()
        await self._subgathers.close()
        self._forwarder.close()
        for server in (self._readiness, self._admin, self._relay):
            with suppress(TimeoutError):
                await wait_for(server.close(), _CLOSE_TIME / 3)

    def has_aggregators(self, shards: tuple[ServiceId, ...]) -> bool:
        """Tell whether a gather over these shards is shared with other VMs."""
        return bool(self._forwarder.aggregators.groups(shards))

    @property
    def busy(self) -> int:
        """Number of requests without an answer, those of other VMs too."""
        return self._forwarder.busy

    # What the platform tells.

    def on_desired_state(self, state: DesiredState) -> None:
        """Put a version of the desired state in force."""
        before = self._forwarder.routes.version
        if not self._forwarder.routes.apply(state):
            if state.version < before:
                log_event(
                    _log,
                    'older-state-ignored',
                    version=state.version,
                    in_force=before,
                )
            return
        self._forwarder.apply_state()
        self._callers.limits = state.limits
        self._metrics.gauge('desired-state.version', state.version)
        log_event(
            _log,
            'desired-state',
            version=state.version,
            before=before,
            routes=len(state.routes),
        )

    def on_upstreams_listed(self, records: list[UpstreamRecord]) -> None:
        """Take over the whole list of upstreams."""
        gone = self._forwarder.directory.apply_listing(
            records, steady_time(), is_after_outage=self._is_after_outage()
        )
        self._forwarder.forget(gone)
        log_event(_log, 'upstreams-listed', listed=len(records), gone=len(gone))

    def on_upstream_changed(self, record: UpstreamRecord) -> None:
        """Take over one upstream's entry."""
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
        """Let go of an upstream whose entry was removed."""
        is_after_outage = self._is_after_outage()
        is_gone = self._forwarder.directory.apply_removal(
            upstream_id, steady_time(), is_after_outage=is_after_outage
        )
        if is_gone:
            self._forwarder.forget([upstream_id])
        log_event(
            _log,
            'upstream-removed',
            upstream=upstream_id,
            after_outage=is_after_outage,
        )

    def on_evacuated(self, domains: frozenset[FailureDomainId]) -> None:
        """Send nothing more to upstreams of these failure domains."""
        if domains == self._forwarder.directory.evacuated:
            return
        self._forwarder.directory.evacuated = domains
        log_event(_log, 'evacuated', domains=sorted(domains))

    def on_store_lost(self, kind: str, problem: str) -> None:
        """Note that the store does not answer."""
        self._lost_kinds.add(kind)
        self._metrics.count('store.lost')
        log_event(_log, 'store-lost', 30, kind=kind, problem=problem)

    def on_store_regained(self, kind: str) -> None:
        """Note that the store answers again."""
        self._lost_kinds.discard(kind)
        self._regained_at = steady_time()
        log_event(_log, 'store-regained', kind=kind)

    def _is_after_outage(self) -> bool:
        return steady_time() < self._regained_at + _LAPSE_WINDOW

    def _on_fleet(self, fleet: list[FleetVm]) -> None:
        is_listed = any(one.vm == self._settings.vm for one in fleet)
        vm_count = len(fleet) if is_listed else len(fleet) + 1
        self._hints.peers = [
            one.peer_address for one in fleet if one.vm != self._settings.vm
        ]
        domain = self._settings.failure_domain
        watchers = choose_watchers(fleet, domain)
        size = sum(1 for one in fleet if one.failure_domain == domain)
        self._sources.set_watchers(watchers, size)
        self._follower.assign(is_relaying=size > SMALL_DOMAIN_VMS)
        before = self._forwarder.vm_count
        self._forwarder.apply_fleet(fleet, vm_count)
        if not self._is_warm:
            self._is_warm = True
            self._forwarder.warm()
        if vm_count != before:
            log_event(_log, 'fleet-size', vms=vm_count, before=before)
            self._metrics.gauge('fleet.vms', vm_count)

    # The process.

    @property
    def is_ready(self) -> bool:
        """Tell whether the balancer may send callers here."""
        return (
            not self._forwarder.is_leaving
            and self._forwarder.routes.state is not None
            and self._forwarder.directory.has_listing
        )

    def _check_reach(self) -> None:
        """Look whether this VM is cut off from what others may reach.

        If routes in use reach too few upstreams, callers are better served
        elsewhere if another VM says that it can serve these routes, or if
        the store is out of reach too and so this VM is cut off. Upstreams
        that are lost to all VMs are no reason to send callers elsewhere.
        """
        now = steady_time()
        self._forwarder.expire()
        out_of_reach = self._forwarder.out_of_reach()
        in_use = self._forwarder.routes_in_use()
        self._unservable = [name for name in out_of_reach if name in in_use]
        serving = self._hints.reach.vms_serving(self._unservable, now)
        is_cut_off = bool(self._unservable and (self._lost_kinds or serving))
        if is_cut_off is not self._forwarder.readiness.is_cut_off:
            self._forwarder.readiness.is_cut_off = is_cut_off
            log_event(
                _log,
                'cut-off' if is_cut_off else 'reaches-again',
                routes=self._unservable,
                lost=sorted(self._lost_kinds),
                served_by=serving,
            )
        self._hints.unservable = out_of_reach
        self._hints.is_ready = self.is_ready
        if self._unservable and now > self._verified_at + _VERIFY_INTERVAL:
            self._verified_at = now
            task = self._loop.create_task(self._follower.verify())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._reach_timer = self._loop.call_later(
            _REACH_INTERVAL, self._check_reach
        )

    async def _answer_readiness(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(_OK if self.is_ready else _UNAVAILABLE)

    async def _answer_metrics(self, request: HttpRequest) -> HttpResponse:
        self._metrics.gauge('store.calls', self._follower.calls)
        return HttpResponse(
            _OK,
            self._metrics.render().encode(),
            {'content-type': 'text/plain'},
        )

    def _reload(self) -> None:
        try:
            settings = load_router_settings(self._path)
        except SettingsError as refused:
            log_event(_log, 'reload-refused', 30, problem=str(refused))
            return
        changed = [
            name
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        log_event(_log, 'reloaded', changed=changed)


def load_router_settings(path: str | None) -> RouterSettings:
    """Read the settings file; raises SettingsError."""
    if not path:
        raise SettingsError('--settings', '$', 'names no file')
    try:
        text = Path(path).read_bytes()
    except OSError as failed:
        raise SettingsError(path, '$', str(failed)) from failed
    return read_router_settings(text, path)


async def _run_router(settings: RouterSettings, path: str) -> None:
    handler = JournalHandler(f'{settings.vm}/router', time, steady_time)
    start_journal(handler, _LOG_LEVEL.value)
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
    except SesametrackError as refused:
        stderr.write(f'{refused}\n')
        exit_process(_EXIT_REFUSED)
    run(_run_router(settings, _SETTINGS.value))


def run_program() -> None:
    """Parse the command line and run the router until its shutdown."""
    app.run(_main)


if __name__ == '__main__':
    run_program()
