"""This VM's entry in the store, and the number of VMs that have one."""

from asyncio import Task, create_task, sleep
from collections.abc import Callable
from logging import getLogger
from random import Random

from msgspec import Struct, ValidationError, convert

from sesametrack.contracts.exceptions import ConflictError, PlatformError
from sesametrack.contracts.types import (
    Address,
    FailureDomainId,
    Instant,
    Seconds,
    VmId,
)
from sesametrack.platform.store import StoreConnection, StoreObject
from sesametrack.telemetry.journal import log_event
from sesametrack.vms.fleet_count import FleetCount
from sesametrack.vms.watchers import FleetVm

_KIND = 'sesametrack-vms'
_RETRY_PAUSE: Seconds = 1
# When the whole system starts for the first time, VMs see each other's
# entries only after a while; later there are entries of earlier processes.
_FIRST_PAUSE: Seconds = 1.5
_log = getLogger('registration')


class _Entry(Struct):
    failure_domain: str
    # Where the VM takes datagrams of other VMs.
    peer_address: str
    # Where it answers for the store.
    relay_address: str
    heartbeat: int


class Registration:
    """Writes a heartbeat and reads those of the other VMs."""

    def __init__(
        self,
        address: Address,
        vm: VmId,
        domain: FailureDomainId,
        peer_address: Address,
        relay_address: Address,
        on_fleet: Callable[[list[FleetVm]], None],
        now: Callable[[], Instant],
        rng: Random,
        *,
        is_first_start: bool,
    ) -> None:
        """Bind the names; `start` registers."""
        self._is_first_start = is_first_start
        self._connection = StoreConnection(address)
        self._vm = vm
        self._domain = domain
        self._peer_address = peer_address
        self._relay_address = relay_address
        self._is_created = False
        self._on_fleet = on_fleet
        self._now = now
        self._rng = rng
        # A restarted process must not repeat a heartbeat.
        self._heartbeat = rng.randrange(1 << 30)
        self._fleet = FleetCount(vm)
        self._task: Task | None = None

    async def start(self) -> None:
        """Register and count until `close`."""
        self._task = create_task(self._run())

    async def close(self) -> None:
        """Stop; the entry ages and is removed by another VM."""
        if self._task is not None:
            self._task.cancel()
        self._connection.close()

    async def _run(self) -> None:
        await self._register()
        if self._is_first_start:
            await sleep(_FIRST_PAUSE)
        is_later = False
        while True:
            pause = self._fleet.interval
            try:
                await self._count()
                if is_later:
                    await self._renew()
                is_later = True
                pause = self._fleet.interval
            except PlatformError as failed:
                pause = _RETRY_PAUSE
                log_event(_log, 'registration-failed', problem=str(failed))
            await sleep(pause * (0.75 + self._rng.random() / 2))

    async def _register(self) -> None:
        try:
            await self._renew()
        except PlatformError as failed:
            log_event(_log, 'registration-failed', problem=str(failed))

    async def _renew(self) -> None:
        self._heartbeat += 1
        entry = _Entry(
            self._domain,
            self._peer_address,
            self._relay_address,
            self._heartbeat,
        )
        is_created, self._is_created = self._is_created, False
        if is_created:
            await self._connection.replace(_KIND, self._vm, entry)
        else:
            try:
                await self._connection.create(_KIND, self._vm, entry)
            except ConflictError:
                await self._connection.replace(_KIND, self._vm, entry)
        self._is_created = True

    async def _count(self) -> None:
        found, _ = await self._connection.list_objects(
            _KIND, allow_stale=self._fleet.has_heartbeats
        )
        entry_by_vm = {
            one.meta.name: entry
            for one in found
            if (entry := _read_entry(one)) is not None
        }
        heartbeats = {vm: entry.heartbeat for vm, entry in entry_by_vm.items()}
        gone = self._fleet.observe(heartbeats, self._now())
        for vm in gone:
            log_event(_log, 'vm-entry-removed', vm=vm)
            await self._connection.delete(_KIND, vm)
        live = sorted(self._fleet.live & entry_by_vm.keys())
        fleet = [
            FleetVm(
                vm,
                entry_by_vm[vm].failure_domain,
                entry_by_vm[vm].relay_address,
                entry_by_vm[vm].peer_address,
            )
            for vm in live
        ]
        self._on_fleet(fleet)


def _read_entry(found: StoreObject) -> _Entry | None:
    try:
        return convert(found.spec, _Entry)
    except ValidationError as refused:
        log_event(
            _log,
            'vm-entry-refused',
            entry=found.meta.name,
            problem=str(refused),
        )
        return None
