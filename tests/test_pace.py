"""Detection of a VM that is slow for a while, and what it does about it.

The pattern: an eighth of the VMs run five times slower for some seconds, and
nearly every gather has one of them among its twelve aggregators.
"""

from random import Random

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.routing.pace import WorkPace

_SEND_S = 0.00008
_SLOW_FACTOR = 4.7
# Sub-gathers of an aggregator on the large deployment.
_PER_S = 4.8
_SENDS = 8


class PaceTest(TestCase):
    """A slow VM is noticed within a second, and its recovery too."""

    def play(self, slow_from: float, slow_until: float, seed: int = 1) -> list:
        """Return for each sub-gather when it came, and whether it was taken."""
        rng = Random(seed)
        pace = WorkPace()
        now, outcomes = 0.0, []
        while now < slow_until + 6:
            now += rng.expovariate(_PER_S)
            is_taken = pace.may_take_work(now)
            outcomes.append((now, is_taken))
            if not is_taken:
                continue
            factor = _SLOW_FACTOR if slow_from < now < slow_until else 1
            elapsed = _SEND_S * _SENDS * factor * rng.uniform(0.8, 1.4)
            pace.record(elapsed, _SENDS, now)
        return outcomes

    @given(st.integers(0, 500))
    def test_slow_time(self, seed: int) -> None:
        """Most sub-gathers of the slow time go to other VMs."""
        outcomes = self.play(10, 18, seed)
        slow = [taken for at, taken in outcomes if 10 < at < 18]
        self.assertLess(sum(slow), len(slow) * 0.6 + 2)
        self.assertTrue(all(taken for at, taken in outcomes if at < 10))
        self.assertTrue(all(taken for at, taken in outcomes if at > 21))

    def test_single_pauses(self) -> None:
        """A pause now and then does not make a VM slow."""
        pace = WorkPace()
        for number in range(200):
            factor = 50 if number % 7 == 0 else 1
            pace.record(_SEND_S * _SENDS * factor, _SENDS, number / _PER_S)
            self.assertFalse(pace.is_slow(number / _PER_S))

    def test_other_work(self) -> None:
        """Work that stays slower becomes normal."""
        pace = WorkPace()
        for number in range(600):
            factor = 1 if number < 100 else 3
            pace.record(_SEND_S * _SENDS * factor, _SENDS, number / _PER_S)
        self.assertFalse(pace.is_slow(600 / _PER_S))

    def test_short_work(self) -> None:
        """A request with few sends says nothing."""
        pace = WorkPace()
        pace.record(_SEND_S * _SENDS, _SENDS, 1)
        for number in range(9):
            pace.record(1, 1, 1 + number / 10)
        self.assertFalse(pace.is_slow(2))

    def test_without_work(self) -> None:
        """A VM that gets no work counts as usual again."""
        pace = WorkPace()
        for at, factor in ((1, 1), (2, 9), (2.1, 9), (2.2, 9)):
            pace.record(_SEND_S * _SENDS * factor, _SENDS, at)
        self.assertTrue(pace.is_slow(2.3))
        self.assertFalse(pace.is_slow(4))
