"""Assignment of upstreams to the gates that own them."""

from collections.abc import Iterable, Sequence

from xxhash import xxh3_64_intdigest

from sesametrack.contracts.inventory import Inventory
from sesametrack.contracts.members import Member, Role
from sesametrack.contracts.types import FailureDomainId, MemberId, UpstreamId


def choose_gate(upstream_id: UpstreamId, gates: Sequence[Member]) -> Member:
    """Return the owner of an upstream among gates, by rendezvous hashing."""
    return max(
        gates, key=lambda gate: (_hash_weight(upstream_id, gate), gate.id)
    )


class Placement:
    """Owners of all upstreams for one view of the membership.

    An upstream is owned by a gate in its own failure domain, so that a
    partition between domains does not separate them. If the domain has no
    gate, any gate may own it.
    """

    def __init__(
        self,
        inventory: Inventory,
        members: Iterable[Member],
        previous: 'Placement | None' = None,
    ) -> None:
        """Compute the owners; `members` are the usable ones of any role.

        Failure domains with the same gates as in the previous placement
        reuse its owners, to limit the cost of a change to one domain.
        """
        self._inventory = inventory
        self._candidates_by_domain = _candidate_gates(inventory, members)
        self._owner_by_domain: dict[
            FailureDomainId, dict[UpstreamId, Member]
        ] = {}
        for domain, upstreams in inventory.upstreams_by_domain.items():
            reused = previous and previous.reusable_owners(self, domain)
            self._owner_by_domain[domain] = reused or self._choose_owners(
                upstreams, self._candidates_by_domain[domain]
            )

    def gate_of(self, upstream_id: UpstreamId) -> Member | None:
        """Return the gate that owns an upstream, or None."""
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
                upstream_id
                for upstream_id, gate in owners.items()
                if gate.id == member_id
            )
        return owned

    def reusable_owners(
        self, other: 'Placement', domain: FailureDomainId
    ) -> dict[UpstreamId, Member] | None:
        """Return the owners in a domain if `other` has the same gates."""
        if other._inventory is not self._inventory:
            return None
        candidates = other._candidates_by_domain[domain]
        if candidates != self._candidates_by_domain[domain]:
            return None
        return self._owner_by_domain[domain]

    def _choose_owners(
        self, upstreams: Sequence[UpstreamId], gates: Sequence[Member]
    ) -> dict[UpstreamId, Member]:
        if not gates:
            return {}
        return {
            upstream_id: choose_gate(upstream_id, gates)
            for upstream_id in upstreams
        }


def _candidate_gates(
    inventory: Inventory, members: Iterable[Member]
) -> dict[FailureDomainId, list[Member]]:
    gates = sorted(
        (member for member in members if member.role is Role.gate),
        key=lambda gate: gate.id,
    )
    gates_by_domain: dict[FailureDomainId, list[Member]] = {}
    for gate in gates:
        gates_by_domain.setdefault(gate.failure_domain, []).append(gate)
    return {
        domain: gates_by_domain.get(domain, gates)
        for domain in inventory.upstreams_by_domain
    }


def _hash_weight(upstream_id: UpstreamId, gate: Member) -> int:
    return xxh3_64_intdigest(f'{upstream_id}\n{gate.id}'.encode())
