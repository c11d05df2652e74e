"""Runtime shared by the entry and gate daemons."""

from asyncio import Event as AsyncEvent
from asyncio import Task, create_task, get_running_loop, sleep
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import singledispatchmethod
from logging import getLogger
from random import Random
from signal import SIGINT, SIGTERM
from time import monotonic, time

from sesametrack.configuration.parts import Configuration
from sesametrack.contracts.exceptions import PlatformError
from sesametrack.contracts.members import (
    Member,
    ObjectVersions,
    QuarantineNotice,
    Role,
)
from sesametrack.contracts.settings import DaemonPorts, Settings
from sesametrack.contracts.types import Seconds
from sesametrack.links.datagrams import DatagramEndpoint
from sesametrack.links.http_server import HttpServer
from sesametrack.links.platform import PlatformClient
from sesametrack.programs.admin import AdminEndpoint
from sesametrack.programs.synchronizer import Synchronizer
from sesametrack.telemetry.events import EventLog
from sesametrack.telemetry.metrics import Metrics
from sesametrack.vms.events import (
    AddressesDiscovered,
    GossipReceived,
    JoinFinished,
    LeaveRequested,
    MembersChanged,
    MembershipAction,
    MembershipEvent,
    NoticesChanged,
    NoticesReceived,
    PeerLinkLost,
    SendGossip,
    Ticked,
    VersionsChanged,
    VersionsReceived,
)
from sesametrack.vms.lifecycle import Lifecycle
from sesametrack.vms.membership import Membership

_TICK_INTERVAL: Seconds = 0.05
# A daemon exchanges gossip for this long before it joins as a member that
# gets work. Otherwise it would take over upstreams whose owners it does not
# know yet.
_MIN_JOIN_TIME: Seconds = 1
# After this time it also joins without peers or if it is not ready.
_JOIN_TIMEOUT: Seconds = 3
_VM_LIST_INTERVAL: Seconds = 5
_STOP_POLL_INTERVAL: Seconds = 0.05
_INCARNATIONS_PER_SECOND = 1000
_log = getLogger('node')


@dataclass(frozen=True, slots=True)
class NodeHandlers:
    """Callbacks of a daemon, for changes that the node detects."""

    members_changed: Callable[[], None]
    configuration_changed: Callable[[Configuration], None]
    leaving_changed: Callable[[frozenset[str]], None]
    notices_received: Callable[[list[QuarantineNotice]], None]
    is_ready_to_join: Callable[[], bool]
    describe: Callable[[], object]


