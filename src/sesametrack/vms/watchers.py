"""Which VMs watch the store, and whom the others follow."""

from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from sesametrack.contracts.types import (
    Address,
    FailureDomainId,
    Instant,
    Seconds,
    VmId,
)

# VMs of a large failure domain that watch the store themselves: one may go
# and the others still learn of changes in time.
WATCHERS_PER_DOMAIN = 2
# In a failure domain of so many VMs each one watches.
SMALL_DOMAIN_VMS = 3
# A relay that failed is tried again after so long.
_FAILED: Seconds = 5


@dataclass(frozen=True, slots=True)
class FleetVm:
    """A live VM.

    `relay_address` serves the store's objects to followers, `peer_address`
    receives datagrams and sub-gathers from other VMs.
    """

    vm: VmId
    failure_domain: FailureDomainId
    relay_address: Address
    peer_address: Address


def choose_watchers(
    vms: list[FleetVm], domain: FailureDomainId
) -> list[FleetVm]:
    """Return the watchers of a failure domain, the same on every VM.

    Ranked by hash, so that a VM that comes or goes moves one watcher.
    """
    near = [one for one in vms if one.failure_domain == domain]
    near.sort(key=lambda one: xxh3_64_intdigest(one.vm.encode()))
    return near[:WATCHERS_PER_DOMAIN]


class StoreSources:
    """Whom this VM asks for the store's objects: a relay or the store."""

    def __init__(self, store: Address, vm: VmId) -> None:
        """Ask the store until `assign` names watchers."""
        self._store = store
        self._vm = vm
        self._relays: list[Address] = []
        self._failed_until: dict[Address, Instant] = {}

    def set_watchers(self, watchers: list[FleetVm], domain_size: int) -> None:
        """Take over the watchers of this VM's failure domain."""
        is_watcher = any(one.vm == self._vm for one in watchers)
        self._relays = []
        if is_watcher or domain_size <= SMALL_DOMAIN_VMS:
            return
        # Followers spread over the watchers.
        start = xxh3_64_intdigest(self._vm.encode()) % len(watchers)
        ordered = watchers[start:] + watchers[:start]
        self._relays = [one.relay_address for one in ordered]

    @property
    def store(self) -> Address:
        """Return the store's own address."""
        return self._store

    def current(self, now: Instant) -> Address:
        """Return the first relay that has not failed, else the store."""
        for relay in self._relays:
            if now >= self._failed_until.get(relay, now):
                return relay
        return self._store

    def record_failure(self, address: Address, now: Instant) -> None:
        """Pass a relay over for a while."""
        if address != self._store:
            self._failed_until[address] = now + _FAILED
