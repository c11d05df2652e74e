"""Tests of the assignment of upstreams to gates and of the watchers."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.configuration.watchers import choose_watchers
from sesametrack.contracts.members import Role
from sesametrack.failure_domains.placement import Placement
from tests.builders import make_inventory, make_member


class PlacementTest(TestCase):
    """Owners of upstreams, and watchers of the platform."""

    def setUp(self) -> None:
        """Create an inventory and gates in two failure domains."""
        super().setUp()
        self.inventory = make_inventory(30, 2)
        self.gates = [
            make_member(f'{domain}-{number}', failure_domain=domain)
            for domain in ('north', 'south')
            for number in range(3)
        ]

    def owners(self, gates: list) -> dict[str, str]:
        """Return the id of each upstream's owner."""
        placement = Placement(self.inventory, gates)
        return {
            upstream: placement.gate_of(upstream).id
            for upstream in self.inventory.upstream_by_id
        }

    def test_own_failure_domain_first(self) -> None:
        """A gate of the upstream's own failure domain owns it."""
        owners = self.owners(self.gates)
        for upstream in self.inventory.upstream_by_id.values():
            owner = owners[upstream.id]
            self.assertTrue(owner.startswith(upstream.failure_domain))

    def test_other_domain_when_the_domain_has_no_gate(self) -> None:
        """A gate of another domain owns upstreams of a domain without one."""
        owners = self.owners(self.gates[3:])
        self.assertEqual(61, len(owners))

    def test_minimal_reassignment(self) -> None:
        """When a gate is removed, only its own upstreams get new owners."""
        before = self.owners(self.gates)
        after = self.owners(self.gates[1:])
        moved = {known for known in before if before[known] != after[known]}
        owned = {known for known in before if before[known] == self.gates[0].id}
        self.assertEqual(owned, moved)

    @given(removed=st.sets(st.integers(0, 5)))
    def test_reused_owners_equal_computed_ones(self, removed: set[int]) -> None:
        """A placement that reuses a previous one equals a computed one."""
        previous = Placement(self.inventory, self.gates)
        remaining = [
            gate
            for number, gate in enumerate(self.gates)
            if number not in removed
        ]
        fresh = Placement(self.inventory, remaining)
        derived = Placement(self.inventory, remaining, previous)
        for upstream in self.inventory.upstream_by_id:
            self.assertEqual(fresh.gate_of(upstream), derived.gate_of(upstream))

    def test_two_watchers_in_each_domain(self) -> None:
        """All daemons choose the same two watchers of the platform."""
        members = self.gates + [
            make_member('north-0', Role.entry),
            make_member('x', Role.entry),
        ]
        chosen = choose_watchers('north', members)
        self.assertEqual(2, len(chosen))
        self.assertEqual(chosen, choose_watchers('north', members[::-1]))
