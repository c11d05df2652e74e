"""Registration of this VM in the store, and discovery of the fleet."""

from asyncio import Event, Task, create_task, sleep, wait_for
from collections.abc import Callable
from contextlib import suppress
from logging import getLogger
from random import Random

from msgspec import Struct, ValidationError, convert

from sesametrack.contracts.exceptions import (
    ConflictError,
    ObjectMissingError,
    PlatformError,
)
from sesametrack.contracts.settings import is_address
from sesametrack.contracts.types import Address, Instant, Seconds, VmId
from sesametrack.platform.pages import StoreObject
from sesametrack.platform.store import (
    StoreConnection,
)
from sesametrack.telemetry.structured_log import log_event
from sesametrack.telemetry.traffic import Traffic
from sesametrack.vms.fleet_count import FleetCount
from sesametrack.vms.repeats import Repeated, grown_wait
from sesametrack.vms.watchers import FleetVm

_OBJECT_KIND = 'sesametrack-vms'
# On the first start of the whole system, the VMs need this long to see each
# other's entries; later there are entries of earlier processes.
_FIRST_LISTING_DELAY: Seconds = 1.5
_log = getLogger('registration')


class _Entry(Struct):
    failure_domain: str
    # Receives datagrams and sub-gathers from other VMs.
    peer_address: str
    # Serves the store's objects to followers.
    relay_address: str
    # Changes with each write; only compared for equality.
    heartbeat: int
    # Receives grants of further attempts. Older versions have none.
    grant_address: str = ''
    # Receives messages about permits. Older versions have none.
    permit_address: str = ''
    # Receives requests for extra sends. Older versions have none.
    budget_address: str = ''
    # Receives messages about quotas, if the VM has any.
    quota_address: str = ''


