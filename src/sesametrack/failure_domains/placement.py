"""Which gate owns which upstream."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from sesametrack.contracts.inventory import Inventory, Upstream
from sesametrack.contracts.members import Member, Role
from sesametrack.contracts.types import FailureDomainId, UpstreamId


def rank_gates(
    upstream_id: UpstreamId, gates: Iterable[Member]
) -> list[Member]:
    """Order gates by rendezvous hashing, the owner first."""
    return sorted(
        gates,
        key=lambda gate: (_weigh(upstream_id, gate), gate.id),
        reverse=True,
    )


def choose_gate(
    upstream: Upstream, gates_by_domain: dict[FailureDomainId, list[Member]]
) -> Member | None:
    """Return the gate that owns an upstream; None without any gate.

    The gates of the upstream's own failure domain come first, so that a
    partition which cuts the domain takes gate and upstream together.
    """
    gates = gates_by_domain.get(upstream.failure_domain)
    if not gates:
        gates = [gate for near in gates_by_domain.values() for gate in near]
    if not gates:
        return None
    return max(gates, key=lambda gate: (_weigh(upstream.id, gate), gate.id))


class Placement:
    """Owners of all upstreams for one view of the membership."""

    def __init__(self, inventory: Inventory, members: Iterable[Member]) -> None:
        """Compute the owners; members are the usable ones of any role."""
        gates_by_domain: dict[FailureDomainId, list[Member]] = {}
        for member in members:
            if member.role is Role.gate:
                near = gates_by_domain.setdefault(member.failure_domain, [])
                near.append(member)
        self._gate_by_upstream: dict[UpstreamId, Member] = {}
        for upstream in inventory.upstream_by_id.values():
            gate = choose_gate(upstream, gates_by_domain)
            if gate is not None:
                self._gate_by_upstream[upstream.id] = gate

    def gate_of(self, upstream_id: UpstreamId) -> Member | None:
        """Return the owner of an upstream, or None."""
        return self._gate_by_upstream.get(upstream_id)

    def owned_by(self, member_id: str) -> set[UpstreamId]:
        """Return the upstreams that a gate owns."""
        return {
            upstream
            for upstream, gate in self._gate_by_upstream.items()
            if gate.id == member_id
        }


def _weigh(upstream_id: UpstreamId, gate: Member) -> int:
    return xxh3_64_intdigest(f'{upstream_id}\n{gate.id}'.encode())
