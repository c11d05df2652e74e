"""Tests of the lease of the VM that issues permits."""

from testtools import TestCase

from sesametrack.vms.coordinator import (
    LEASE_TIME,
    CoordinatorLease,
    LeaseStep,
)


class CoordinatorLeaseTest(TestCase):
    """Two VMs and the stored claim."""

    def setUp(self) -> None:
        """Let one VM take the lease at 100 s."""
        super().setUp()
        self.holder = CoordinatorLease('vm-1', 'a:1')
        self.other = CoordinatorLease('vm-2', 'b:1')
        self.claim = self.holder.make_claim(7)
        self.holder.record_written(self.claim, 100)

    def test_holder(self) -> None:
        """The lease ends with its time, measured from before the write."""
        self.assertTrue(self.holder.is_held(100 + LEASE_TIME - 0.01))
        self.assertFalse(self.holder.is_held(100 + LEASE_TIME))
        self.assertTrue(self.holder.is_claimed)

    def test_no_lease(self) -> None:
        """A lease that was never taken, or was released, is free."""
        released = self.holder.make_release()
        for claim in (None, released):
            self.assertEqual(LeaseStep.take, self.other.observe(claim, 100.1))

    def test_silent_holder(self) -> None:
        """Another VM takes the lease once it has not changed for its time."""
        observe = self.other.observe
        self.assertEqual(LeaseStep.follow, observe(self.claim, 101))
        self.assertEqual(
            LeaseStep.follow, observe(self.claim, 101 + LEASE_TIME)
        )
        self.assertEqual(
            LeaseStep.take, observe(self.claim, 101.5 + LEASE_TIME)
        )

    def test_renewing_holder(self) -> None:
        """Each renewal restarts the time that others wait."""
        observe = self.other.observe
        observe(self.claim, 101)
        renewed = self.holder.make_renewal()
        self.assertEqual(LeaseStep.follow, observe(renewed, 120))
        self.assertEqual(LeaseStep.follow, observe(renewed, 127))

    def test_own_claim(self) -> None:
        """A restarted VM takes the lease of its former process at once."""
        restarted = CoordinatorLease('vm-1', 'a:1')
        self.assertEqual(LeaseStep.take, restarted.observe(self.claim, 100.5))

    def test_lost(self) -> None:
        """A holder that finds another claim stops at once."""
        self.holder.record_lost()
        self.assertFalse(self.holder.is_held(100.1))
        self.assertFalse(self.holder.is_claimed)
