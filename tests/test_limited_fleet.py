"""Tests of limits on the request rate, over all VMs of a fleet."""

from testtools import TestCase

from tests.limited_fleet import LimitedFleet


class LimitedFleetTest(TestCase):
    """All VMs together keep to the limit that an upstream states."""

    # Guards against VMs that send to an upstream as if it had named no limit.
    def test_limit_over_all_vms(self) -> None:
        """One of two copies states a limit, in fleets of several sizes."""
        for vms, per_s, load in (
            (1, 5, 40),
            (6, 15.2, 60),
            (6, 3, 60),
            (67, 1.4, 30),
            (67, 0.1, 30),
        ):
            fleet = LimitedFleet(vms, vms, 2, {'s0-0': per_s})
            fleet.play(20, load)
            excess = fleet.excess('s0-0', per_s)
            self.assertLessEqual(excess, 0, (vms, per_s))