class Node:
    """Membership, configuration, events and admin endpoint of a daemon."""

    def __init__(
        self, settings: Settings, role: Role, ports: DaemonPorts
    ) -> None:
        """Create the parts; `start` opens the sockets."""
        self.settings = settings
        self.local_member = make_member(settings, role, ports)
        self.rng = Random()
        self.events = EventLog(self.local_member.id, time, monotonic)
        self.metrics = Metrics(
            settings.statsd,
            f'sesametrack.{self.local_member.id.replace("/", ".")}',
        )
        self.lifecycle = Lifecycle(
            settings.unready_delay_s, settings.stop_timeout_s
        )
        self.platform = PlatformClient(settings.platform)
        self.membership = Membership(
            self.local_member, int(time() * _INCARNATIONS_PER_SECOND), self.rng
        )
        self.synchronizer = Synchronizer(self)
        self._started_at = monotonic()
        self._gossip = DatagramEndpoint(
            self.local_member.gossip, self._receive_gossip
        )
        self._admin = HttpServer(
            settings.address, ports.admin, AdminEndpoint(self).handle
        )
        self._handlers: NodeHandlers | None = None
        self._tasks: list[Task] = []
        self._stop_requested = AsyncEvent()

    @property
    def handlers(self) -> NodeHandlers:
        """Callbacks of the daemon."""
        return self._handlers

    async def start(self, handlers: NodeHandlers) -> None:
        """Open the sockets and start gossip and synchronization."""
        self._handlers = handlers
        await self._gossip.start()
        await self._admin.start()
        seeds = frozenset(self.settings.seeds)
        self.step(AddressesDiscovered(seeds))
        self._tasks = [
            create_task(self._run_ticks()),
            create_task(self._run_vm_list()),
        ]
        self.synchronizer.start()
        self.events.record('node', 'started')

    async def close(self) -> None:
        """Close everything the node owns."""
        for task in self._tasks:
            task.cancel()
        await self.synchronizer.close()
        await self._admin.close()
        await self._gossip.close()
        await self.platform.close()

    def install_signal_handlers(self) -> None:
        """Start a graceful shutdown on SIGTERM or SIGINT."""
        loop = get_running_loop()
        for signal in (SIGTERM, SIGINT):
            loop.add_signal_handler(signal, self.request_stop)

    def request_stop(self) -> None:
        """Start a graceful shutdown; further calls have no effect."""
        if self.lifecycle.request_stop(monotonic()):
            _log.info('draining before shutdown')
            self.events.record('node', 'draining')
            self.step(LeaveRequested())
        self._stop_requested.set()

    async def wait_for_shutdown(
        self, count_in_flight: Callable[[], int]
    ) -> None:
        """Wait until a requested shutdown has drained or timed out."""
        await self._stop_requested.wait()
        while not self.lifecycle.may_exit(monotonic(), count_in_flight()):
            await sleep(_STOP_POLL_INTERVAL)
        self.events.record('node', 'stopped', in_flight=count_in_flight())

    def members(self) -> list[Member]:
        """Return the usable members, without VMs taken out of service."""
        current = self.synchronizer.replica.current
        out = set(current.rules.vms_out) if current else set()
        return [
            member
            for member in self.membership.usable_members()
            if member.vm not in out
        ]

    def report_lost_link(self, member_id: str) -> None:
        """Report that the link to a member was lost, so that it is probed."""
        self.step(PeerLinkLost(member_id))

    def publish_versions(self, versions: ObjectVersions) -> None:
        """Announce new versions of platform objects to other members."""
        self.step(VersionsChanged(versions))

    def publish_notices(
        self, notices: list[QuarantineNotice], *, is_urgent: bool
    ) -> None:
        """Include notices of crashing requests in all gossip from now on."""
        self.step(NoticesChanged(tuple(notices), is_urgent))

    def step(self, event: MembershipEvent) -> None:
        """Pass an event to the membership and run the resulting actions."""
        for action in self.membership.handle(event, monotonic()):
            self._execute(action)

    def _receive_gossip(self, message: object, address: str) -> None:
        self.step(GossipReceived(message, address))

    @singledispatchmethod
    def _execute(self, action: MembershipAction) -> None:
        raise NotImplementedError(type(action).__name__)

    @_execute.register
    def _send_gossip(self, action: SendGossip) -> None:
        self._gossip.send(action.address, action.message)

    @_execute.register
    def _handle_members_changed(self, action: MembersChanged) -> None:
        states = self.membership.states().values()
        self.events.record(
            'membership',
            'changed',
            alive=sum(1 for state in states if state.value == 'alive'),
        )
        self._handlers.members_changed()

    @_execute.register
    def _handle_versions(self, action: VersionsReceived) -> None:
        self.synchronizer.fetch_if_newer(action.member, action.versions)

    @_execute.register
    def _handle_notices(self, action: NoticesReceived) -> None:
        self._handlers.notices_received(action.notices)

    async def _run_ticks(self) -> None:
        while True:
            try:
                self.step(Ticked())
                self._finish_join()
            except Exception:
                _log.exception('membership tick failed')
            await sleep(_TICK_INTERVAL)

    def _finish_join(self) -> None:
        if not self.membership.is_joining:
            return
        if not self.lifecycle.has_configuration:
            return
        elapsed = monotonic() - self._started_at
        if elapsed < _MIN_JOIN_TIME:
            return
        is_ready = (
            self.membership.has_peers and self._handlers.is_ready_to_join()
        )
        if is_ready or elapsed >= _JOIN_TIMEOUT:
            self.events.record('node', 'joined')
            self.lifecycle.mark_joined()
            self.step(JoinFinished())

    async def _run_vm_list(self) -> None:
        while True:
            # The platform limits the request rate, so only watchers read the
            # list; others discover members by gossip once they have a peer.
            is_watcher = self.synchronizer.is_watcher
            if is_watcher or not self.membership.has_peers:
                with suppress(PlatformError):
                    await self._discover_addresses()
            pause = _VM_LIST_INTERVAL * self.rng.uniform(0.8, 1.2)
            await sleep(pause)

    async def _discover_addresses(self) -> None:
        vms = await self.platform.list_vms()
        ports = (
            self.settings.entry.ports.gossip,
            self.settings.gate.ports.gossip,
        )
        addresses = {f'{vm.address}:{port}' for vm in vms for port in ports}
        addresses.update(self.settings.seeds)
        self.step(AddressesDiscovered(frozenset(addresses)))


def make_member(settings: Settings, role: Role, ports: DaemonPorts) -> Member:
    """Return the member record of a daemon with these settings."""
    host = settings.address
    return Member(
        f'{settings.vm}/{role.value}',
        settings.vm,
        settings.failure_domain,
        role,
        f'{host}:{ports.gossip}',
        f'{host}:{ports.peer}',
        f'{host}:{ports.admin}',
    )
