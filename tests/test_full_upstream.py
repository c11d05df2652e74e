"""A service whose only upstream is full, without network.

The pattern: half of a shard's searchers are lost while the rest are slow, so
that their queues are full and they reject what comes in at once.
"""

from testtools import TestCase

from sesametrack.routing.events import ReplyKind, Send
from sesametrack.routing.exchanges import SingleExchange
from sesametrack.routing.retry_budget import BudgetRule
from tests.router_builders import (
    make_context,
    make_directory,
    make_reply,
    make_request,
    make_single_route,
)

_REPLY_S = 0.003
_NEVER = float('inf')
_AMPLE = BudgetRule(0, 10, 1000)


class FullUpstreamTest(TestCase):
    """A rejected request comes back, each time after a longer pause."""

    def play(self, full_until: float) -> tuple[int, float, object]:
        """Return the sends, the end and the answer of one request."""
        context = make_context(make_directory(['s0'], 1), _AMPLE)
        exchange = SingleExchange(
            make_request(), make_single_route(is_repeatable=True), 's0', context
        )
        now, sends = 0.0, 0
        # When the reply to the pending send is due, and its attempt.
        due, attempt_id = _NEVER, 0
        actions = exchange.start(now)
        while not exchange.is_done:
            for send in actions:
                if isinstance(send, Send):
                    sends += 1
                    due, attempt_id = now + _REPLY_S, send.attempt_id
            now = min(due, exchange.wake_at)
            if due > now:
                actions = exchange.on_timer(now)
                continue
            due = _NEVER
            is_full = now < full_until
            kind = ReplyKind.rejected if is_full else ReplyKind.succeeded
            # As the driver does, for any reply but a success.
            context.directory.by_id['s0-0'].health.record_failure(
                attempt_id, now
            )
            actions = exchange.on_reply(attempt_id, make_reply(kind), now)
        return sends, now, actions[-1].answer

    def test_few_sends(self) -> None:
        """While the upstream is full, few arrivals are spent on it.

        Guards against retries each 8 ms: they used up the budget of extra
        sends, so that requests failed that other upstreams could have run.
        """
        sends, _, _ = self.play(full_until=0.5)
        self.assertLessEqual(sends, 10)

    def test_soon_back(self) -> None:
        """A request is served soon after the upstream has room again."""
        for full_until in (0.01, 0.05, 0.2, 0.5, 1):
            _, ended_at, answer = self.play(full_until)
            self.assertEqual(ReplyKind.succeeded, answer.reply.kind)
            self.assertLess(ended_at, full_until + 0.15)
