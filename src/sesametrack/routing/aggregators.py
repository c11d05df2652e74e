"""Assignment of a gather's shards to aggregators in a failure domain.

A VM that sends to every shard itself spends a millisecond of CPU time on a
small core for each, and keeps a connection to each. In a large failure domain
the shards are divided into groups instead. All VMs choose the same aggregator
for a group, so that an upstream has connections from only a few VMs, and
these stay in use.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from math import sqrt

from xxhash import xxh3_64_intdigest

from sesametrack.contracts.types import (
    Address,
    FailureDomainId,
    ServiceId,
    UpstreamId,
    VmId,
)
from sesametrack.routing.directory import Upstream, UpstreamRecord
from sesametrack.routing.link_times import LinkTimes
from sesametrack.routing.shares import RANK_FRACTIONS, LimitShares
from sesametrack.vms.watchers import FleetVm, rank_watchers

# With fewer shards, or VMs in the failure domain, a VM sends directly.
MIN_SHARDS = 40
MIN_VMS = 6
# An exchange with an aggregator takes the requesting VM about two thirds of the
# time that a send to an upstream takes the aggregator. The gather is then
# fastest with as many groups as the square root of 1.5 times its shards.
_GROUP_COUNT_FACTOR = 1.5
# Service id of aggregators, which are addressed like upstreams.
AGGREGATOR_SERVICE = 'aggregators'


@dataclass(frozen=True, slots=True)
class ShardGroup:
    """Shards of one aggregator and its candidate VMs, highest rank first."""

    shards: tuple[ServiceId, ...]
    vms: tuple[VmId, ...]


def divide_shards(
    shards: tuple[ServiceId, ...], vms: Iterable[VmId]
) -> list[ShardGroup]:
    """Return groups of shards, the same on all VMs that know the same VMs.

    Each group has the VMs that rank highest for it by rendezvous hashing
    among those with the fewest groups, so that few groups move when a VM
    joins or leaves. The VMs that relay the store's objects come last, as
    bursts of changes make them late.
    """
    vm_ids = sorted(vms)
    group_count = min(
        len(vm_ids), max(1, round(sqrt(_GROUP_COUNT_FACTOR * len(shards))))
    )
    group_count_by_vm = dict.fromkeys(vm_ids, 0)
    watchers = rank_watchers(vm_ids)
    if group_count + len(watchers) <= len(vm_ids):
        group_count_by_vm.update(dict.fromkeys(watchers, 1))
    groups = []
    for index in range(group_count):
        shards_of_group = shards[index::group_count]
        rank_by_vm = {
            vm: xxh3_64_intdigest(f'{shards_of_group[0]}|{vm}'.encode())
            for vm in vm_ids
        }
        ranked = sorted(
            vm_ids, key=lambda vm: (group_count_by_vm[vm], -rank_by_vm[vm])
        )[: len(RANK_FRACTIONS)]
        group_count_by_vm[ranked[0]] += 1
        groups.append(ShardGroup(shards_of_group, tuple(ranked)))
    return groups


class Aggregators:
    """Tracks the VMs of the own failure domain and assigns them groups."""

    def __init__(self, vm: VmId, domain: FailureDomainId) -> None:
        """Start without other VMs, so that gathers are sent directly."""
        self.vm = vm
        self.link_times = LinkTimes(domain)
        self._domain = domain
        self._peer_by_vm: dict[VmId, Upstream] = {}
        # VMs of other failure domains, which have groups of their own.
        self._remote_by_vm: dict[VmId, Upstream] = {}
        self._grant_address_by_peer: dict[UpstreamId, Address] = {}
        self._groups_by_shards: dict[tuple[ServiceId, ...], list] = {}
        self._divisions = 1
        self._others = 0

    def apply(self, fleet: list[FleetVm]) -> tuple[bool, list[str]]:
        """Replace the list of live VMs.

        Return whether the groups changed, and the link ids of the VMs that
        were removed.
        """
        removed_remote = self._apply_remote(fleet)
        domain_vms = {
            fleet_vm.vm: fleet_vm
            for fleet_vm in fleet
            if fleet_vm.failure_domain == self._domain
            and fleet_vm.vm != self.vm
        }
        size_by_domain = Counter(fleet_vm.failure_domain for fleet_vm in fleet)
        # In a domain without aggregators every VM sends to the upstreams.
        self._divisions = sum(
            1 if size >= MIN_VMS else size for size in size_by_domain.values()
        )
        self._others = sum(
            size - len(RANK_FRACTIONS)
            for size in size_by_domain.values()
            if size >= MIN_VMS
        )
        removed = [
            peer.id
            for vm, peer in self._peer_by_vm.items()
            if vm not in domain_vms
            or peer.record.address != domain_vms[vm].peer_address
        ]
        kept = {
            vm: peer
            for vm, peer in self._peer_by_vm.items()
            if peer.id not in removed
        }
        peers = {
            vm: kept.get(vm) or _make_upstream(domain_vms[vm])
            for vm in domain_vms
        }
        is_changed = peers.keys() != self._peer_by_vm.keys()
        if is_changed:
            self._groups_by_shards.clear()
        self._peer_by_vm = peers
        self._grant_address_by_peer = {
            _peer_id(fleet_vm.vm): fleet_vm.grant_address
            for fleet_vm in fleet
            if fleet_vm.vm != self.vm
        }
        return is_changed, removed + removed_remote

    def _apply_remote(self, fleet: list[FleetVm]) -> list[str]:
        """Replace the VMs of other domains; return the removed link ids."""
        before = self._remote_by_vm
        self._remote_by_vm = {}
        for fleet_vm in fleet:
            if fleet_vm.failure_domain == self._domain:
                continue
            known = before.get(fleet_vm.vm)
            if known is None or known.record.address != fleet_vm.peer_address:
                known = _make_upstream(fleet_vm)
            self._remote_by_vm[fleet_vm.vm] = known
        return [
            peer.id
            for vm, peer in before.items()
            if self._remote_by_vm.get(vm) is not peer
        ]

    def groups(self, shards: tuple[ServiceId, ...]) -> list[ShardGroup]:
        """Return the groups of a gather, empty if it is sent directly."""
        if len(shards) < MIN_SHARDS or len(self._peer_by_vm) + 1 < MIN_VMS:
            return []
        groups = self._groups_by_shards.get(shards)
        if groups is None:
            groups = divide_shards(shards, [self.vm, *self._peer_by_vm])
            self._groups_by_shards[shards] = groups
        return groups

    def peer(self, vm: VmId) -> Upstream | None:
        """Return the send target of another VM, None if it is not live."""
        return self._peer_by_vm.get(vm) or self._remote_by_vm.get(vm)

    def grant_address(self, peer_id: UpstreamId) -> Address:
        """Return where another VM receives grants, empty if it takes none."""
        return self._grant_address_by_peer.get(peer_id, '')

    def shares(
        self, vm_count: int, gathers: Iterable[tuple[ServiceId, ...]]
    ) -> LimitShares:
        """Return how the limits on the shards of these gathers are divided."""
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


def _peer_id(vm: VmId) -> UpstreamId:
    return f'vm/{vm}'


def _make_upstream(vm: FleetVm) -> Upstream:
    record = UpstreamRecord(
        id=_peer_id(vm.vm),
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
