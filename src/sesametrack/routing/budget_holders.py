"""Division of the fleet's budget of extra sends among its VMs.

The budget of a service is divided equally among the failure domains, and the
part of a domain among few VMs that hold it for the others. An equal part for
every VM would be less than one send for each of 195 VMs: most of it would lie
idle at VMs without any failing request, while others have no retry left.
"""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from sesametrack.contracts.types import (
    Address,
    FailureDomainId,
    ServiceId,
    VmId,
)
from sesametrack.routing.aggregators import ShardGroup
from sesametrack.vms.watchers import FleetVm

# In failure domains of up to this many VMs, each holds an equal part.
_SMALL_DOMAIN_VMS = 3
# Parts of a larger domain's budget for the first and the second holder. For
# shards these are the aggregators of the same ranks, which send to them.
_HOLDER_FRACTIONS = (0.75, 0.25)


class BudgetHolders:
    """The VMs of this VM's failure domain that hold each service's budget."""

    def __init__(self, vm: VmId, domain: FailureDomainId) -> None:
        """Hold nothing until the fleet is known."""
        self._vm = vm
        self._domain = domain
        self._domain_count = 0
        self._address_by_vm: dict[VmId, Address] = {}
        self._ranked_by_service: dict[ServiceId, tuple[VmId, ...]] = {}

    def apply_fleet(self, fleet: list[FleetVm]) -> None:
        """Replace the live VMs."""
        self._domain_count = len({one.failure_domain for one in fleet})
        self._address_by_vm = {
            one.vm: one.budget_address
            for one in fleet
            if one.failure_domain == self._domain
        }
        self._ranked_by_service.clear()

    def apply_groups(self, groups: Iterable[ShardGroup]) -> None:
        """Let the aggregators of these shards hold their budgets."""
        self._ranked_by_service.clear()
        for group in groups:
            self._ranked_by_service.update(
                dict.fromkeys(group.shards, group.vms)
            )

    def fraction(self, service: ServiceId) -> float:
        """Return the part of the fleet's budget that this VM holds.

        It is 0 while the fleet is unknown, and for VMs that borrow.
        """
        if self._vm not in self._address_by_vm:
            return 0
        holders = self._holders(service)
        if self._vm not in holders:
            return 0
        if len(self._address_by_vm) <= _SMALL_DOMAIN_VMS:
            return 1 / (self._domain_count * len(holders))
        rank = holders.index(self._vm)
        return _HOLDER_FRACTIONS[rank] / self._domain_count

    def lenders(self, service: ServiceId) -> list[Address]:
        """Return the other holders in the order in which to ask them."""
        return [
            address
            for vm in self._holders(service)
            if vm != self._vm and (address := self._address_by_vm.get(vm))
        ]

    def has_lenders(self, service: ServiceId) -> bool:
        """Return whether other VMs hold shares that they may lend."""
        return bool(self.lenders(service))

    def _holders(self, service: ServiceId) -> tuple[VmId, ...]:
        ranked = self._ranked_by_service.get(service)
        if ranked is None:
            ranked = self._rank(service)
            self._ranked_by_service[service] = ranked
        return ranked

    def _rank(self, service: ServiceId) -> tuple[VmId, ...]:
        ranked = sorted(
            self._address_by_vm,
            key=lambda vm: xxh3_64_intdigest(f'{service}|{vm}'.encode()),
        )
        if len(ranked) <= _SMALL_DOMAIN_VMS:
            return tuple(ranked)
        return tuple(ranked[: len(_HOLDER_FRACTIONS)])
