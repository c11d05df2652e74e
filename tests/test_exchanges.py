"""Exchanges under random sequences of replies, failures and timers."""

from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.routing.calls import CallContext
from sesametrack.routing.desired_state import Route
from sesametrack.routing.events import (
    Deliver,
    Failure,
    FailureKind,
    ForwardReply,
    MergedAnswer,
    Refusal,
    ReplyKind,
    Send,
)
from sesametrack.routing.exchanges import (
    GatherExchange,
    SingleExchange,
    gather_deadlines,
    is_listed_but_unreachable,
)
from sesametrack.routing.retry_budget import BudgetRule
from tests.router_builders import (
    AMPLE_BUDGET,
    make_context,
    make_directory,
    make_gather_route,
    make_reply,
    make_request,
    make_single_route,
)

_OUTCOMES = (
    ReplyKind.succeeded,
    ReplyKind.failed,
    ReplyKind.rejected,
    ReplyKind.misdirected,
    FailureKind.not_sent,
    FailureKind.broken,
    'time',
)
_STEP = st.tuples(
    st.sampled_from(_OUTCOMES), st.integers(0, 30), st.floats(0, 0.1)
)


@dataclass
class ExchangeSimulation:
    """Simulates the upstreams of an exchange and records its sends."""

    exchange: object
    now: float = 0
    pending: dict[int, Send] = field(default_factory=dict)
    sends: list[Send] = field(default_factory=list)
    may_have_run: list[str] = field(default_factory=list)
    answers: list[object] = field(default_factory=list)

    def perform(self, actions: list) -> None:
        """Carry out the actions of the exchange."""
        for action in actions:
            if isinstance(action, Send):
                self.pending[action.attempt_id] = action
                self.sends.append(action)
            elif isinstance(action, Deliver):
                self.answers.append(action.answer)

    def step(self, outcome: object, choice: int, pause: float) -> None:
        """End one pending send, or advance to the next timer."""
        self.now += pause
        if self.exchange.is_done:
            return
        if outcome == 'time' or not self.pending:
            self.now = max(self.now, min(self.exchange.wake_at, self.now + 3))
            self.perform(self.exchange.on_timer(self.now))
            return
        attempt_id = sorted(self.pending)[choice % len(self.pending)]
        send = self.pending.pop(attempt_id)
        send.upstream.health.end_attempt(attempt_id)
        if outcome in {
            ReplyKind.succeeded,
            ReplyKind.failed,
            FailureKind.broken,
        }:
            self.may_have_run.append(send.upstream.id)
        if isinstance(outcome, ReplyKind):
            reply = make_reply(outcome)
            actions = self.exchange.on_reply(attempt_id, reply, self.now)
        else:
            actions = self.exchange.on_failure(attempt_id, outcome, self.now)
        self.perform(actions)

    def run_until_done(self) -> None:
        """Advance the time until the exchange is done."""
        for _ in range(200):
            if self.exchange.is_done:
                return
            self.step('time', 0, 0.005)


def make_gather(route: Route, context: CallContext) -> GatherExchange:
    """Make a gather whose caller is connected to this VM."""
    request = make_request()
    deadlines = gather_deadlines(request, route)
    return GatherExchange(request, route, context, deadlines)


def simulate(exchange: object, steps: list) -> ExchangeSimulation:
    """Run an exchange through these steps and then to its end."""
    simulation = ExchangeSimulation(exchange)
    simulation.perform(exchange.start(0))
    for outcome, choice, pause in steps:
        simulation.step(outcome, choice, pause)
    simulation.run_until_done()
    return simulation


