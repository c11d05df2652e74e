"""Tests of the failure domains that must get no requests."""

from testtools import TestCase

from sesametrack.routing.evacuations import EvacuatedDomains


class EvacuatedDomainsTest(TestCase):
    """Listed evacuations, and restores of the store."""

    def setUp(self) -> None:
        """Evacuate one failure domain."""
        super().setUp()
        self.evacuated = EvacuatedDomains()
        self.evacuated.apply(frozenset(('north',)))

    def test_listed(self) -> None:
        """The listed failure domains are evacuated, and no others."""
        self.assertEqual({'north'}, self.evacuated.current(1))
        self.evacuated.apply(frozenset())
        self.assertEqual(set(), self.evacuated.current(2))

    # Guards against requests to an evacuated failure domain because the copy
    # is older than its evacuation.
    def test_evacuation_that_the_copy_lacks(self) -> None:
        """After a restore an evacuation lasts until it is written again."""
        self.evacuated.record_restore(10)
        self.evacuated.apply(frozenset(('south',)))
        self.assertEqual({'north', 'south'}, self.evacuated.current(10.1))
        self.evacuated.apply(frozenset(('north', 'south')))
        self.assertEqual({'north', 'south'}, self.evacuated.current(30))

    def test_evacuation_that_ended(self) -> None:
        """An evacuation that is not written again ends after a while."""
        self.evacuated.record_restore(10)
        self.evacuated.apply(frozenset())
        self.assertEqual({'north'}, self.evacuated.current(12))
        self.assertEqual(set(), self.evacuated.current(30))
