"""Gathers that aggregators share the work of."""

from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.routing.aggregators import Aggregators, divide_shards
from sesametrack.routing.calls import CallContext
from sesametrack.routing.events import (
    Deliver,
    Failure,
    FailureKind,
    MergedAnswer,
    Refusal,
    ReplyKind,
    Send,
    UpstreamReply,
)
from sesametrack.routing.wide_gather import WideGatherExchange
from sesametrack.vms.watchers import FleetVm
from tests.router_builders import (
    make_context,
    make_directory,
    make_gather_route,
    make_reply,
    make_request,
)

_SHARDS = 48
_VMS = 9
_PART = b'b' * 16
_OUTCOMES = st.sampled_from(
    ('whole', 'short', 'empty', 'refused', 'lost', 'unsent', 'time', 'ack')
)
_STEP = st.tuples(_OUTCOMES, st.integers(0, 200), st.floats(0, 0.02))


def make_aggregators(vms: int) -> Aggregators:
    """Make the view of VM vm-0 of its failure domain."""
    aggregators = Aggregators('vm-0', 'north')
    aggregators.apply(
        [
            FleetVm(f'vm-{number}', 'north', '127.0.0.1:1', '127.0.0.1:2')
            for number in range(vms)
        ]
    )
    return aggregators


@dataclass
class World:
    """Plays the aggregators and upstreams of one wide gather."""

    least: float = 0.9
    now: float = 0
    pending: dict[int, Send] = field(default_factory=dict)
    sends: list[Send] = field(default_factory=list)
    answers: list = field(default_factory=list)
    # Digests that replies brought, by shard.
    offered: dict[str, set[bytes]] = field(default_factory=dict)
    # Upstreams that aggregators told that they had sent to, by shard.
    told: dict[str, set[str]] = field(default_factory=dict)
    has_run: bool = False

    def __post_init__(self) -> None:
        """Start the gather."""
        self.route = make_gather_route(_SHARDS, self.least)
        directory = make_directory(list(self.route.shards), 3)
        self.context: CallContext = make_context(directory)
        aggregators = make_aggregators(_VMS)
        self.exchange = WideGatherExchange(
            make_request(),
            self.route,
            self.context,
            aggregators,
            aggregators.groups(self.route.shards),
        )
        self.perform(self.exchange.start(0))

    def perform(self, actions: list) -> None:
        """Carry out what the exchange asks for."""
        for action in actions:
            if isinstance(action, Send):
                self.pending[action.attempt_id] = action
                self.sends.append(action)
            elif isinstance(action, Deliver):
                self.answers.append(action.answer)

    def step(self, outcome: str, choice: int, pause: float) -> None:
        """End one pending send, or let time pass."""
        self.now += pause
        if self.exchange.is_done:
            return
        if outcome == 'time' or not self.pending:
            self.now = max(self.now, min(self.exchange.wake_at, self.now + 3))
            self.perform(self.exchange.on_timer(self.now))
            return
        attempt_id = sorted(self.pending)[choice % len(self.pending)]
        if outcome == 'ack':
            self.perform(self.exchange.on_acknowledged(attempt_id, self.now))
            return
        send = self.pending.pop(attempt_id)
        send.upstream.health.end_attempt(attempt_id)
        if outcome in {'lost', 'unsent'}:
            kind = FailureKind.broken
            if outcome == 'unsent':
                kind = FailureKind.not_sent
            self.has_run = self.has_run or outcome == 'lost'
            actions = self.exchange.on_failure(attempt_id, kind, self.now)
        else:
            reply = self.reply(send, outcome)
            actions = self.exchange.on_reply(attempt_id, reply, self.now)
        self.perform(actions)

    def reply(self, send: Send, outcome: str) -> UpstreamReply:
        """Make the reply of an aggregator or of an upstream."""
        if outcome == 'refused':
            return make_reply(ReplyKind.rejected)
        if send.subgather is None:
            digest = f'{send.service}-{send.attempt_id}'.encode()
            self.offer(send.service, digest)
            return UpstreamReply(ReplyKind.succeeded, 200, [], _PART, digest)
        number = {'whole': 99, 'short': 2, 'empty': 0}[outcome]
        got = send.subgather.shards[:number]
        digest_by_shard = {
            shard: f'{shard}-{send.attempt_id}'.encode() for shard in got
        }
        for shard, digest in digest_by_shard.items():
            self.offer(shard, digest)
        rest = send.subgather.shards[number:]
        asked = {
            shard: [f'{shard}-{replica}' for replica in range(len(shard) % 3)]
            for shard in rest
        }
        for shard, upstreams in asked.items():
            self.told.setdefault(shard, set()).update(upstreams)
        merged = MergedAnswer(
            digest_by_shard,
            dict.fromkeys(rest, 'pending'),
            _PART * len(got),
            asked,
        )
        return UpstreamReply(ReplyKind.succeeded, 200, [], b'', merged=merged)

    def offer(self, shard: str, digest: bytes) -> None:
        """Keep a digest that the answer may name."""
        self.has_run = True
        self.offered.setdefault(shard, set()).add(digest)

    def run_out(self) -> None:
        """Let time pass until the exchange is done."""
        for _ in range(400):
            if self.exchange.is_done:
                return
            self.step('time', 0, 0.005)

    def end_all(self, outcome: str) -> None:
        """End all sends that are pending now in the same way."""
        for attempt_id in sorted(self.pending):
            order = sorted(self.pending).index(attempt_id)
            self.step(outcome, order, 0)


