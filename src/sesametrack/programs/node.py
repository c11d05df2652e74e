"""The node runtime that both daemons embed."""

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
from sesametrack.contracts.members import Member, Notice, Role, Versions
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

_TICK: Seconds = 0.05
# A daemon listens for this long before it counts as a member that gets work,
# so that it does not take upstreams whose owners it has not met yet.
_JOIN_TIME: Seconds = 1
_JOIN_ALONE_TIME: Seconds = 3
_VM_LIST_INTERVAL: Seconds = 5
_STOP_POLL: Seconds = 0.05
_INCARNATIONS_PER_SECOND = 1000
_log = getLogger('node')


@dataclass(frozen=True, slots=True)
class NodeHandlers:
    """What a daemon does when the node learns something."""

    members_changed: Callable[[], None]
    configured: Callable[[Configuration], None]
    leaving_changed: Callable[[frozenset[str]], None]
    notices_seen: Callable[[list[Notice]], None]
    is_prepared: Callable[[], bool]
    describe: Callable[[], object]


class Node:
    """Membership, configuration, events and the admin endpoint."""

    def __init__(
        self, settings: Settings, role: Role, ports: DaemonPorts
    ) -> None:
        """Bind the settings; `start` opens the sockets."""
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
        self._gossip = DatagramEndpoint(self.local_member.gossip, self._receive)
        self._admin = HttpServer(
            settings.address, ports.admin, AdminEndpoint(self).handle
        )
        self._handlers: NodeHandlers | None = None
        self._tasks: list[Task] = []
        self._stop_requested = AsyncEvent()

    @property
    def handlers(self) -> NodeHandlers:
        """The daemon's handlers."""
        return self._handlers

    async def start(self, handlers: NodeHandlers) -> None:
        """Open the sockets and begin to learn."""
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
        """Turn SIGTERM and SIGINT into a graceful shutdown."""
        loop = get_running_loop()
        for signal in (SIGTERM, SIGINT):
            loop.add_signal_handler(signal, self.request_stop)

    def request_stop(self) -> None:
        """Begin the graceful shutdown; further requests change nothing."""
        if self.lifecycle.request_stop(monotonic()):
            _log.info('draining before the stop')
            self.events.record('node', 'draining')
            self.step(LeaveRequested())
        self._stop_requested.set()

    async def wait_for_shutdown(
        self, count_in_flight: Callable[[], int]
    ) -> None:
        """Return once a requested shutdown may close the links."""
        await self._stop_requested.wait()
        while not self.lifecycle.may_exit(monotonic(), count_in_flight()):
            await sleep(_STOP_POLL)
        self.events.record('node', 'stopped', in_flight=count_in_flight())

    def members(self) -> list[Member]:
        """Return the usable members that operators have not taken out."""
        current = self.synchronizer.replica.current
        out = set(current.rules.vms_out) if current else set()
        return [
            member
            for member in self.membership.usable_members()
            if member.vm not in out
        ]

    def report_lost_link(self, member_id: str) -> None:
        """Let the membership check a member whose link was lost."""
        self.step(PeerLinkLost(member_id))

    def publish_versions(self, versions: Versions) -> None:
        """Tell other members of newer platform objects."""
        self.step(VersionsChanged(versions))

    def publish_notices(
        self, notices: list[Notice], *, is_urgent: bool
    ) -> None:
        """Carry notices on crashing requests to other members."""
        self.step(NoticesChanged(tuple(notices), is_urgent))

    def step(self, event: MembershipEvent) -> None:
        """Drive the membership and carry out its actions."""
        for action in self.membership.handle(event, monotonic()):
            self._act(action)

    def _receive(self, message: object, address: str) -> None:
        self.step(GossipReceived(message, address))

    @singledispatchmethod
    def _act(self, action: MembershipAction) -> None:
        raise NotImplementedError(type(action).__name__)

    @_act.register
    def _send(self, action: SendGossip) -> None:
        self._gossip.send(action.address, action.message)

    @_act.register
    def _members_changed(self, action: MembersChanged) -> None:
        states = self.membership.states().values()
        self.events.record(
            'membership',
            'changed',
            alive=sum(1 for state in states if state.value == 'alive'),
        )
        self._handlers.members_changed()

    @_act.register
    def _versions_seen(self, action: VersionsReceived) -> None:
        self.synchronizer.fetch_if_newer(action.member, action.versions)

    @_act.register
    def _notices_seen(self, action: NoticesReceived) -> None:
        self._handlers.notices_seen(action.notices)

    async def _run_ticks(self) -> None:
        while True:
            try:
                self.step(Ticked())
                self._finish_join()
            except Exception:
                _log.exception('membership step failed')
            await sleep(_TICK)

    def _finish_join(self) -> None:
        if not self.membership.is_joining:
            return
        if not self.lifecycle.has_configuration:
            return
        elapsed = monotonic() - self._started_at
        if elapsed < _JOIN_TIME:
            return
        is_prepared = self.membership.has_peers and self._handlers.is_prepared()
        if is_prepared or elapsed >= _JOIN_ALONE_TIME:
            self.events.record('node', 'joined')
            self.lifecycle.mark_joined()
            self.step(JoinFinished())

    async def _run_vm_list(self) -> None:
        while True:
            # Others hear of VMs by gossip; the platform's rate is limited.
            is_needed = self.synchronizer.is_watcher
            if is_needed or not self.membership.has_peers:
                with suppress(PlatformError):
                    await self._learn_vms()
            pause = _VM_LIST_INTERVAL * self.rng.uniform(0.8, 1.2)
            await sleep(pause)

    async def _learn_vms(self) -> None:
        vms = await self.platform.list_vms()
        ports = (
            self.settings.entry.ports.gossip,
            self.settings.gate.ports.gossip,
        )
        addresses = {f'{vm.address}:{port}' for vm in vms for port in ports}
        addresses.update(self.settings.seeds)
        self.step(AddressesDiscovered(frozenset(addresses)))


def make_member(settings: Settings, role: Role, ports: DaemonPorts) -> Member:
    """Return the member that a daemon with these settings is."""
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