class SingleExchangeTest(TestCase):
    """Invariants and cases of requests to a single service."""

    @given(st.lists(_STEP, max_size=12), st.integers(1, 3))
    def test_unrepeatable_runs_once(self, steps: list, attempts: int) -> None:
        """A request that is not repeatable runs at most once.

        Nothing is sent after an attempt that may have run, and a refused
        request has not run.
        """
        route = make_single_route(is_repeatable=False, attempts=attempts)
        context = make_context(make_directory(['s0'], 3))
        simulation = simulate(
            SingleExchange(make_request(), route, 's0', context), steps
        )
        self.assertLessEqual(len(simulation.may_have_run), 1)
        self.check_answer(simulation)

    @given(st.lists(_STEP, max_size=20), st.integers(1, 3))
    def test_repeatable(self, steps: list, attempts: int) -> None:
        """There is one answer, and no more upstreams than the route allows."""
        route = make_single_route(is_repeatable=True, attempts=attempts)
        context = make_context(make_directory(['s0'], 3))
        simulation = simulate(
            SingleExchange(make_request(), route, 's0', context), steps
        )
        self.assertLessEqual(
            len({send.upstream.id for send in simulation.sends}), attempts
        )
        self.check_answer(simulation)

    def check_answer(self, simulation: ExchangeSimulation) -> None:
        """Check that there is one answer, and that no refused request ran."""
        self.assertEqual(1, len(simulation.answers))
        answer = simulation.answers[0]
        if isinstance(answer, Refusal):
            self.assertEqual([], simulation.may_have_run)
            self.assertEqual({}, simulation.pending)
            self.assertGreater(answer.retry_after, 0)

    def test_answer_by_the_deadline(self) -> None:
        """With a silent upstream the exchange fails by the deadline."""
        route = make_single_route(is_repeatable=False)
        context = make_context(make_directory(['s0'], 2))
        exchange = SingleExchange(
            make_request(caller_timeout=0.5), route, 's0', context
        )
        simulation = simulate(exchange, [])
        self.assertLessEqual(simulation.now, 0.5)
        self.assertEqual(
            [Failure('deadline', is_late=True)], simulation.answers
        )

    def test_past_deadline_is_refused(self) -> None:
        """A request that was queued past its deadline is refused."""
        context = make_context(make_directory(['s0'], 2))
        exchange = SingleExchange(
            make_request(caller_timeout=0.5),
            make_single_route(is_repeatable=False),
            's0',
            context,
        )
        actions = exchange.start(0.6)
        self.assertIsInstance(actions[0].answer, Refusal)

    def test_unreachable_upstreams_are_refused_immediately(self) -> None:
        """A request without a reachable upstream is refused immediately."""
        directory = make_directory(['s0'], 2)
        for upstream in directory.by_id.values():
            upstream.health.record_unreachable(0)
        exchange = SingleExchange(
            make_request(),
            make_single_route(is_repeatable=True),
            's0',
            make_context(directory),
        )
        simulation = ExchangeSimulation(exchange)
        simulation.perform(exchange.start(0))
        self.assertIsInstance(simulation.answers[0], Refusal)

    def test_rejected_request_is_retried_elsewhere(self) -> None:
        """A request rejected by one upstream is retried at another."""
        context = make_context(make_directory(['s0'], 2))
        exchange = SingleExchange(
            make_request(),
            make_single_route(is_repeatable=False),
            's0',
            context,
        )
        simulation = simulate(
            exchange,
            [(ReplyKind.rejected, 0, 0), (ReplyKind.succeeded, 0, 0)],
        )
        self.assertIsInstance(simulation.answers[0], ForwardReply)
        self.assertEqual(
            2, len({send.upstream.id for send in simulation.sends})
        )


