"""The retry budget limits all VMs together, also across restarts."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.routing.retry_budget import BudgetRule, RetryBudget
from tests.router_builders import EqualShares

_RULE = BudgetRule(0.2, 10, 6)
_VMS = 3
_STEP = st.tuples(
    st.integers(0, _VMS - 1),
    st.sampled_from(('request', 'extra', 'extra', 'extra', 'restart')),
    st.floats(0, 1.5),
)


class BudgetTest(TestCase):
    """Extra sends never exceed the rule in any window."""

    @given(st.lists(_STEP, max_size=120))
    def test_all_vms_stay_within_rule(self, steps: list) -> None:
        """The extra sends of all VMs stay within ratio and slack."""
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
        budget.set_shares(EqualShares(_VMS))
        return budget

    def check(
        self, requests: list[float], extras: list[float], now: float
    ) -> None:
        """Check the window that ends now against the rule.

        A request may count in the window before that of its extra sends, so
        the requests of two windows are counted.
        """
        first = now - _RULE.window
        spent = sum(1 for at in extras if at > first)
        sent = sum(1 for at in requests if at > first - _RULE.window)
        self.assertLessEqual(spent, _RULE.ratio * sent + _RULE.slack)

    def test_slack_after_restart(self) -> None:
        """A process and its replacement share one slack."""
        before, after = RetryBudget(_RULE, 0), RetryBudget(_RULE, 50)
        before.set_shares(EqualShares())
        after.set_shares(EqualShares())
        spent = sum(before.spend('s', 49) for _ in range(20))
        spent += sum(after.spend('s', 51) for _ in range(20))
        self.assertLessEqual(spent, _RULE.slack)
        fresh = RetryBudget(_RULE, 50)
        fresh.set_shares(EqualShares())
        self.assertTrue(fresh.spend('s', 51))

    def test_reserve_is_kept(self) -> None:
        """A send with a reserve is refused before the budget is used up."""
        budget = RetryBudget(BudgetRule(0.5, 10, 0), -100)
        for _ in range(6):
            budget.record_request('s', 0)
        self.assertFalse(budget.spend('s', 0, reserve=2))
        self.assertTrue(budget.spend('s', 0))
