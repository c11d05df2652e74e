"""The retry budget holds for the sum over all VMs, restarts included."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.routing.retry_budget import BudgetRule, RetryBudget
from sesametrack.routing.shares import LimitShares

_RULE = BudgetRule(0.2, 10, 6)
_VMS = 3
_STEP = st.tuples(
    st.integers(0, _VMS - 1),
    st.sampled_from(('request', 'extra', 'extra', 'extra', 'restart')),
    st.floats(0, 1.5),
)


class BudgetTest(TestCase):
    """No window of any VM set spends more than the rule."""

    @given(st.lists(_STEP, max_size=120))
    def test_sum_keeps_the_rule(self, steps: list) -> None:
        """In each window, extras stay within ratio and slack."""
        now = 100.0
        budgets = [self.make(-100) for _ in range(_VMS)]
        started_at = [-100.0 for _ in budgets]
        requests: list[float] = []
        extras: list[float] = []
        for vm, kind, pause in steps:
            now += pause
            if kind == 'restart':
                if now - started_at[vm] > _RULE.window:
                    started_at[vm] = now
                    budgets[vm] = self.make(now)
            elif kind == 'request':
                budgets[vm].record_request('s', now)
                requests.append(now)
            elif budgets[vm].spend('s', now):
                extras.append(now)
                self.check(requests, extras, now)

    def make(self, started_at: float) -> RetryBudget:
        """Make the budget of one process."""
        budget = RetryBudget(_RULE, started_at)
        budget.set_shares(LimitShares(_VMS))
        return budget

    def check(
        self, requests: list[float], extras: list[float], now: float
    ) -> None:
        """Compare the window that ends now with the rule.

        A request may be counted in the window before the one of its extra
        sends, as the rule says; so requests of two windows count.
        """
        first = now - _RULE.window
        spent = sum(1 for at in extras if at > first)
        sent = sum(1 for at in requests if at > first - _RULE.window)
        self.assertLessEqual(spent, _RULE.ratio * sent + _RULE.slack)

    def test_slack_after_start(self) -> None:
        """Two processes that follow each other share one slack."""
        before, after = RetryBudget(_RULE, 0), RetryBudget(_RULE, 50)
        spent = sum(before.spend('s', 49) for _ in range(20))
        spent += sum(after.spend('s', 51) for _ in range(20))
        self.assertLessEqual(spent, _RULE.slack)
        self.assertTrue(RetryBudget(_RULE, 50).spend('s', 51))

    def test_reserve_is_left(self) -> None:
        """A send with a reserve leaves budget for the others."""
        budget = RetryBudget(BudgetRule(0.5, 10, 0), -100)
        for _ in range(6):
            budget.record_request('s', 0)
        self.assertFalse(budget.spend('s', 0, reserve=2))
        self.assertTrue(budget.spend('s', 0))
