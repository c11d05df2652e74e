"""Placement of gates."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.configuration.watchers import choose_watchers
from sesametrack.contracts.members import Role
from sesametrack.failure_domains.placement import Placement
from tests.builders import make_inventory, make_member


class PlacementTest(TestCase):
    """Owners of upstreams."""

    def setUp(self) -> None:
        """Make a site with gates in two failure domains."""
        super().setUp()
        self.inventory = make_inventory(30, 2)
        self.gates = [
            make_member(f'{domain}-{number}', failure_domain=domain)
            for domain in ('north', 'south')
            for number in range(3)
        ]

    def owners(self, gates: list) -> dict[str, str]:
        """Return the owner of each upstream."""
        found = Placement(self.inventory, gates)
        return {
            upstream: found.gate_of(upstream).id
            for upstream in self.inventory.upstream_by_id
        }

    def test_own_failure_domain_first(self) -> None:
        """A gate of the upstream's own failure domain owns it."""
        owners = self.owners(self.gates)
        for upstream in self.inventory.upstream_by_id.values():
            owner = owners[upstream.id]
            self.assertTrue(owner.startswith(upstream.failure_domain))

    def test_reachable_rest_when_the_domain_has_no_gate(self) -> None:
        """Without a gate in its domain, another one owns it."""
        owners = self.owners(self.gates[3:])
        self.assertEqual(61, len(owners))

    def test_least_movement(self) -> None:
        """When a gate leaves, only its own upstreams move."""
        before = self.owners(self.gates)
        after = self.owners(self.gates[1:])
        moved = {known for known in before if before[known] != after[known]}
        owned = {known for known in before if before[known] == self.gates[0].id}
        self.assertEqual(owned, moved)

    @given(gone=st.sets(st.integers(0, 5)))
    def test_kept_owners_equal_computed_ones(self, gone: set[int]) -> None:
        """A placement made from a former one is the same as a fresh one."""
        former = Placement(self.inventory, self.gates)
        rest = [
            gate for number, gate in enumerate(self.gates) if number not in gone
        ]
        fresh = Placement(self.inventory, rest)
        made = Placement(self.inventory, rest, former)
        for upstream in self.inventory.upstream_by_id:
            self.assertEqual(fresh.gate_of(upstream), made.gate_of(upstream))

    def test_two_watchers_in_each_domain(self) -> None:
        """All daemons agree on the few that watch the platform."""
        members = self.gates + [
            make_member('north-0', Role.entry),
            make_member('x', Role.entry),
        ]
        chosen = choose_watchers('north', members)
        self.assertEqual(2, len(chosen))
        self.assertEqual(chosen, choose_watchers('north', members[::-1]))
