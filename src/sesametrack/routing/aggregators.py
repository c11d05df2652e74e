"""Division of a wide gather over the VMs of one failure domain.

A VM that sends to every shard itself spends a millisecond of its small core
on each, and keeps a connection to each. In a large failure domain the shards
are divided into groups instead, and each group has the same aggregator on
every VM, so that an upstream sees a few VMs with connections in steady use.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from math import sqrt

from xxhash import xxh3_64_intdigest

from sesametrack.contracts.types import FailureDomainId, ServiceId, VmId
from sesametrack.routing.directory import Upstream, UpstreamRecord
from sesametrack.routing.shares import RANK_FRACTIONS, LimitShares
from sesametrack.vms.watchers import FleetVm

# Below so many shards, or VMs in the failure domain, a VM sends directly.
MIN_SHARDS = 40
MIN_VMS = 6
# A request to an aggregator and its reply take the requesting VM about two
# thirds of the time that one send to an upstream takes an aggregator, so the
# square root of 1.5 times the shards is the number of groups that is done
# first.
_GROUPS_FACTOR = 1.5
# What aggregators are called where upstreams have their service.
AGGREGATOR_SERVICE = 'aggregators'


@dataclass(frozen=True, slots=True)
class ShardGroup:
    """Shards that one aggregator asks; the first VM ranks highest."""

    shards: tuple[ServiceId, ...]
    vms: tuple[VmId, ...]


def divide_shards(
    shards: tuple[ServiceId, ...], vms: Iterable[VmId]
) -> list[ShardGroup]:
    """Divide shards into groups, the same on every VM with the same view.

    Each group takes the VMs that rank highest for it by rendezvous hashing
    among those with the fewest groups, so that a VM that comes or goes moves
    few groups.
    """
    names = sorted(vms)
    number = min(len(names), max(1, round(sqrt(_GROUPS_FACTOR * len(shards)))))
    load_by_vm = dict.fromkeys(names, 0)
    groups = []
    for index in range(number):
        members = shards[index::number]
        rank_by_vm = {
            vm: xxh3_64_intdigest(f'{members[0]}|{vm}'.encode()) for vm in names
        }
        ranked = sorted(
            names, key=lambda vm: (load_by_vm[vm], -rank_by_vm[vm])
        )[: len(RANK_FRACTIONS)]
        load_by_vm[ranked[0]] += 1
        groups.append(ShardGroup(members, tuple(ranked)))
    return groups


class Aggregators:
    """The VMs of this VM's failure domain, and the groups of wide gathers."""

    def __init__(self, vm: VmId, domain: FailureDomainId) -> None:
        """Start without other VMs: every gather is sent directly."""
        self.vm = vm
        self._domain = domain
        self._peer_by_vm: dict[VmId, Upstream] = {}
        self._groups_by_shards: dict[tuple[ServiceId, ...], list] = {}
        self._divisions = 1
        self._others = 0

    def apply(self, fleet: list[FleetVm]) -> tuple[bool, list[str]]:
        """Take over the live VMs.

        Returns whether the groups changed, and the link ids of the VMs that
        went.
        """
        near = {
            one.vm: one
            for one in fleet
            if one.failure_domain == self._domain and one.vm != self.vm
        }
        size_by_domain = Counter(one.failure_domain for one in fleet)
        # In a domain without aggregators every VM uses the upstreams.
        self._divisions = sum(
            1 if size >= MIN_VMS else size for size in size_by_domain.values()
        )
        self._others = sum(
            size - len(RANK_FRACTIONS)
            for size in size_by_domain.values()
            if size >= MIN_VMS
        )
        gone = [
            peer.id
            for vm, peer in self._peer_by_vm.items()
            if vm not in near or peer.record.address != near[vm].peer_address
        ]
        kept = {
            vm: peer
            for vm, peer in self._peer_by_vm.items()
            if peer.id not in gone
        }
        peers = {vm: kept.get(vm) or _as_upstream(near[vm]) for vm in near}
        is_changed = peers.keys() != self._peer_by_vm.keys()
        if is_changed:
            self._groups_by_shards.clear()
        self._peer_by_vm = peers
        return is_changed, gone

    def groups(self, shards: tuple[ServiceId, ...]) -> list[ShardGroup]:
        """Return the groups of a gather; none if it is sent directly."""
        if len(shards) < MIN_SHARDS or len(self._peer_by_vm) + 1 < MIN_VMS:
            return []
        groups = self._groups_by_shards.get(shards)
        if groups is None:
            groups = divide_shards(shards, [self.vm, *self._peer_by_vm])
            self._groups_by_shards[shards] = groups
        return groups

    def peer(self, vm: VmId) -> Upstream | None:
        """Return another VM as something that can be sent to."""
        return self._peer_by_vm.get(vm)

    def shares(
        self, vm_count: int, gathers: Iterable[tuple[ServiceId, ...]]
    ) -> LimitShares:
        """Return how the limits on the shards of gathers are divided."""
        gathers = set(gathers)
        self._groups_by_shards = {
            shards: groups
            for shards, groups in self._groups_by_shards.items()
            if shards in gathers
        }
        ranks: dict[ServiceId, int | None] = {}
        for shards in gathers:
            for group in self.groups(shards):
                rank = None
                if self.vm in group.vms:
                    rank = group.vms.index(self.vm)
                ranks.update(dict.fromkeys(group.shards, rank))
        return LimitShares(vm_count, self._divisions, self._others, ranks)


def _as_upstream(vm: FleetVm) -> Upstream:
    record = UpstreamRecord(
        id=f'vm/{vm.vm}',
        service=AGGREGATOR_SERVICE,
        address=vm.peer_address,
        failure_domain=vm.failure_domain,
        slots=1,
        is_draining=False,
        cold_left=0,
        sequence=0,
        started_ms=0,
    )
    return Upstream(record, cold_until=float('-inf'))
