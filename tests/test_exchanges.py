"""Laws of exchanges over all orders of replies, failures and time."""

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
    WIDE_RULE,
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
class World:
    """Plays upstreams against an exchange and records what happened."""

    exchange: object
    now: float = 0
    pending: dict[int, Send] = field(default_factory=dict)
    sends: list[Send] = field(default_factory=list)
    may_have_run: list[str] = field(default_factory=list)
    answers: list[object] = field(default_factory=list)

    def perform(self, actions: list) -> None:
        """Carry out what the exchange asks for."""
        for action in actions:
            if isinstance(action, Send):
                self.pending[action.attempt_id] = action
                self.sends.append(action)
            elif isinstance(action, Deliver):
                self.answers.append(action.answer)

    def step(self, outcome: object, choice: int, pause: float) -> None:
        """End one pending send, or let time pass."""
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

    def run_out(self) -> None:
        """Let time pass until the exchange is done."""
        for _ in range(200):
            if self.exchange.is_done:
                return
            self.step('time', 0, 0.005)


def make_gather(route: Route, context: CallContext) -> GatherExchange:
    """Make a gather whose caller waits at this VM."""
    request = make_request()
    times = gather_deadlines(request, route)
    return GatherExchange(request, route, context, times)


def play(exchange: object, steps: list) -> World:
    """Run an exchange through the steps and to its end."""
    world = World(exchange)
    world.perform(exchange.start(0))
    for outcome, choice, pause in steps:
        world.step(outcome, choice, pause)
    world.run_out()
    return world


class SingleLawsTest(TestCase):
    """Laws of forwarded requests."""

    @given(st.lists(_STEP, max_size=12), st.integers(1, 3))
    def test_unrepeatable_runs_once(self, steps: list, attempts: int) -> None:
        """A request that may not be repeated runs at most once.

        No send follows one that may have run, and a refusal is true.
        """
        route = make_single_route(is_repeatable=False, attempts=attempts)
        context = make_context(make_directory(['s0'], 3))
        world = play(
            SingleExchange(make_request(), route, 's0', context), steps
        )
        self.assertLessEqual(len(world.may_have_run), 1)
        self.check_answer(world)

    @given(st.lists(_STEP, max_size=20), st.integers(1, 3))
    def test_repeatable(self, steps: list, attempts: int) -> None:
        """One answer, and no more upstreams than the route allows."""
        route = make_single_route(is_repeatable=True, attempts=attempts)
        context = make_context(make_directory(['s0'], 3))
        world = play(
            SingleExchange(make_request(), route, 's0', context), steps
        )
        self.assertLessEqual(
            len({send.upstream.id for send in world.sends}), attempts
        )
        self.check_answer(world)

    def check_answer(self, world: World) -> None:
        """There is one answer, and a refusal says the truth."""
        self.assertEqual(1, len(world.answers))
        answer = world.answers[0]
        if isinstance(answer, Refusal):
            self.assertEqual([], world.may_have_run)
            self.assertEqual({}, world.pending)
            self.assertGreater(answer.retry_after, 0)

    def test_answer_by_the_deadline(self) -> None:
        """A silent upstream costs the deadline and no more."""
        route = make_single_route(is_repeatable=False)
        context = make_context(make_directory(['s0'], 2))
        exchange = SingleExchange(
            make_request(caller_timeout=0.5), route, 's0', context
        )
        world = play(exchange, [])
        self.assertLessEqual(world.now, 0.5)
        self.assertEqual([Failure('deadline', is_late=True)], world.answers)

    def test_past_deadline_is_refused(self) -> None:
        """A request that waited past its deadline is not sent."""
        context = make_context(make_directory(['s0'], 2))
        exchange = SingleExchange(
            make_request(caller_timeout=0.5),
            make_single_route(is_repeatable=False),
            's0',
            context,
        )
        actions = exchange.start(0.6)
        self.assertIsInstance(actions[0].answer, Refusal)

    def test_lost_upstreams_are_refused_at_once(self) -> None:
        """Without a reachable upstream the refusal does not wait."""
        directory = make_directory(['s0'], 2)
        for upstream in directory.by_id.values():
            upstream.health.record_unreachable(0)
        exchange = SingleExchange(
            make_request(),
            make_single_route(is_repeatable=True),
            's0',
            make_context(directory),
        )
        world = World(exchange)
        world.perform(exchange.start(0))
        self.assertIsInstance(world.answers[0], Refusal)

    def test_rejected_request_goes_elsewhere(self) -> None:
        """A rejection by one upstream costs a retry and no answer."""
        context = make_context(make_directory(['s0'], 2))
        exchange = SingleExchange(
            make_request(),
            make_single_route(is_repeatable=False),
            's0',
            context,
        )
        world = play(
            exchange,
            [(ReplyKind.rejected, 0, 0), (ReplyKind.succeeded, 0, 0)],
        )
        self.assertIsInstance(world.answers[0], ForwardReply)
        self.assertEqual(2, len({send.upstream.id for send in world.sends}))


