"""Tests of the count of VMs that share the limits."""

from testtools import TestCase

from sesametrack.vms.fleet_count import FleetCount


class FleetCountTest(TestCase):
    """Heartbeats that change count."""

    def test_counts_what_it_sees(self) -> None:
        """A VM that starts counts every entry."""
        fleet = FleetCount('a')
        self.assertEqual([], fleet.observe({'a': 1, 'b': 5, 'c': 2}, 0))
        self.assertEqual(3, fleet.count)

    def test_silent_vm(self) -> None:
        """A VM whose heartbeat stands still counts no longer."""
        fleet = FleetCount('a')
        fleet.observe({'a': 1, 'b': 5}, 0)
        fleet.observe({'a': 2, 'b': 5}, 30)
        self.assertEqual(2, fleet.count)
        self.assertEqual([], fleet.observe({'a': 3, 'b': 5}, 60))
        self.assertEqual(1, fleet.count)
        self.assertEqual(['b'], fleet.observe({'a': 4, 'b': 5}, 130))

    def test_returned_vm(self) -> None:
        """A VM that beats again counts again."""
        fleet = FleetCount('a')
        fleet.observe({'a': 1, 'b': 5}, 0)
        fleet.observe({'a': 2, 'b': 5}, 60)
        fleet.observe({'a': 3, 'b': 6}, 70)
        self.assertEqual(2, fleet.count)

    def test_itself(self) -> None:
        """A VM counts itself although its entry is not there."""
        fleet = FleetCount('a')
        fleet.observe({}, 0)
        self.assertEqual(1, fleet.count)
