"""Tests of the division of fleet limits among VMs."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.routing.aggregators import Aggregators
from sesametrack.routing.shares import LimitShares, connection_limit
from sesametrack.vms.watchers import FleetVm

_SHARDS = tuple(f's{number}' for number in range(90))
_SIZES = st.lists(st.integers(1, 24), min_size=1, max_size=5)


def make_fleet(sizes: list[int]) -> list[FleetVm]:
    """Return VMs in failure domains of the given sizes."""
    return [
        FleetVm(f'vm-{domain}-{number}', f'd{domain}', '1.1.1.1:1', '1.1.1.1:2')
        for domain, size in enumerate(sizes)
        for number in range(size)
    ]


def shares_of(fleet: list[FleetVm]) -> list[LimitShares]:
    """Return the shares that each VM computes."""
    views = []
    for one in fleet:
        aggregators = Aggregators(one.vm, one.failure_domain)
        aggregators.apply(fleet)
        views.append(aggregators.shares(len(fleet), [_SHARDS]))
    return views


class SharesTest(TestCase):
    """The fractions of all VMs add up to at most one."""

    @given(_SIZES, st.integers(0, len(_SHARDS) - 1))
    def test_sum(self, sizes: list[int], shard: int) -> None:
        """Fractions add up to at most one for any sizes of domains."""
        views = shares_of(make_fleet(sizes))
        total = sum(view.fraction(_SHARDS[shard]) for view in views)
        self.assertLessEqual(total, 1 + 1e-9)
        self.assertLessEqual(
            sum(view.fraction('other') for view in views), 1 + 1e-9
        )

    def test_aggregators_have_most(self) -> None:
        """An aggregator gets connections for several concurrent requests.

        Guards against sub-gathers that wait for each other's connection: an
        upstream accepts fewer connections than there are VMs, and an even
        division gives each VM the minimum of one.
        """
        views = shares_of(make_fleet([23, 22, 22]))
        limits = sorted(
            connection_limit(56, view.fraction(_SHARDS[0])) for view in views
        )
        self.assertGreaterEqual(limits[-1], 8)
        self.assertGreaterEqual(limits[-6], 4)
        self.assertEqual(1, limits[0])

    @given(st.integers(1, 20))
    def test_connections_of_small_fleets(self, vms: int) -> None:
        """With fewer VMs than connections the sum stays within the limit."""
        fraction = LimitShares(vms).fraction('s')
        self.assertLessEqual(vms * connection_limit(25, fraction), 25)
