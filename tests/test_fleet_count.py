"""Tests of the count of VMs that share the limits."""

from testtools import TestCase

from sesametrack.vms.fleet_count import FleetCount


class FleetCountTest(TestCase):
    """VMs with changing heartbeats are counted."""

    def test_first_observation(self) -> None:
        """A new VM counts every entry."""
        fleet = FleetCount('a')
        self.assertEqual([], fleet.observe({'a': 1, 'b': 5, 'c': 2}, 0))
        self.assertEqual(3, fleet.count)

    def test_stale_heartbeat(self) -> None:
        """A VM with a stale heartbeat is not counted, then removed."""
        fleet = FleetCount('a')
        count_by_time = {}
        removed_by_time = {}
        for now in range(0, 140, 10):
            removed_by_time[now] = fleet.observe({'a': now, 'b': 5}, now)
            count_by_time[now] = fleet.count
        self.assertEqual(2, count_by_time[30])
        self.assertEqual([], removed_by_time[60])
        self.assertEqual(1, count_by_time[60])
        self.assertEqual(['b'], removed_by_time[130])

    def test_unobserved_time(self) -> None:
        """VMs that nobody could observe stay counted.

        Failure: after an outage of the store that kept all VMs from writing,
        or a pause of its own, a VM took itself for the only one and used the
        whole of each limit.
        """
        for outage in (40, 120, 3600):
            fleet = FleetCount('a')
            for now in (0, 10, 10 + outage, 20 + outage):
                removed = fleet.observe({'a': 1, 'b': 5, 'c': 7}, now)
                self.assertEqual([], removed)
                self.assertEqual(3, fleet.count)
            for now in range(30 + outage, 80 + outage, 10):
                fleet.observe({'a': 1, 'b': 5, 'c': now}, now)
            self.assertEqual({'a', 'c'}, fleet.live)

    def test_returned_vm(self) -> None:
        """A VM whose heartbeat changes again is counted again."""
        fleet = FleetCount('a')
        fleet.observe({'a': 1, 'b': 5}, 0)
        fleet.observe({'a': 2, 'b': 5}, 60)
        fleet.observe({'a': 3, 'b': 6}, 70)
        self.assertEqual(2, fleet.count)

    def test_own_vm(self) -> None:
        """A VM counts itself even without an entry."""
        fleet = FleetCount('a')
        fleet.observe({}, 0)
        self.assertEqual(1, fleet.count)
