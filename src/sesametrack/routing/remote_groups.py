"""Delegation of shards without own replicas to other failure domains.

Sends to shards that have no replica in the failure domain cross the link to
another domain one by one. In a wide gather they are delegated to the
aggregators of a domain that has replicas of them instead, so that only a few
requests and merged replies cross the link. These aggregators are those of
that domain's own VMs, which have connections to the shards already.
"""

from collections import Counter, defaultdict
from collections.abc import Collection
from dataclasses import dataclass, field
from math import ceil

from xxhash import xxh3_64_intdigest

from sesametrack.contracts.types import (
    FailureDomainId,
    Instant,
    Seconds,
    ServiceId,
    VmId,
)
from sesametrack.routing.aggregators import (
    MIN_SHARDS,
    MIN_VMS,
    ShardGroup,
    divide_shards,
)
from sesametrack.routing.directory import UpstreamDirectory
from sesametrack.routing.link_times import LinkTimes
from sesametrack.vms.watchers import FleetVm

# With fewer shards for one aggregator, own aggregators send to them: many
# small sub-gathers take more of the VMs' processors than the sends.
_MIN_GROUP_SHARDS = 4
# Least time between two looks at a changed directory, and at the nearest
# domains.
_CHECK_INTERVAL: Seconds = 0.25
_ORDER_INTERVAL: Seconds = 10
# Domains are equally near if their round trips differ by less than this.
_NEAR_TIME: Seconds = 0.005

_Groups = list[ShardGroup]
_Shards = tuple[ServiceId, ...]


@dataclass(slots=True)
class _Division:
    """Groups of one gather, and the shards that leave the domain."""

    own_groups: _Groups
    groups: _Groups
    remote_groups: _Groups = field(default_factory=list)
    leaving: frozenset[ServiceId] = frozenset()
    checked_at: Instant = float('-inf')
    # What the directory was at that time.
    directory_state: object = None


@dataclass(slots=True)
class _Fleet:
    """Live VMs by failure domain, and the first aggregators there."""

    vms_by_domain: dict[FailureDomainId, list[VmId]]
    first_vm_by_shard: dict[
        tuple[FailureDomainId, _Shards], dict[ServiceId, VmId]
    ] = field(default_factory=dict)
    order_by_domains: dict[
        tuple[FailureDomainId, ...], list[FailureDomainId]
    ] = field(default_factory=dict)

    def first_vms(
        self, domain: FailureDomainId, shards: _Shards
    ) -> dict[ServiceId, VmId]:
        """Return the first aggregator of each shard in a domain."""
        key = (domain, shards)
        if key not in self.first_vm_by_shard:
            first_vm_by_shard: dict[ServiceId, VmId] = {}
            for group in divide_shards(shards, self.vms_by_domain[domain]):
                first_vm_by_shard.update(
                    dict.fromkeys(group.shards, group.vms[0])
                )
            self.first_vm_by_shard[key] = first_vm_by_shard
        return self.first_vm_by_shard[key]