class Registration:
    """Writes this VM's heartbeats and reads those of the other VMs.

    Each listing calls `on_fleet` with the live VMs.
    """

    def __init__(
        self,
        address: Address,
        own_vm: FleetVm,
        on_fleet: Callable[[list[FleetVm]], None],
        now: Callable[[], Instant],
        rng: Random,
        *,
        is_first_start: bool,
        traffic: Traffic | None = None,
    ) -> None:
        """Set the content of the entry; `start` writes it."""
        self._is_first_start = is_first_start
        self._connection = StoreConnection(address, traffic, 'fleet')
        self._own_vm = own_vm
        # Earlier processes of this VM have written the entry.
        self._is_created = not is_first_start
        self._on_fleet = on_fleet
        self._now = now
        self._rng = rng
        # Random, so that a restarted process does not repeat a heartbeat.
        self._heartbeat = rng.randrange(1 << 30)
        self._fleet = FleetCount(own_vm.vm)
        self._entry_by_vm: dict[VmId, _Entry] = {}
        self._era: int | None = None
        self._is_woken = Event()
        self._is_entry_lost = False
        self._has_failed = False
        self._task: Task | None = None

    async def start(self) -> None:
        """Write heartbeats and list the fleet until `close`."""
        self._task = create_task(self._run())

    async def close(self) -> None:
        """Stop; another VM removes the entry once it has expired."""
        if self._task is not None:
            self._task.cancel()
        self._connection.close()

    def record_restore(self) -> None:
        """Write this VM's entry again at once, as the store may lack it."""
        self._is_entry_lost = True
        self._is_woken.set()

    def record_store_reply(self) -> None:
        """Repeat failed calls at once, as the store replies to others."""
        if self._has_failed:
            self._is_woken.set()

    async def _run(self) -> None:
        if self._is_first_start:
            await self._register()
            await sleep(_FIRST_LISTING_DELAY)
        is_written = self._is_first_start
        failures = 0
        while True:
            try:
                await self._list_fleet()
                if not is_written:
                    await self._write_heartbeat()
            except PlatformError as error:
                log_event(_log, 'registration-failed', problem=str(error))
                self._has_failed = True
                failures += 1
                delay = grown_wait(Repeated.register.value, failures, self._rng)
            else:
                self._has_failed = False
                is_written = False
                failures = 0
                delay = self._fleet.interval * (0.75 + self._rng.random() / 2)
            await self._pause(delay)

    async def _pause(self, delay: Seconds) -> None:
        """Wait for the next round; after a restore, write the entry first."""
        with suppress(TimeoutError):
            await wait_for(self._is_woken.wait(), delay)
        self._is_woken.clear()
        if self._is_entry_lost:
            self._is_entry_lost = False
            self._is_created = False
            await self._register()

    async def _register(self) -> None:
        try:
            await self._write_heartbeat()
        except PlatformError as error:
            log_event(_log, 'registration-failed', problem=str(error))

    async def _write_heartbeat(self) -> None:
        self._heartbeat += 1
        own_vm = self._own_vm
        entry = _Entry(
            own_vm.failure_domain,
            own_vm.peer_address,
            own_vm.relay_address,
            self._heartbeat,
            own_vm.grant_address,
            own_vm.permit_address,
            own_vm.budget_address,
            own_vm.quota_address,
        )
        is_created, self._is_created = self._is_created, False
        try:
            await self._put(entry, is_created=is_created)
        except (ConflictError, ObjectMissingError):
            await self._put(entry, is_created=not is_created)
        self._is_created = True

    async def _put(self, entry: _Entry, *, is_created: bool) -> None:
        put = (
            self._connection.replace if is_created else self._connection.create
        )
        await put(_OBJECT_KIND, self._own_vm.vm, entry)

    async def _list_fleet(self) -> None:
        # On the first start of all VMs a stale copy would have no entries.
        is_stale_useful = self._fleet.has_heartbeats or not self._is_first_start
        objects, _ = await self._connection.list_objects(
            _OBJECT_KIND, allow_stale=is_stale_useful
        )
        entry_by_vm = {
            one.meta.name: entry
            for one in objects
            if (entry := _decode_entry(one)) is not None
        }
        heartbeat_by_vm = {
            vm: entry.heartbeat for vm, entry in entry_by_vm.items()
        }
        before, self._era = self._era, self._connection.era
        is_restored = before is not None and self._era != before
        if is_restored:
            entry_by_vm = {**self._entry_by_vm, **entry_by_vm}
        self._entry_by_vm = entry_by_vm
        expired_vms = self._fleet.observe(
            heartbeat_by_vm, self._now(), is_restored=is_restored
        )
        for vm in expired_vms:
            log_event(_log, 'vm-entry-removed', vm=vm)
            await self._connection.delete(_OBJECT_KIND, vm)
        live_vms = sorted(self._fleet.live & entry_by_vm.keys())
        fleet = [_make_fleet_vm(vm, entry_by_vm[vm]) for vm in live_vms]
        self._on_fleet(fleet)


def _make_fleet_vm(vm: VmId, entry: _Entry) -> FleetVm:
    return FleetVm(
        vm,
        entry.failure_domain,
        entry.relay_address,
        entry.peer_address,
        entry.grant_address,
        entry.permit_address,
        entry.budget_address,
        entry.quota_address,
    )


def _decode_entry(store_object: StoreObject) -> _Entry | None:
    problem = 'an address is not an IP and a port'
    try:
        entry = convert(store_object.spec, _Entry)
    except ValidationError as error:
        problem = str(error)
    else:
        if _has_addresses(entry):
            return entry
    log_event(
        _log,
        'vm-entry-refused',
        entry=store_object.meta.name,
        problem=problem,
    )
    return None


def _has_addresses(entry: _Entry) -> bool:
    """Return whether messages can be sent to all that the entry names."""
    required = (entry.peer_address, entry.relay_address)
    optional = (
        entry.grant_address,
        entry.permit_address,
        entry.budget_address,
        entry.quota_address,
    )
    return all(is_address(one) for one in required) and all(
        not one or is_address(one) for one in optional
    )
