"""Tests of the quarantine of requests that crash upstreams."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.contracts.members import QuarantineNotice
from sesametrack.upstreams.quarantine import QUARANTINED_DEATHS, Quarantine

_CRASHES = st.lists(
    st.tuples(st.sampled_from(['u1', 'u2', 'u3']), st.integers(2, 5)),
    max_size=10,
)


class QuarantineTest(TestCase):
    """Suspect and quarantined fingerprints."""

    @given(crashes=_CRASHES)
    def test_shared_crashes_do_not_quarantine(
        self, crashes: list[tuple[str, int]]
    ) -> None:
        """Only a crash with a single request in flight can quarantine it."""
        quarantine = Quarantine()
        for upstream, in_flight in crashes:
            quarantine.record_crash('f', upstream, in_flight, 0)
        self.assertFalse(quarantine.is_quarantined('f', 0))

    def test_quarantine_after_crashes_of_two_upstreams(self) -> None:
        """The second crash quarantines, with one request alone in flight."""
        quarantine = Quarantine()
        self.assertFalse(quarantine.record_crash('f', 'u1', 3, 0))
        self.assertTrue(quarantine.record_crash('f', 'u2', 1, 0))
        self.assertTrue(quarantine.is_quarantined('f', 299))
        self.assertFalse(quarantine.is_suspect('f', 301))

    def test_crashes_of_one_upstream_do_not_quarantine(self) -> None:
        """One upstream that crashes repeatedly may itself be faulty."""
        quarantine = Quarantine()
        for _ in range(5):
            quarantine.record_crash('f', 'u1', 1, 0)
        self.assertFalse(quarantine.is_quarantined('f', 0))

    def test_success_clears_only_suspects(self) -> None:
        """A request that crashes upstreams never succeeds on any of them."""
        quarantine = Quarantine()
        quarantine.record_crash('f', 'u1', 2, 0)
        quarantine.record_success('f')
        self.assertFalse(quarantine.is_suspect('f', 0))
        quarantine.merge_notice(
            QuarantineNotice('f', QUARANTINED_DEATHS, 100), 0
        )
        quarantine.record_success('f')
        self.assertTrue(quarantine.is_quarantined('f', 0))

    def test_notices_do_not_spread_suspicions(self) -> None:
        """Repeated suspicions would renew each other and never expire."""
        quarantine = Quarantine()
        self.assertFalse(
            quarantine.merge_notice(QuarantineNotice('f', 1, 100), 0)
        )
        self.assertFalse(quarantine.is_suspect('f', 0))
