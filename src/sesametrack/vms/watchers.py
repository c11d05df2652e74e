"""Choice of the VMs that watch the store and relay it to the others."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from xxhash import xxh3_64_intdigest

from sesametrack.contracts.types import (
    Address,
    FailureDomainId,
    Instant,
    Seconds,
    VmId,
)
from sesametrack.vms.repeats import Repeated, grown_wait

# Watchers in a large failure domain: if one fails, its followers still get
# changes in time from the other.
WATCHERS_PER_DOMAIN = 2
# In failure domains of up to this many VMs, each VM watches the store.
SMALL_DOMAIN_VMS = 3


@dataclass(frozen=True, slots=True)
class FleetVm:
    """A live VM of the fleet.

    `relay_address` serves the store's objects to followers, `peer_address`
    receives datagrams and sub-gathers from other VMs, `grant_address` grants
    of further attempts, `permit_address` requests for permits,
    `budget_address` requests for extra sends, `quota_address` messages about
    quotas. These are empty for VMs that take none, as those of older versions.
    """

    vm: VmId
    failure_domain: FailureDomainId
    relay_address: Address
    peer_address: Address
    grant_address: Address = ''
    permit_address: Address = ''
    budget_address: Address = ''
    quota_address: Address = ''


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


@dataclass(slots=True)
class _Backoff:
    """When a source that has failed may be tried again."""

    failures: int = 0
    until: Instant = float('-inf')


class StoreSources:
    """Selects the source of the store's objects: a relay or the store.

    The store gets few calls however many VMs have lost it at once: a VM that
    has relays tries those again soon, and the store itself ever more rarely,
    as the relays notice its return.
    """

    def __init__(self, store: Address, vm: VmId, rng: Random) -> None:
        """Use the store itself until `set_watchers` is called."""
        self._store = store
        self._vm = vm
        self._rng = rng
        self._relays: list[Address] = []
        self._backoff_by_source: dict[Address, _Backoff] = {}

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
        """Return the source to use once `wait_time` has passed.

        It is the first one without a recent failure, relays before the store,
        otherwise the one that may be tried again first.
        """
        sources = [*self._relays, self._store]
        return min(sources, key=lambda one: max(now, self._retry_at(one)))

    def wait_time(self, now: Instant) -> Seconds:
        """Return the time until the current source may be tried."""
        return max(0, self._retry_at(self.current(now)) - now)

    def record_failure(self, address: Address, now: Instant) -> bool:
        """Delay the next try of a source, longer after each failure.

        Calls that fail together count as one failure. Return whether it is
        the first one.
        """
        backoff = self._backoff_by_source.setdefault(address, _Backoff())
        if now < backoff.until:
            return False
        backoff.failures += 1
        backoff.until = now + grown_wait(
            self._rule(address).value, backoff.failures, self._rng
        )
        return backoff.failures == 1

    def record_success(self, address: Address) -> None:
        """Record that a source has replied."""
        self._backoff_by_source.pop(address, None)

    def _retry_at(self, address: Address) -> Instant:
        backoff = self._backoff_by_source.get(address)
        return float('-inf') if backoff is None else backoff.until

    def _rule(self, address: Address) -> Repeated:
        """Return how a failed source is tried again."""
        if address != self._store:
            return Repeated.relay
        return Repeated.store_of_follower if self._relays else Repeated.store
