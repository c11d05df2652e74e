"""Retries and hedges that need an extra send of another VM."""

from testtools import TestCase

from sesametrack.routing.events import (
    BorrowExtraSend,
    Deliver,
    Failure,
    ReplyKind,
    Send,
)
from sesametrack.routing.exchanges import SingleExchange
from sesametrack.routing.retry_budget import BudgetRule
from tests.router_builders import (
    EqualShares,
    make_context,
    make_directory,
    make_reply,
    make_request,
    make_single_route,
)

_LONGEST_WAIT_S = 0.05


class LendingShares(EqualShares):
    """Shares of nothing, beside VMs that may lend."""

    def has_lenders(self, service: str) -> bool:
        """Return True."""
        return True


class BorrowedSendsTest(TestCase):
    """A call asks once, and goes on as soon as it is known what it gets."""

    def setUp(self) -> None:
        """Send a request to one of two upstreams, without a budget."""
        super().setUp()
        self.context = make_context(
            make_directory(['s0'], 2), BudgetRule(0, 10, 0)
        )
        self.context.budget.set_shares(LendingShares())
        self.exchange = SingleExchange(
            make_request(),
            make_single_route(is_repeatable=True),
            's0',
            self.context,
        )
        first = self.exchange.start(0)[0]
        self.first_id = first.attempt_id

    def fail_first(self) -> list:
        """Let the first upstream fail; return the actions."""
        return self.exchange.on_reply(
            self.first_id, make_reply(ReplyKind.failed), 0.01
        )

    def play_timers(self, until: float) -> list:
        """Play the timers that are due; return their actions."""
        actions = []
        while not self.exchange.is_done and self.exchange.wake_at <= until:
            actions.extend(self.exchange.on_timer(self.exchange.wake_at))
        return actions

    def test_retry_with_borrowed_send(self) -> None:
        """The retry is sent once another VM has lent an extra send."""
        self.assertEqual([BorrowExtraSend('s0')], self.fail_first())
        self.context.budget.add_borrowed('s0', 0.011)
        actions = self.play_timers(0.02)
        self.assertEqual(
            [('retry', 's0')], [(one.reason, one.service) for one in actions]
        )

    def test_refused_by_all(self) -> None:
        """The failure is delivered as soon as nobody lends one."""
        self.fail_first()
        self.context.budget.record_denied('s0', 0.011)
        actions = self.play_timers(0.02)
        self.assertIsInstance(actions[-1], Deliver)
        self.assertEqual(ReplyKind.failed, actions[-1].answer.reply.kind)

    def test_no_reply(self) -> None:
        """A call waits for silent VMs only for a moment, and asks once."""
        self.fail_first()
        actions = self.play_timers(_LONGEST_WAIT_S)
        self.assertEqual(
            [],
            [one for one in actions if isinstance(one, BorrowExtraSend | Send)],
        )
        self.assertNotIsInstance(actions[-1].answer, Failure)
        self.assertTrue(self.exchange.is_done)

    def test_hedge(self) -> None:
        """A hedge asks too, and is given up without an answer."""
        asked = self.play_timers(1)
        self.assertIn(BorrowExtraSend('s0'), asked)
        self.assertFalse(self.exchange.is_done)
        self.assertEqual([], [one for one in asked if isinstance(one, Send)])