class WideGatherTest(TestCase):
    """Laws and cases of gathers with aggregators."""

    @given(st.lists(_STEP, max_size=80), st.floats(0.3, 1))
    def test_laws(self, steps: list, least: float) -> None:
        """One answer; each shard is in once, or missing, never both."""
        world = World(least)
        for outcome, choice, pause in steps:
            world.step(outcome, choice, pause)
        world.run_out()
        self.assertEqual(1, len(world.answers))
        answer = world.answers[0]
        if isinstance(answer, MergedAnswer):
            self.assertEqual(
                sorted(world.route.shards),
                sorted([*answer.digest_by_shard, *answer.missing]),
            )
            self.assertGreaterEqual(
                len(answer.digest_by_shard), least * _SHARDS - 1e-6
            )
            for shard, digest in answer.digest_by_shard.items():
                self.assertIn(digest, world.offered[shard])
        elif isinstance(answer, Refusal):
            self.assertFalse(world.has_run)
        used = {shard: set(told) for shard, told in world.told.items()}
        for send in world.sends:
            if send.subgather is None:
                used.setdefault(send.service, set()).add(send.upstream.id)
        for upstreams in used.values():
            self.assertLessEqual(len(upstreams), world.route.max_attempts)

    def test_whole_answer_in_few_sends(self) -> None:
        """Few requests to aggregators take the place of one for each shard.

        Pattern: a gather over many shards on a VM with half a core, whose
        own sends alone would take longer than the target.
        """
        world = World()
        remote = [send for send in world.sends if send.subgather]
        self.assertLess(len(world.sends), _SHARDS / 2)
        self.assertGreater(len(remote), _VMS / 2)
        world.end_all('whole')
        world.end_all('whole')
        self.assertEqual({}, world.answers[0].missing)

    def test_silent_aggregator_is_replaced(self) -> None:
        """An aggregator that acknowledges nothing gets no further work.

        Pattern: a VM of the failure domain that stands still, or is cut off
        without a reset, while the others go on.
        """
        world = World()
        silent = next(send for send in world.sends if send.subgather)
        for send in list(world.sends):
            if send.subgather and send is not silent:
                order = sorted(world.pending).index(send.attempt_id)
                world.step('ack', order, 0)
        before = len(world.sends)
        world.now = 0.021
        world.perform(world.exchange.on_timer(world.now))
        again = [
            send
            for send in world.sends[before:]
            if send.subgather
            and send.subgather.shards == silent.subgather.shards
        ]
        self.assertEqual(1, len(again))
        self.assertIsNot(silent.upstream, again[0].upstream)
        self.assertTrue(again[0].subgather.may_have_run)
        self.assertTrue(silent.upstream.health.is_ejected(world.now))

    def test_missing_shards_are_asked_once_more(self) -> None:
        """If too few shards are in, others ask for the rest, then this VM."""
        world = World(1)
        for attempt_id, send in sorted(world.pending.items()):
            order = sorted(world.pending).index(attempt_id)
            outcome = 'short' if send.subgather else 'whole'
            world.step(outcome, order, 0.001)
        self.assertEqual([], world.answers)
        again = [send for send in world.pending.values() if send.subgather]
        self.assertNotEqual([], again)
        self.assertTrue(all(send.subgather.tried_by_shard for send in again))
        world.end_all('empty')
        self.assertEqual([], world.answers)
        self.assertFalse(any(send.subgather for send in world.pending.values()))
        world.end_all('whole')
        self.assertEqual({}, world.answers[0].missing)

    def test_lost_after_acknowledgement(self) -> None:
        """Shards of an aggregator that was at work are not asked again.

        Pattern: a VM is cut off or killed with a group under way. It may have
        sent to as many upstreams as the route allows.
        """
        for outcome in ('lost', 'time'):
            world = World(1)
            remote = [send for send in world.sends if send.subgather]
            lost = remote[0]
            for send in remote:
                order = sorted(world.pending).index(send.attempt_id)
                world.step('ack', order, 0)
            if outcome == 'lost':
                order = sorted(world.pending).index(lost.attempt_id)
                world.step('lost', order, 0.01)
            for attempt_id in sorted(world.pending):
                if attempt_id != lost.attempt_id:
                    order = sorted(world.pending).index(attempt_id)
                    world.step('whole', order, 0)
            before = len(world.sends)
            world.run_out()
            self.assertEqual(before, len(world.sends))
            self.assertIsInstance(world.answers[0], Failure)
            self.assertLess(world.now, world.route.timeout)

    def test_unreachable_shards_are_remembered(self) -> None:
        """What one aggregator could not reach is refused at once next time."""
        world = World(1)
        send = next(send for send in world.sends if send.subgather)
        lost = dict.fromkeys(send.subgather.shards, 'no-upstream')
        reply = UpstreamReply(
            ReplyKind.succeeded,
            200,
            [],
            b'',
            merged=MergedAnswer({}, lost, b''),
        )
        world.perform(world.exchange.on_reply(send.attempt_id, reply, 0.01))
        aggregators = make_aggregators(_VMS)
        exchange = WideGatherExchange(
            make_request(0.02),
            world.route,
            world.context,
            aggregators,
            aggregators.groups(world.route.shards),
        )
        self.assertIsInstance(exchange.start(0.02)[0].answer, Refusal)

    def test_nothing_ran_is_a_refusal(self) -> None:
        """If nothing could be sent anywhere, the refusal says so."""
        world = World()
        for upstream in world.context.directory.by_id.values():
            upstream.health.record_unreachable(0)
        while world.pending and not world.exchange.is_done:
            world.step('unsent', 0, 0)
        self.assertNotIsInstance(world.answers[0], MergedAnswer)
        self.assertNotIsInstance(world.answers[0], Failure)

    def test_cut_off_while_own_sends_run(self) -> None:
        """What this VM has got itself counts at the cut-off too.

        Pattern: one shard of this VM's own group is slow, and the last reply
        of an aggregator comes just after the cut-off.
        """
        world = World(0.5)
        own = [send for send in world.sends if send.subgather is None]
        slow = own[0].attempt_id
        remote = [send for send in world.sends if send.subgather]
        for send in own[1:]:
            world.step('whole', sorted(world.pending).index(send.attempt_id), 0)
        for send in remote:
            world.now = 0.039
            order = sorted(world.pending).index(send.attempt_id)
            world.step('whole', order, 0)
            if world.answers:
                break
        self.assertIn(slow, world.pending)
        answer = world.answers[0]
        self.assertEqual(
            sorted(world.route.shards),
            sorted([*answer.digest_by_shard, *answer.missing]),
        )
        self.assertIn(own[1].service, answer.digest_by_shard)


class GroupsTest(TestCase):
    """The division of shards over VMs."""

    @given(st.integers(40, 300), st.integers(6, 60))
    def test_division(self, shards: int, vms: int) -> None:
        """Each shard is in one group, and no VM has two while one has none."""
        names = tuple(f's{number}' for number in range(shards))
        vm_names = [f'vm-{number}' for number in range(vms)]
        groups = divide_shards(names, vm_names)
        members = [shard for group in groups for shard in group.shards]
        self.assertEqual(sorted(names), sorted(members))
        first = [group.vms[0] for group in groups]
        self.assertEqual(len(first), len(set(first)))
        self.assertTrue(all(len(set(group.vms)) == 2 for group in groups))

    def test_small_fleets_and_gathers_send_directly(self) -> None:
        """Neither few shards nor few VMs need aggregators."""
        wide = tuple(f's{number}' for number in range(90))
        self.assertEqual([], make_aggregators(3).groups(wide))
        self.assertEqual([], make_aggregators(_VMS).groups(wide[:20]))
        self.assertNotEqual([], make_aggregators(_VMS).groups(wide))