class RemoteGroups:
    """Replaces groups of shards that the own failure domain lacks."""

    def __init__(
        self,
        vm: VmId,
        domain: FailureDomainId,
        directory: UpstreamDirectory,
        link_times: LinkTimes,
    ) -> None:
        """Start without other VMs, so that no shard leaves the domain."""
        self._vm = vm
        self._domain = domain
        self._directory = directory
        self._link_times = link_times
        self._fleet = _Fleet({})
        self._division_by_shards: dict[_Shards, _Division] = {}

    def apply_fleet(self, fleet: list[FleetVm]) -> None:
        """Replace the list of live VMs."""
        vms_by_domain: dict[FailureDomainId, list[VmId]] = defaultdict(list)
        for one in fleet:
            vms_by_domain[one.failure_domain].append(one.vm)
        if vms_by_domain != self._fleet.vms_by_domain:
            self._fleet = _Fleet(vms_by_domain)
            self._division_by_shards.clear()

    def retain(self, gathers: Collection[_Shards]) -> None:
        """Forget all gathers except these."""
        for shards in self._division_by_shards.keys() - set(gathers):
            self._division_by_shards.pop(shards)

    def replace(
        self, shards: _Shards, own_groups: _Groups, now: Instant
    ) -> _Groups:
        """Return the groups of a gather, some of them with VMs elsewhere.

        `own_groups` are those in the own domain, empty if it has none.
        """
        if len(shards) < MIN_SHARDS:
            return own_groups
        division = self._division_by_shards.get(shards)
        if division is None or division.own_groups != own_groups:
            division = _Division(own_groups, own_groups)
            self._division_by_shards[shards] = division
        state = (self._directory.changes, self._directory.evacuated)
        interval = _ORDER_INTERVAL
        if division.directory_state != state:
            interval = _CHECK_INTERVAL
        if now >= division.checked_at + interval:
            division.checked_at = now
            division.directory_state = state
            self._update(division, shards)
        return division.groups

    def leaving(self, shards: _Shards) -> frozenset[ServiceId]:
        """Return the shards of a gather that leave the domain now."""
        division = self._division_by_shards.get(shards)
        return frozenset() if division is None else division.leaving

    @property
    def shard_count(self) -> int:
        """Return how many shards of all gathers leave the domain."""
        return sum(
            len(division.leaving)
            for division in self._division_by_shards.values()
        )

    def _update(self, division: _Division, shards: _Shards) -> None:
        """Divide a gather again if other shards lack own replicas."""
        domains_by_shard = {
            shard: {
                one.record.failure_domain
                for one in self._directory.usable(shard)
            }
            for shard in shards
        }
        lacking = {
            shard: domains
            for shard, domains in domains_by_shard.items()
            if domains and self._domain not in domains
        }
        remote_groups = self._group_remotely(shards, lacking)
        leaving = frozenset(
            shard for group in remote_groups for shard in group.shards
        )
        if not division.own_groups and len(leaving) < len(shards):
            # No VM of this domain would take the rest.
            remote_groups, leaving = [], frozenset()
        if remote_groups != division.remote_groups:
            division.remote_groups = remote_groups
            division.leaving = leaving
            division.groups = [
                *remote_groups,
                *_without(division.own_groups, leaving),
            ]

    def _group_remotely(
        self, shards: _Shards, lacking: dict[ServiceId, set[FailureDomainId]]
    ) -> _Groups:
        """Return the groups of those shards that are worth one."""
        able = [
            domain
            for domain, vms in sorted(self._fleet.vms_by_domain.items())
            if domain != self._domain
            and len(vms) >= MIN_VMS
            and any(domain in domains for domains in lacking.values())
        ]
        if not able:
            return []
        ordered = self._order(able)
        shards_by_vm: dict[VmId, list[ServiceId]] = defaultdict(list)
        vms_by_first: dict[VmId, tuple[VmId, ...]] = {}
        for shard, domains in lacking.items():
            vms = tuple(
                self._fleet.first_vms(domain, shards)[shard]
                for domain in ordered
                if domain in domains
            )
            if vms:
                shards_by_vm[vms[0]].append(shard)
                # The first VM of the next domain replaces the first one.
                vms_by_first.setdefault(vms[0], vms[:2])
        return [
            ShardGroup(tuple(grouped), vms_by_first[vm])
            for vm, grouped in shards_by_vm.items()
            if len(grouped) >= _MIN_GROUP_SHARDS
        ]

    def _order(self, domains: list[FailureDomainId]) -> list[FailureDomainId]:
        """Return the domains, the nearest first, spread over own VMs."""
        known = {
            domain: round_trip
            for domain in domains
            if (round_trip := self._link_times.round_trip(domain))
        }
        nearest = min(known.values(), default=0)
        time_by_domain = {
            domain: known.get(domain, nearest) for domain in domains
        }
        near = [
            domain
            for domain in domains
            if time_by_domain[domain] < nearest + _NEAR_TIME
        ]
        far = sorted(
            set(domains) - set(near), key=lambda one: time_by_domain[one]
        )
        return [*self._spread(tuple(near)), *far]

    def _spread(
        self, domains: tuple[FailureDomainId, ...]
    ) -> list[FailureDomainId]:
        if domains not in self._fleet.order_by_domains:
            own = {self._vm, *self._fleet.vms_by_domain.get(self._domain, ())}
            self._fleet.order_by_domains[domains] = spread_domains(
                self._vm, own, domains
            )
        return self._fleet.order_by_domains[domains]


def _without(groups: _Groups, leaving: frozenset[ServiceId]) -> _Groups:
    kept = []
    for group in groups:
        shards = tuple(one for one in group.shards if one not in leaving)
        if shards:
            kept.append(ShardGroup(shards, group.vms))
    return kept


def spread_domains(
    vm: VmId, vms: Collection[VmId], domains: Collection[FailureDomainId]
) -> list[FailureDomainId]:
    """Return the domains in the order in which this VM uses them.

    Each domain comes first for as many of the VMs as any other. What a lost
    domain had is spread over all others, and a VM that joins or leaves
    changes the order of few others.
    """
    limit = ceil(len(vms) / len(domains))
    taken: Counter[FailureDomainId] = Counter()
    ranked: list[FailureDomainId] = []
    for other in sorted(vms):
        rank_by_domain = {
            domain: xxh3_64_intdigest(f'{other}|{domain}'.encode())
            for domain in domains
        }
        ranked = sorted(domains, key=lambda one: rank_by_domain[one])
        first = next(one for one in ranked if taken[one] < limit)
        taken[first] += 1
        if other == vm:
            return [first, *(one for one in ranked if one != first)]
    return ranked
