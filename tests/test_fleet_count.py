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
        fleet.observe({'a': 1, 'b': 5}, 0)
        fleet.observe({'a': 2, 'b': 5}, 30)
        self.assertEqual(2, fleet.count)
        self.assertEqual([], fleet.observe({'a': 3, 'b': 5}, 60))
        self.assertEqual(1, fleet.count)
        self.assertEqual(['b'], fleet.observe({'a': 4, 'b': 5}, 130))

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
