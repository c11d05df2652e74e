"""Tests of the lease of the VM that issues permits."""

from testtools import TestCase

from sesametrack.vms.coordinator import (
    LEASE_TIME,
    CoordinatorLease,
    LeaseClaim,
    LeaseStep,
)

_ERA = 3


class CoordinatorLeaseTest(TestCase):
    """Two VMs and the stored claim."""

    def setUp(self) -> None:
        """Let one VM take the lease at 100 s."""
        super().setUp()
        self.holder = CoordinatorLease('vm-1', 'a:1')
        self.other = CoordinatorLease('vm-2', 'b:1')
        self.claim = self.holder.make_claim(7, _ERA)
        self.holder.record_written(self.claim, 100)

    def observe(
        self,
        claim: LeaseClaim | None,
        now: float,
        era: int = _ERA,
        era_since: float = 0,
    ) -> LeaseStep:
        """Return what the other VM does about a stored claim."""
        return self.other.observe(claim, era, era_since, now)

    def test_holder(self) -> None:
        """The lease ends with its time, measured from before the write."""
        self.assertTrue(self.holder.is_held(100 + LEASE_TIME - 0.01))
        self.assertFalse(self.holder.is_held(100 + LEASE_TIME))
        self.assertTrue(self.holder.is_claimed)

    def test_no_lease(self) -> None:
        """A lease that was never taken, or was released, is free."""
        released = self.holder.make_release(_ERA)
        for claim in (None, released):
            self.assertEqual(LeaseStep.take, self.observe(claim, 100.1))

    def test_silent_holder(self) -> None:
        """Another VM takes the lease once it has not changed for its time."""
        observe = self.observe
        self.assertEqual(LeaseStep.follow, observe(self.claim, 101))
        self.assertEqual(
            LeaseStep.follow, observe(self.claim, 101 + LEASE_TIME)
        )
        self.assertEqual(
            LeaseStep.take, observe(self.claim, 101.5 + LEASE_TIME)
        )

    def test_renewing_holder(self) -> None:
        """Each renewal restarts the time that others wait."""
        observe = self.observe
        observe(self.claim, 101)
        renewed = self.holder.make_renewal(_ERA)
        self.assertEqual(LeaseStep.follow, observe(renewed, 120))
        self.assertEqual(LeaseStep.follow, observe(renewed, 127))

    def test_own_claim(self) -> None:
        """A restarted VM takes the lease of its former process at once."""
        restarted = CoordinatorLease('vm-1', 'a:1')
        step = restarted.observe(self.claim, _ERA, 100.4, 100.5)
        self.assertEqual(LeaseStep.take, step)

    def test_lease_that_the_copy_lacks(self) -> None:
        """After a restore a free lease may be held for the lease time."""
        released = self.holder.make_release(_ERA)
        for claim in (None, released):
            other = CoordinatorLease('vm-2', 'b:1')
            for now, step in (
                (103, LeaseStep.wait),
                (102 + LEASE_TIME, LeaseStep.wait),
                (103.5 + LEASE_TIME, LeaseStep.take),
            ):
                self.assertEqual(step, other.observe(claim, _ERA + 1, 102, now))

    def test_older_claim_returns(self) -> None:
        """The time for which a claim was seen ends with the era."""
        self.observe(self.claim, 101)
        step = self.observe(self.claim, 110, _ERA + 1, 109)
        self.assertEqual(LeaseStep.follow, step)

    def test_own_claim_of_another_era(self) -> None:
        """Another VM may have taken the lease since an own older claim."""
        restarted = CoordinatorLease('vm-1', 'a:1')
        step = restarted.observe(self.claim, _ERA + 1, 100.4, 100.5)
        self.assertEqual(LeaseStep.follow, step)

    def test_lost(self) -> None:
        """A holder that finds another claim stops at once."""
        self.holder.record_lost()
        self.assertFalse(self.holder.is_held(100.1))
        self.assertFalse(self.holder.is_claimed)