class GatherLawsTest(TestCase):
    """Laws of scattered requests."""

    @given(
        st.lists(_STEP, max_size=60),
        st.integers(1, 6),
        st.floats(0.3, 1),
        st.booleans(),
    )
    def test_laws(
        self, steps: list, shards: int, least: float, has_budget: bool
    ) -> None:
        """One answer, whose parts and missing shards make up the route."""
        route = make_gather_route(shards, least)
        rule = WIDE_RULE if has_budget else BudgetRule(0.2, 10, 1)
        context = make_context(make_directory(list(route.shards), 2), rule)
        world = play(make_gather(route, context), steps)
        self.assertEqual(1, len(world.answers))
        answer = world.answers[0]
        if isinstance(answer, MergedAnswer):
            parts = len(answer.digest_by_shard)
            self.assertEqual(
                sorted(route.shards),
                sorted([*answer.digest_by_shard, *answer.missing]),
            )
            self.assertGreaterEqual(parts, 1)
            self.assertGreaterEqual(parts, least * shards - 1e-6)
        elif isinstance(answer, Refusal):
            self.assertEqual([], world.may_have_run)
            self.assertEqual({}, world.pending)
        for service in route.shards:
            used = {
                send.upstream.id
                for send in world.sends
                if send.service == service
            }
            self.assertLessEqual(len(used), route.max_attempts)

    def make_world(self, shards: int, least: float) -> World:
        """Start a gather over good shards."""
        route = make_gather_route(shards, least)
        context = make_context(make_directory(list(route.shards), 2))
        exchange = make_gather(route, context)
        world = World(exchange)
        world.perform(exchange.start(0))
        return world

    def answer_all(self, world: World, but: str = '') -> None:
        """Let all pending sends succeed but those of one service."""
        for attempt_id, send in list(world.pending.items()):
            if send.service != but and not world.exchange.is_done:
                world.pending.pop(attempt_id)
                world.perform(
                    world.exchange.on_reply(attempt_id, make_reply(), world.now)
                )

    def test_whole_answer(self) -> None:
        """All parts make a whole answer at once."""
        world = self.make_world(4, 0.75)
        self.answer_all(world)
        self.assertEqual({}, world.answers[0].missing)

    def test_pausing_upstream_is_hedged(self) -> None:
        """A shard without a reply is asked at its other replica."""
        world = self.make_world(4, 1)
        self.answer_all(world, but='s2')
        world.now = world.exchange.wake_at
        world.perform(world.exchange.on_timer(world.now))
        hedge = world.sends[-1]
        first = next(send for send in world.sends if send.service == 's2')
        self.assertEqual(('s2', 'hedge'), (hedge.service, hedge.reason))
        self.assertNotEqual(first.upstream.id, hedge.upstream.id)

    def test_out_of_reach(self) -> None:
        """Upstreams that nobody lists are not out of this VM's reach.

        Pattern: routes that are kept for shards which have left made VMs
        believe that they were cut off, one after the other.
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

    def test_replies_that_flow_are_not_hedged(self) -> None:
        """A VM that is still reading replies does not hedge the rest.

        Pattern: a gather over many shards on a small VM, where reading all
        replies takes longer than the hedge delay.
        """
        world = self.make_world(40, 1)
        world.now = world.exchange.wake_at
        for attempt_id in sorted(world.pending)[:10]:
            world.pending.pop(attempt_id)
            world.perform(
                world.exchange.on_reply(attempt_id, make_reply(), world.now)
            )
        sends = len(world.sends)
        world.perform(world.exchange.on_timer(world.now + 0.001))
        self.assertEqual(sends, len(world.sends))
        world.now = world.exchange.wake_at
        world.perform(world.exchange.on_timer(world.now))
        self.assertEqual(sends + 30, len(world.sends))

    def test_cut_off_near_the_target(self) -> None:
        """Near the target the least share suffices."""
        world = self.make_world(4, 0.75)
        self.answer_all(world, but='s2')
        world.run_out()
        self.assertEqual(['s2'], list(world.answers[0].missing))
        self.assertLess(world.now, 0.04)

    def test_too_few_shards_are_refused_at_once(self) -> None:
        """A gather that cannot reach its least share does not begin."""
        route = make_gather_route(4)
        directory = make_directory(list(route.shards), 2)
        for upstream in directory.by_id.values():
            if upstream.record.service in {'s0', 's1'}:
                upstream.health.record_unreachable(0)
        exchange = make_gather(route, make_context(directory))
        actions = exchange.start(0)
        self.assertIsInstance(actions[0].answer, Refusal)
