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

    # Guards against shares of limits that are too large, as a VM whose entry
    # an older copy of the store lacks is alive.
    def test_missing_entry_in_an_older_copy(self) -> None:
        """A VM that a restored store does not know stays counted."""
        fleet = FleetCount('a')
        fleet.observe({'a': 1, 'b': 5, 'c': 7}, 0)
        fleet.observe({'a': 2, 'b': 6, 'c': 8}, 10)
        fleet.observe({'a': 2, 'b': 6}, 15, is_restored=True)
        self.assertEqual({'a', 'b', 'c'}, fleet.live)
        fleet.observe({'a': 3, 'b': 7, 'c': 9}, 25)
        self.assertEqual({'a', 'b', 'c'}, fleet.live)

    def test_missing_entry_that_stays_missing(self) -> None:
        """A VM that does not write again is not counted any more."""
        fleet = FleetCount('a')
        fleet.observe({'a': 1, 'b': 5}, 0)
        fleet.observe({'a': 1}, 10, is_restored=True)
        self.assertEqual({'a', 'b'}, fleet.live)
        fleet.observe({'a': 2}, 20)
        self.assertEqual({'a'}, fleet.live)

    # Guards against a VM that is gone and looks alive, as its heartbeat in an
    # older copy differs from the last one.
    def test_older_heartbeat(self) -> None:
        """A heartbeat of an older copy is no sign of life."""
        fleet = FleetCount('a')
        for now in range(0, 40, 10):
            fleet.observe({'a': now, 'b': 5}, now)
        fleet.observe({'a': 31, 'b': 4}, 35, is_restored=True)
        self.assertEqual({'a', 'b'}, fleet.live)
        for now in range(45, 65, 10):
            fleet.observe({'a': now, 'b': 4}, now)
        self.assertEqual({'a'}, fleet.live)
