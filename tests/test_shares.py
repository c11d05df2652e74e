"""Limits of the fleet hold for the sum over all VMs."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.routing.aggregators import Aggregators
from sesametrack.routing.shares import LimitShares, connection_limit
from sesametrack.vms.watchers import FleetVm

_SHARDS = tuple(f's{number}' for number in range(90))
_SIZES = st.lists(st.integers(1, 24), min_size=1, max_size=5)


def make_fleet(sizes: list[int]) -> list[FleetVm]:
    """Make VMs of failure domains with these sizes."""
    return [
        FleetVm(f'vm-{domain}-{number}', f'd{domain}', '1.1.1.1:1', '1.1.1.1:2')
        for domain, size in enumerate(sizes)
        for number in range(size)
    ]


def shares_of(fleet: list[FleetVm]) -> list[LimitShares]:
    """Return each VM's view of the shares."""
    views = []
    for one in fleet:
        aggregators = Aggregators(one.vm, one.failure_domain)
        aggregators.apply(fleet)
        views.append(aggregators.shares(len(fleet), [_SHARDS]))
    return views


class SharesTest(TestCase):
    """The parts of all VMs together are a whole at most."""

    @given(_SIZES, st.integers(0, len(_SHARDS) - 1))
    def test_sum(self, sizes: list[int], shard: int) -> None:
        """No fleet hands out more than a limit, whatever its domains."""
        views = shares_of(make_fleet(sizes))
        parts = sum(view.fraction(_SHARDS[shard]) for view in views)
        self.assertLessEqual(parts, 1 + 1e-9)
        self.assertLessEqual(
            sum(view.fraction('other') for view in views), 1 + 1e-9
        )

    def test_aggregators_have_most(self) -> None:
        """An aggregator has connections for several requests at once.

        Pattern: more VMs than an upstream takes connections, each with a
        floor of one, so that sub-gathers wait for each other.
        """
        views = shares_of(make_fleet([23, 22, 22]))
        shares = sorted(
            connection_limit(56, view.fraction(_SHARDS[0])) for view in views
        )
        self.assertGreaterEqual(shares[-1], 8)
        self.assertGreaterEqual(shares[-6], 4)
        self.assertEqual(1, shares[0])

    @given(st.integers(1, 20))
    def test_connections_of_small_fleets(self, vms: int) -> None:
        """With fewer VMs than connections their sum stays below the limit."""
        part = LimitShares(vms).fraction('s')
        self.assertLessEqual(vms * connection_limit(25, part), 25)
