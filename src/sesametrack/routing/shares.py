"""This VM's share of limits that hold for the whole fleet.

The limit of a service is divided among the VMs that may send to it. For
shards of wide gathers most of it goes to their aggregators; other VMs send
to these shards only to replace an aggregator.
"""

from dataclasses import dataclass, field

from sesametrack.contracts.types import ServiceId

# Part of an upstream's connections that is not assigned to VMs, for
# connections that are still closing while others open.
_CONNECTION_RESERVE_FRACTION = 0.1
# Number of VMs to assume until the fleet has been counted.
DEFAULT_VM_COUNT = 16
# Fractions of a limit for the aggregators of first rank, for those of second
# rank, which replace them, and for all other VMs together.
RANK_FRACTIONS = (0.55, 0.3)
_UNRANKED_FRACTION = 0.15


@dataclass(frozen=True, slots=True)
class LimitShares:
    """Division of the fleet's limits, from this VM's view of the fleet.

    `vms_per_rank` is the number of VMs that hold one rank for a service,
    over all failure domains, and `unranked_vm_count` the number of VMs
    without a rank. `rank_by_service` holds this VM's rank for each service
    of a wide gather, None if it has no rank.
    """

    vm_count: int = 1
    vms_per_rank: int = 1
    unranked_vm_count: int = 0
    rank_by_service: dict[ServiceId, int | None] = field(default_factory=dict)

    def fraction(self, service: ServiceId) -> float:
        """Return this VM's fraction of the limit of one service."""
        if service not in self.rank_by_service:
            return 1 / max(1, self.vm_count)
        rank = self.rank_by_service[service]
        if rank is not None:
            return RANK_FRACTIONS[rank] / self.vms_per_rank
        return _UNRANKED_FRACTION / max(1, self.unranked_vm_count)


def connection_limit(max_connections: int, fraction: float) -> int:
    """Return how many connections to one upstream this VM may hold.

    The minimum is one, even with more VMs than connections: most of them
    connect only to replace an aggregator, and close idle connections.
    """
    return max(
        1, int(max_connections * (1 - _CONNECTION_RESERVE_FRACTION) * fraction)
    )
