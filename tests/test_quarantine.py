"""Tests of the quarantine of crashing requests."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.contracts.members import Notice
from sesametrack.upstreams.quarantine import QUARANTINED_DEATHS, Quarantine

_DEATHS = st.lists(
    st.tuples(st.sampled_from(['u1', 'u2', 'u3']), st.integers(2, 5)),
    max_size=10,
)


class QuarantineTest(TestCase):
    """Suspicion and conviction."""

    @given(deaths=_DEATHS)
    def test_deaths_beside_others_never_convict(
        self, deaths: list[tuple[str, int]]
    ) -> None:
        """Only a death alone in flight can convict."""
        quarantine = Quarantine()
        for upstream, in_flight in deaths:
            quarantine.record_crash('f', upstream, in_flight, 0)
        self.assertFalse(quarantine.is_quarantined('f', 0))

    def test_two_upstreams_one_of_them_alone(self) -> None:
        """The second upstream's death convicts."""
        quarantine = Quarantine()
        self.assertFalse(quarantine.record_crash('f', 'u1', 3, 0))
        self.assertTrue(quarantine.record_crash('f', 'u2', 1, 0))
        self.assertTrue(quarantine.is_quarantined('f', 299))
        self.assertFalse(quarantine.is_suspect('f', 301))

    def test_one_upstream_that_keeps_dying_convicts_none(self) -> None:
        """An upstream may be at fault itself."""
        quarantine = Quarantine()
        for _ in range(5):
            quarantine.record_crash('f', 'u1', 1, 0)
        self.assertFalse(quarantine.is_quarantined('f', 0))

    def test_success_clears_a_suspect_but_no_convict(self) -> None:
        """A killer crashes each upstream that runs it."""
        quarantine = Quarantine()
        quarantine.record_crash('f', 'u1', 2, 0)
        quarantine.record_success('f')
        self.assertFalse(quarantine.is_suspect('f', 0))
        quarantine.merge_notice(Notice('f', QUARANTINED_DEATHS, 100), 0)
        quarantine.record_success('f')
        self.assertTrue(quarantine.is_quarantined('f', 0))

    def test_suspicion_does_not_spread_by_notice(self) -> None:
        """Repeated suspicions would come back for ever."""
        quarantine = Quarantine()
        self.assertFalse(quarantine.merge_notice(Notice('f', 1, 100), 0))
        self.assertFalse(quarantine.is_suspect('f', 0))
