"""Which gate owns which upstream."""

from collections.abc import Iterable, Sequence

from xxhash import xxh3_64_intdigest

from sesametrack.contracts.inventory import Inventory
from sesametrack.contracts.members import Member, Role
from sesametrack.contracts.types import FailureDomainId, MemberId, UpstreamId


def choose_gate(upstream_id: UpstreamId, gates: Sequence[Member]) -> Member:
    """Return the gate that owns an upstream among these."""
    return max(gates, key=lambda gate: (_weigh(upstream_id, gate), gate.id))


class Placement:
    """Owners of all upstreams for one view of the membership.

    The gates of an upstream's own failure domain come first, so that a
    partition which cuts the domain takes gate and upstream together; where
    there is none, any gate may own it.
    """

    def __init__(
        self,
        inventory: Inventory,
        members: Iterable[Member],
        former: 'Placement | None' = None,
    ) -> None:
        """Compute the owners; members are the usable ones of any role.

        Failure domains whose gates are as in the former placement keep its
        owners, so that a change costs as much as one failure domain.
        """
        self._inventory = inventory
        self._candidates_by_domain = _find_candidates(inventory, members)
        self._owner_by_domain: dict[
            FailureDomainId, dict[UpstreamId, Member]
        ] = {}
        for domain, upstreams in inventory.upstreams_by_domain.items():
            kept = former and former.find_kept(self, domain)
            self._owner_by_domain[domain] = kept or self._choose_all(
                upstreams, self._candidates_by_domain[domain]
            )

    def gate_of(self, upstream_id: UpstreamId) -> Member | None:
        """Return the owner of an upstream, or None."""
        upstream = self._inventory.upstream_by_id.get(upstream_id)
        if upstream is None:
            return None
        owners = self._owner_by_domain[upstream.failure_domain]
        return owners.get(upstream_id)

    def owned_by(self, member_id: MemberId) -> set[UpstreamId]:
        """Return the upstreams that a gate owns."""
        owned = set()
        for domain, owners in self._owner_by_domain.items():
            candidates = self._candidates_by_domain[domain]
            if not any(gate.id == member_id for gate in candidates):
                continue
            owned.update(
                known for known, gate in owners.items() if gate.id == member_id
            )
        return owned

    def find_kept(
        self, newer: 'Placement', domain: FailureDomainId
    ) -> dict[UpstreamId, Member] | None:
        """Return the owners in a domain if a newer view has the same."""
        if newer._inventory is not self._inventory:
            return None
        candidates = newer._candidates_by_domain[domain]
        if candidates != self._candidates_by_domain[domain]:
            return None
        return self._owner_by_domain[domain]

    def _choose_all(
        self, upstreams: Sequence[UpstreamId], gates: Sequence[Member]
    ) -> dict[UpstreamId, Member]:
        if not gates:
            return {}
        return {known: choose_gate(known, gates) for known in upstreams}


def _find_candidates(
    inventory: Inventory, members: Iterable[Member]
) -> dict[FailureDomainId, list[Member]]:
    gates = sorted(
        (member for member in members if member.role is Role.gate),
        key=lambda gate: gate.id,
    )
    near: dict[FailureDomainId, list[Member]] = {}
    for gate in gates:
        near.setdefault(gate.failure_domain, []).append(gate)
    return {
        domain: near.get(domain, gates)
        for domain in inventory.upstreams_by_domain
    }


def _weigh(upstream_id: UpstreamId, gate: Member) -> int:
    return xxh3_64_intdigest(f'{upstream_id}\n{gate.id}'.encode())
