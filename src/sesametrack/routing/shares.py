"""This VM's share of limits that the fleet shares.

A limit on one service is divided by the VMs that may use it. Where wide
gathers have aggregators, these use it most, and the others only if they must
take an aggregator's place.
"""

from dataclasses import dataclass, field

from sesametrack.contracts.types import ServiceId

# Connections above the sum of all shares that an upstream is left for
# connections that are closing while others open.
_CONNECTION_RESERVE = 0.1
# A VM that has not yet learned how many there are assumes so many.
DEFAULT_VM_COUNT = 16
# Parts of a limit for the aggregators that rank first, for those that rank
# second and take over from them, and for all other VMs together.
RANK_FRACTIONS = (0.55, 0.3)
_OTHERS_PART = 0.15


@dataclass(frozen=True, slots=True)
class LimitShares:
    """How the fleet's limits are divided, as this VM sees the fleet.

    `divisions` is the number of VMs of each rank that a service has over all
    failure domains, `others` that of the VMs without a rank, and
    `rank_by_service` has this VM's rank for services of wide gathers, None
    where it has none.
    """

    vm_count: int = 1
    divisions: int = 1
    others: int = 0
    rank_by_service: dict[ServiceId, int | None] = field(default_factory=dict)

    def fraction(self, service: ServiceId) -> float:
        """Return this VM's part of a limit on one service."""
        if service not in self.rank_by_service:
            return 1 / max(1, self.vm_count)
        rank = self.rank_by_service[service]
        if rank is not None:
            return RANK_FRACTIONS[rank] / self.divisions
        return _OTHERS_PART / max(1, self.others)


def connection_limit(max_connections: int, part: float) -> int:
    """Return how many connections to one upstream this VM may hold.

    At least one: VMs beyond the number of connections use theirs only in
    an aggregator's place, and let it go when it rests.
    """
    return max(1, int(max_connections * (1 - _CONNECTION_RESERVE) * part))
