"""Choice of the VMs that watch the store and relay it to the others."""

from collections.abc import Iterable
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from sesametrack.contracts.types import (
    Address,
    FailureDomainId,
    Instant,
    Seconds,
    VmId,
)

# Watchers in a large failure domain: if one fails, its followers still get
# changes in time from the other.
WATCHERS_PER_DOMAIN = 2
# In failure domains of up to this many VMs, each VM watches the store.
SMALL_DOMAIN_VMS = 3
_RELAY_RETRY_DELAY: Seconds = 5


@dataclass(frozen=True, slots=True)
class FleetVm:
    """A live VM of the fleet.

    `relay_address` serves the store's objects to followers, `peer_address`
    receives datagrams and sub-gathers from other VMs, `grant_address` grants
    of further attempts, `permit_address` requests for permits. These are
    empty for VMs of older versions, which take none.
    """

    vm: VmId
    failure_domain: FailureDomainId
    relay_address: Address
    peer_address: Address
    grant_address: Address = ''
    permit_address: Address = ''


def choose_watchers(
    vms: list[FleetVm], domain: FailureDomainId
) -> list[FleetVm]:
    """Return the watchers of a failure domain, the same on every VM."""
    vm_by_id = {
        fleet_vm.vm: fleet_vm
        for fleet_vm in vms
        if fleet_vm.failure_domain == domain
    }
    return [vm_by_id[vm_id] for vm_id in rank_watchers(vm_by_id)]


def rank_watchers(vm_ids: Iterable[VmId]) -> list[VmId]:
    """Return which VMs of a failure domain are its watchers.

    VMs are ranked by a hash of their id, so that at most one watcher changes
    when a VM is added or removed.
    """
    ranked = sorted(vm_ids, key=lambda vm_id: xxh3_64_intdigest(vm_id.encode()))
    return ranked[:WATCHERS_PER_DOMAIN]


class StoreSources:
    """Selects the source of the store's objects: a relay or the store."""

    def __init__(self, store: Address, vm: VmId) -> None:
        """Use the store itself until `set_watchers` is called."""
        self._store = store
        self._vm = vm
        self._relays: list[Address] = []
        self._failed_until: dict[Address, Instant] = {}

    def set_watchers(self, watchers: list[FleetVm], domain_size: int) -> None:
        """Set the watchers of this VM's failure domain."""
        is_watcher = any(fleet_vm.vm == self._vm for fleet_vm in watchers)
        self._relays = []
        if is_watcher or domain_size <= SMALL_DOMAIN_VMS:
            return
        # Balances the followers over the watchers.
        start = xxh3_64_intdigest(self._vm.encode()) % len(watchers)
        rotated = watchers[start:] + watchers[:start]
        self._relays = [fleet_vm.relay_address for fleet_vm in rotated]

    @property
    def store(self) -> Address:
        """Return the address of the store itself."""
        return self._store

    def current(self, now: Instant) -> Address:
        """Return the first relay without a recent failure, or the store."""
        for relay in self._relays:
            if now >= self._failed_until.get(relay, now):
                return relay
        return self._store

    def record_failure(self, address: Address, now: Instant) -> None:
        """Skip a failed relay until the retry delay has passed."""
        if address != self._store:
            self._failed_until[address] = now + _RELAY_RETRY_DELAY
