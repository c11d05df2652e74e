"""Tests of admission and of the retry and hedge budgets."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.callers.admission import Admission
from sesametrack.callers.budget import RatioBudget
from sesametrack.callers.coverage import count_coverage
from sesametrack.contracts.answers import Answer, Timing
from sesametrack.contracts.outcomes import Outcome, Reason
from tests.builders import split_key_space


def make_answer(reason: Reason = Reason.none) -> Answer:
    """Make an answer with one shard answered and one perhaps missing."""
    first, second = split_key_space(2)
    is_whole = reason is Reason.none
    coverage = count_coverage(
        [first, second] if is_whole else [first],
        [] if is_whole else [(second, reason)],
    )
    return Answer('r', Outcome.ran, None, coverage, [], Timing(0, 0, 0))


class AdmissionTest(TestCase):
    """Whole queries are refused before any shard runs."""

    def test_refuses_what_cannot_make_its_deadline(self) -> None:
        """The slowest shard decides."""
        admission = Admission(100, is_adaptive=True)
        self.assertEqual(Reason.overload, admission.admit('a', 1, 0.5, 0.4))
        self.assertEqual(Reason.none, admission.admit('a', 1, 0.3, 0.4))

    def test_limit_shrinks_with_overload_and_grows_back(self) -> None:
        """Refusals for overload lower the limit; whole answers raise it."""
        admission = Admission(500, is_adaptive=True)
        for turn in range(30):
            admission.admit('a', 1, 0, 1)
            admission.release('a', make_answer(Reason.overload), turn)
        low = admission.describe()['a'][1]
        self.assertEqual(4, low)
        for _ in range(200):
            for _ in range(4):
                admission.admit('a', 1, 0, 1)
            for _ in range(4):
                admission.release('a', make_answer(), 100)
        self.assertGreater(admission.describe()['a'][1], low)

    def test_full_entry_is_shared_by_weight(self) -> None:
        """A service beyond its share waits for others to have theirs."""
        admission = Admission(40, is_adaptive=True)
        admission.admit('light', 1, 0, 1)
        admitted = sum(
            admission.admit('heavy', 3, 0, 1) is Reason.none for _ in range(40)
        )
        self.assertEqual(30, admitted)
        self.assertEqual(Reason.none, admission.admit('light', 1, 0, 1))

    @given(shares=st.floats(0.01, 0.5), primaries=st.integers(0, 500))
    def test_budget_bounds_the_extra(
        self, shares: float, primaries: int
    ) -> None:
        """Never more than the share of the primaries and the burst."""
        budget = RatioBudget(shares, 10)
        taken = 0
        for _ in range(primaries):
            budget.record_primary()
            taken += budget.try_spend()
        self.assertLessEqual(taken, primaries * shares + 10)


class CoverageTest(TestCase):
    """The stated share."""

    @given(missing=st.sets(st.integers(0, 6)))
    def test_share_is_never_rounded_up(self, missing: set[int]) -> None:
        """Only an answer without a missing shard is complete."""
        parts = split_key_space(7)
        coverage = count_coverage(
            [
                part
                for number, part in enumerate(parts)
                if number not in missing
            ],
            [(parts[number], Reason.deadline) for number in missing],
        )
        width = sum(parts[number].width for number in missing)
        self.assertLessEqual(coverage.share, 1 - width / 65536 + 1e-12)
        self.assertEqual(not missing, coverage.complete)
        self.assertEqual(not missing, coverage.share == 1)
