"""Tests of admission, of the retry and hedge budgets, and of coverage."""

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
    """Make an answer of two shards; one is missing if there is a reason."""
    first, second = split_key_space(2)
    is_complete = reason is Reason.none
    coverage = count_coverage(
        [first, second] if is_complete else [first],
        [] if is_complete else [(second, reason)],
    )
    return Answer('r', Outcome.ran, None, coverage, [], Timing(0, 0, 0))


class AdmissionTest(TestCase):
    """Whole queries are refused before any shard runs."""

    def test_refuses_query_that_cannot_meet_its_deadline(self) -> None:
        """A query is refused if its expected latency exceeds the timeout."""
        admission = Admission(100, is_adaptive=True)
        self.assertEqual(Reason.overload, admission.admit('a', 1, 0.5, 0.4))
        self.assertEqual(Reason.none, admission.admit('a', 1, 0.3, 0.4))

    def test_limit_decreases_on_overload_and_recovers(self) -> None:
        """Refusals for overload lower the limit; complete answers raise it."""
        admission = Admission(500, is_adaptive=True)
        for now in range(30):
            admission.admit('a', 1, 0, 1)
            admission.release('a', make_answer(Reason.overload), now)
        low = admission.describe()['a'][1]
        self.assertEqual(4, low)
        for _ in range(200):
            for _ in range(4):
                admission.admit('a', 1, 0, 1)
            for _ in range(4):
                admission.release('a', make_answer(), 100)
        self.assertGreater(admission.describe()['a'][1], low)

    def test_full_entry_is_shared_by_weight(self) -> None:
        """A service over its weighted share does not crowd out the others."""
        admission = Admission(40, is_adaptive=True)
        admission.admit('light', 1, 0, 1)
        admitted = sum(
            admission.admit('heavy', 3, 0, 1) is Reason.none for _ in range(40)
        )
        self.assertEqual(30, admitted)
        self.assertEqual(Reason.none, admission.admit('light', 1, 0, 1))

    @given(ratio=st.floats(0.01, 0.5), primaries=st.integers(0, 500))
    def test_budget_limits_extra_sub_queries(
        self, ratio: float, primaries: int
    ) -> None:
        """Extra sub-queries never exceed the ratio of primaries plus burst."""
        budget = RatioBudget(ratio, 10)
        spent = 0
        for _ in range(primaries):
            budget.record_primary()
            spent += budget.try_spend()
        self.assertLessEqual(spent, primaries * ratio + 10)


class CoverageTest(TestCase):
    """The share reported by `count_coverage`."""

    @given(missing=st.sets(st.integers(0, 6)))
    def test_share_is_never_rounded_up(self, missing: set[int]) -> None:
        """Only an answer without a missing shard is complete."""
        ranges = split_key_space(7)
        coverage = count_coverage(
            [
                key_range
                for number, key_range in enumerate(ranges)
                if number not in missing
            ],
            [(ranges[number], Reason.deadline) for number in missing],
        )
        width = sum(ranges[number].width for number in missing)
        self.assertLessEqual(coverage.share, 1 - width / 65536 + 1e-12)
        self.assertEqual(not missing, coverage.complete)
        self.assertEqual(not missing, coverage.share == 1)
