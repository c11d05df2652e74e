"""Decisions about requests while a VM shuts down."""

from testtools import TestCase

from sesametrack.routing.events import (
    Deliver,
    Failure,
    MergedAnswer,
    Refusal,
    Send,
)
from sesametrack.routing.exchanges import (
    GatherExchange,
    SingleExchange,
    gather_deadlines,
)
from sesametrack.routing.stopping import fit_before_stop
from tests.router_builders import (
    make_context,
    make_directory,
    make_gather_route,
    make_reply,
    make_request,
    make_single_route,
)


class FitBeforeStopTest(TestCase):
    """A request is accepted only if it is answered before the stop."""

    def test_enough_time(self) -> None:
        """A request whose time limit ends before the stop is unchanged."""
        request = make_request(10, 0.3)
        for is_repeatable in (True, False):
            route = make_single_route(is_repeatable=is_repeatable)
            self.assertIs(request, fit_before_stop(request, route, 10.3))

    def test_repeatable(self) -> None:
        """A request that others may repeat gets the time that is left."""
        route = make_single_route(is_repeatable=True)
        fitted = fit_before_stop(make_request(10), route, 10.5)
        self.assertAlmostEqual(0.5, fitted.caller_timeout)
        self.assertIsNone(fit_before_stop(make_request(10.2), route, 10.5))

    def test_unrepeatable(self) -> None:
        """Others are refused unless they can use their whole time limit."""
        route = make_single_route(is_repeatable=False)
        self.assertIsNone(fit_before_stop(make_request(10), route, 11.9))

    def test_after_the_stop(self) -> None:
        """Nothing is accepted once the last answers have been given."""
        for is_repeatable in (True, False):
            route = make_single_route(is_repeatable=is_repeatable)
            self.assertIsNone(fit_before_stop(make_request(10), route, 9.9))


class GiveUpTest(TestCase):
    """At the stop each request gets a true answer."""

    def setUp(self) -> None:
        """Make a gather over four shards."""
        super().setUp()
        self.route = make_gather_route(4, 0.75)
        context = make_context(make_directory(list(self.route.shards), 2))
        request = make_request()
        self.gather = GatherExchange(
            request, self.route, context, gather_deadlines(request, self.route)
        )

    def answer(self, replies: int) -> object:
        """Return the answer after this many replies."""
        sends = [
            action
            for action in self.gather.start(0)
            if isinstance(action, Send)
        ]
        for send in sends[:replies]:
            self.gather.on_reply(send.attempt_id, make_reply(), 0.01)
        action = self.gather.give_up(0.02)[0]
        self.assertIsInstance(action, Deliver)
        return action.answer

    def test_enough_shards(self) -> None:
        """A gather with enough replies is answered with them."""
        answer = self.answer(3)
        self.assertIsInstance(answer, MergedAnswer)
        self.assertEqual(1, len(answer.missing))

    def test_too_few_shards(self) -> None:
        """A gather without enough replies has run, and has failed."""
        self.assertIsInstance(self.answer(2), Failure)

    def test_single(self) -> None:
        """A request that was sent may have run; one that was not did not."""
        route = make_single_route(is_repeatable=False)
        directory = make_directory(['s0'], 1)
        exchange = SingleExchange(
            make_request(), route, 's0', make_context(directory)
        )
        exchange.start(0)
        action = exchange.give_up(0.1)[0]
        self.assertIsInstance(action.answer, Failure)
        busy = make_context(directory, max_outstanding=0)
        exchange = SingleExchange(make_request(), route, 's0', busy)
        exchange.start(0)
        action = exchange.give_up(0.1)[0]
        self.assertIsInstance(action.answer, Refusal)