class GatherExchangeTest(TestCase):
    """Invariants and cases of requests to all shards of a route."""

    @given(
        st.lists(_STEP, max_size=60),
        st.integers(1, 6),
        st.floats(0.3, 1),
        st.booleans(),
    )
    def test_invariants(
        self, steps: list, shards: int, least: float, has_budget: bool
    ) -> None:
        """There is one answer, in which each shard is merged or missing."""
        route = make_gather_route(shards, least)
        rule = AMPLE_BUDGET if has_budget else BudgetRule(0.2, 10, 1)
        context = make_context(make_directory(list(route.shards), 2), rule)
        simulation = simulate(make_gather(route, context), steps)
        self.assertEqual(1, len(simulation.answers))
        answer = simulation.answers[0]
        if isinstance(answer, MergedAnswer):
            parts = len(answer.digest_by_shard)
            self.assertEqual(
                sorted(route.shards),
                sorted([*answer.digest_by_shard, *answer.missing]),
            )
            self.assertGreaterEqual(parts, 1)
            self.assertGreaterEqual(parts, least * shards - 1e-6)
        elif isinstance(answer, Refusal):
            self.assertEqual([], simulation.may_have_run)
            self.assertEqual({}, simulation.pending)
        for service in route.shards:
            used = {
                send.upstream.id
                for send in simulation.sends
                if send.service == service
            }
            self.assertLessEqual(len(used), route.max_attempts)

    def start_simulation(self, shards: int, least: float) -> ExchangeSimulation:
        """Start a gather over shards with reachable upstreams."""
        route = make_gather_route(shards, least)
        context = make_context(make_directory(list(route.shards), 2))
        exchange = make_gather(route, context)
        simulation = ExchangeSimulation(exchange)
        simulation.perform(exchange.start(0))
        return simulation

    def reply_to_all(
        self, simulation: ExchangeSimulation, except_service: str = ''
    ) -> None:
        """Let all pending sends succeed, except those to one service."""
        for attempt_id, send in list(simulation.pending.items()):
            if (
                send.service != except_service
                and not simulation.exchange.is_done
            ):
                simulation.pending.pop(attempt_id)
                simulation.perform(
                    simulation.exchange.on_reply(
                        attempt_id, make_reply(), simulation.now
                    )
                )

    def test_complete_answer(self) -> None:
        """The answer is complete once all shards have replied."""
        simulation = self.start_simulation(4, 0.75)
        self.reply_to_all(simulation)
        self.assertEqual({}, simulation.answers[0].missing)

    def test_paused_upstream_is_hedged(self) -> None:
        """A shard without a reply is hedged at its other replica."""
        simulation = self.start_simulation(4, 1)
        self.reply_to_all(simulation, except_service='s2')
        simulation.now = simulation.exchange.wake_at
        simulation.perform(simulation.exchange.on_timer(simulation.now))
        hedge = simulation.sends[-1]
        first = next(send for send in simulation.sends if send.service == 's2')
        self.assertEqual(('s2', 'hedge'), (hedge.service, hedge.reason))
        self.assertNotEqual(first.upstream.id, hedge.upstream.id)

    def test_unlisted_is_not_unreachable(self) -> None:
        """A route without listed upstreams doesn't count as unreachable.

        Failure: routes that still named removed shards made one VM after the
        other conclude that it was cut off from the network.
        """
        route = make_gather_route(4)
        directory = make_directory(list(route.shards), 1)
        self.assertFalse(is_listed_but_unreachable(route, directory, 0))
        for upstream in directory.by_id.values():
            upstream.health.record_unreachable(0)
        self.assertTrue(is_listed_but_unreachable(route, directory, 0))
        self.assertFalse(
            is_listed_but_unreachable(route, make_directory([], 0), 0)
        )

    def test_reply_backlog_is_not_hedged(self) -> None:
        """A VM that is still reading replies does not hedge the rest.

        Failure: reading all replies of a gather over many shards takes a
        small VM longer than the hedge delay, so it would hedge most shards.
        """
        simulation = self.start_simulation(40, 1)
        simulation.now = simulation.exchange.wake_at
        for attempt_id in sorted(simulation.pending)[:10]:
            simulation.pending.pop(attempt_id)
            simulation.perform(
                simulation.exchange.on_reply(
                    attempt_id, make_reply(), simulation.now
                )
            )
        sends = len(simulation.sends)
        simulation.perform(simulation.exchange.on_timer(simulation.now + 0.001))
        self.assertEqual(sends, len(simulation.sends))
        simulation.now = simulation.exchange.wake_at
        simulation.perform(simulation.exchange.on_timer(simulation.now))
        self.assertEqual(sends + 30, len(simulation.sends))

    def test_cut_off_near_the_target(self) -> None:
        """Near the target latency the minimum share of shards is enough."""
        simulation = self.start_simulation(4, 0.75)
        self.reply_to_all(simulation, except_service='s2')
        simulation.run_until_done()
        self.assertEqual(['s2'], list(simulation.answers[0].missing))
        self.assertLess(simulation.now, 0.04)

    def test_too_few_shards_are_refused_immediately(self) -> None:
        """A gather that cannot reach its minimum share is not sent."""
        route = make_gather_route(4)
        directory = make_directory(list(route.shards), 2)
        for upstream in directory.by_id.values():
            if upstream.record.service in {'s0', 's1'}:
                upstream.health.record_unreachable(0)
        exchange = make_gather(route, make_context(directory))
        actions = exchange.start(0)
        self.assertIsInstance(actions[0].answer, Refusal)
