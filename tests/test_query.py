"""Properties of one query over every interleaving of replies and losses."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.json import decode, encode
from testtools import TestCase

from sesametrack.callers.budget import RatioBudget
from sesametrack.callers.context import QueryContext, ServiceState
from sesametrack.callers.events import (
    DeliverAnswer,
    GateStalled,
    LinkLost,
    QueryAction,
    ReplyReceived,
    SendCancel,
    SendFailed,
    SendSubQuery,
    Started,
    TimerFired,
)
from sesametrack.callers.latency import LatencyQuantile
from sesametrack.callers.query import Query
from sesametrack.callers.replicas import ReplicaTable
from sesametrack.contracts.answers import Answer
from sesametrack.contracts.messages import SubQuery, SubReply, SubState
from sesametrack.contracts.outcomes import Outcome, Reason
from sesametrack.contracts.rules import Preference, Rules, ServiceRules
from sesametrack.contracts.snapshots import KEY_SPACE, Holding, Snapshot
from sesametrack.failure_domains.placement import Placement
from sesametrack.upstreams.quarantine import Quarantine
from tests.builders import (
    SNAPSHOT,
    make_inventory,
    make_member,
    make_request,
    make_view,
)

NEWER = Snapshot(2, 'p1')
_NOT_RUN_REASONS = (
    Reason.shed,
    Reason.overload,
    Reason.draining,
    Reason.not_owner,
    Reason.snapshot_gone,
    Reason.no_idle_slot,
    Reason.quarantined,
)
_UNKNOWN_REASONS = (Reason.connection_lost, Reason.upstream_error)


class QueryWorld:
    """A query with gates and upstreams that a test plays."""

    query_class = Query

    def __init__(
        self,
        *,
        repeatable: bool = True,
        prefers: Preference = Preference.coverage,
        shards: int = 3,
        replicas: int = 2,
    ) -> None:
        """Place all replicas and hold the first snapshot everywhere."""
        self.now = 100.0
        self.ran: list[SubQuery] = []
        self.sent: list[SubQuery] = []
        self.replies: list[SubReply] = []
        self.gate_by_id: dict[str, str] = {}
        self.cancelled: list[str] = []
        self.answer: Answer | None = None
        self.inventory = make_inventory(shards, replicas)
        self.gates = [
            make_member('vm-n'),
            make_member('vm-s', failure_domain='south'),
        ]
        self.table = ReplicaTable()
        self.rules = ServiceRules(prefers=prefers, deadline_ms=1000)
        self.table.configure(self.inventory, Rules(default=self.rules))
        self.placement = Placement(self.inventory, self.gates)
        self.table.update_placement(
            self.placement, [gate.id for gate in self.gates]
        )
        for upstream in self.inventory.upstream_by_id:
            self.hold(upstream, [SNAPSHOT])
        self.context = QueryContext(
            self.table, Quarantine(), Random(1), id_prefix='test'
        )
        state = ServiceState(
            self.rules,
            LatencyQuantile(95, 0.05),
            RatioBudget(0.5, 10),
            RatioBudget(0.5, 10),
        )
        service = 'find' if repeatable else 'pay'
        self.query = self.query_class(
            make_request(service, repeatable=repeatable),
            state,
            self.context,
            self.now,
        )

    def hold(self, upstream: str, snapshots: list[Snapshot]) -> None:
        """Let an upstream's gate say which snapshots it holds."""
        known = self.inventory.upstream_by_id[upstream]
        holdings = [
            Holding(snapshot, known.key_range) for snapshot in snapshots
        ]
        gate = self.placement.gate_of(upstream)
        self.table.update_view(make_view(upstream, holdings), gate.id, self.now)

    def start(self) -> None:
        """Start the query."""
        self.take(self.query.handle(Started(), self.now))

    def take(self, actions: list[QueryAction]) -> None:
        """Note what the query asked for."""
        for action in actions:
            if isinstance(action, SendSubQuery):
                self.sent.append(action.sub_query)
                self.gate_by_id[action.sub_query.id] = action.gate
            elif isinstance(action, SendCancel):
                self.cancelled.append(action.cancel.id)
            elif isinstance(action, DeliverAnswer):
                self.answer = action.answer

    def reply(
        self,
        sub_query: SubQuery,
        state: SubState,
        reason: Reason = Reason.none,
        snapshot: Snapshot | None = None,
        *,
        has_run: bool = False,
    ) -> None:
        """Let a gate reply to a sub-query."""
        if has_run or state is SubState.answered:
            self.ran.append(sub_query)
        held = snapshot or sub_query.snapshot
        key_range = sub_query.key_range
        body = [held.version, key_range.first, key_range.last]
        reply = SubReply(
            sub_query.id, state, reason, held, encode(body), 0, 5, None
        )
        self.replies.append(reply)
        self.deliver(reply)

    def deliver(self, reply: SubReply) -> None:
        """Deliver a reply, perhaps not for the first time."""
        self.take(self.query.handle(ReplyReceived(reply), self.now))

    def lose_link(self, gate: str) -> None:
        """Lose the link to a gate."""
        self.take(self.query.handle(LinkLost(gate), self.now))

    def never_sent(self, sub_query: SubQuery) -> None:
        """Say that a sub-query was not handed to its link."""
        self.take(self.query.handle(SendFailed(sub_query.id), self.now))

    def advance(self) -> None:
        """Let the time of the next wake-up come."""
        self.now = max(self.now, self.query.next_wakeup(self.now))
        self.take(self.query.handle(TimerFired(), self.now))

    def finish(self) -> Answer:
        """Let time pass until the answer is there."""
        for _ in range(200):
            if self.answer is not None:
                return self.answer
            self.advance()
        raise AssertionError('no answer after the deadline')


def check_answer(test: TestCase, world: QueryWorld) -> None:
    """Check all that an answer states against what happened."""
    answer = world.answer
    if answer.outcome is Outcome.not_run:
        test.assertEqual([], world.ran)
    covered = 0
    next_key = 0
    for shard in answer.shards:
        version, first, last = decode(shard.body)
        test.assertEqual(answer.snapshot.version, version)
        test.assertEqual(
            (first, last), (shard.key_range.first, shard.key_range.last)
        )
        test.assertGreaterEqual(first, next_key)
        next_key = last + 1
        covered += shard.key_range.width
    if answer.outcome is Outcome.ran:
        test.assertAlmostEqual(
            covered / KEY_SPACE, answer.coverage.share, places=5
        )
        test.assertEqual(covered == KEY_SPACE, answer.coverage.complete)
    test.assertLessEqual(world.now, world.query.deadline + 1e-6)


def play(world: QueryWorld, draw: st.DataObject, steps: int) -> None:
    """Play random events until the query ends."""
    open_by_id: dict[str, SubQuery] = {}
    seen = 0
    for _ in range(steps):
        if world.answer is not None:
            break
        for sub_query in world.sent[seen:]:
            open_by_id[sub_query.id] = sub_query
        seen = len(world.sent)
        choice = draw.draw(st.integers(0, 11))
        if choice <= 7 and open_by_id:
            chosen = draw.draw(st.sampled_from(sorted(open_by_id)))
            _play_reply(world, draw, open_by_id.pop(chosen), choice)
        elif choice == 8:
            gate = draw.draw(
                st.sampled_from([member.id for member in world.gates])
            )
            world.lose_link(gate)
        elif choice == 9:
            upstream = draw.draw(
                st.sampled_from(sorted(world.inventory.upstream_by_id))
            )
            held = draw.draw(
                st.sampled_from([[NEWER], [SNAPSHOT, NEWER], [SNAPSHOT], []])
            )
            world.hold(upstream, held)
        elif choice == 10 and world.replies:
            world.deliver(draw.draw(st.sampled_from(world.replies)))
        else:
            world.advance()


def _play_reply(
    world: QueryWorld, draw: st.DataObject, sub_query: SubQuery, choice: int
) -> None:
    if choice <= 3:
        world.reply(sub_query, SubState.answered)
    elif choice == 4:
        reason = draw.draw(st.sampled_from(_NOT_RUN_REASONS))
        world.reply(sub_query, SubState.not_run, reason)
    elif choice == 5:
        reason = draw.draw(st.sampled_from(_UNKNOWN_REASONS))
        has_run = draw.draw(st.booleans())
        world.reply(sub_query, SubState.unknown, reason, has_run=has_run)
    elif choice == 6:
        world.never_sent(sub_query)
    else:
        other = NEWER if sub_query.snapshot == SNAPSHOT else SNAPSHOT
        world.reply(sub_query, SubState.answered, snapshot=other)


class QueryProperties(TestCase):
    """What holds over every interleaving."""

    world_class = QueryWorld

    @settings(max_examples=200)
    @given(
        draw=st.data(),
        prefers=st.sampled_from(list(Preference)),
        replicas=st.integers(1, 3),
    )
    def test_repeatable(
        self, draw: st.DataObject, prefers: Preference, replicas: int
    ) -> None:
        """One snapshot, true coverage, and true 'not run'."""
        world = self.world_class(prefers=prefers, replicas=replicas)
        world.start()
        play(world, draw, 40)
        world.finish()
        check_answer(self, world)

    @settings(max_examples=200)
    @given(draw=st.data())
    def test_not_repeatable(self, draw: st.DataObject) -> None:
        """An action runs at most once, and its refusals are true."""
        world = self.world_class(repeatable=False)
        world.start()
        play(world, draw, 25)
        world.finish()
        check_answer(self, world)
        self.assertLessEqual(len(world.ran), 1)


class QueryTest(TestCase):
    """Focused failures."""

    def test_straggler_is_hedged_and_the_loser_cancelled(self) -> None:
        """A hedge answers; the straggler is told to stop."""
        world = QueryWorld(shards=1)
        world.start()
        world.advance()
        self.assertEqual(2, len(world.sent))
        world.reply(world.sent[1], SubState.answered)
        self.assertTrue(world.answer.coverage.complete)
        self.assertEqual([world.sent[0].id], world.cancelled)

    def test_stalled_gate_is_asked_around(self) -> None:
        """Another replica answers; a late reply would still be used."""
        world = QueryWorld(shards=1)
        world.start()
        gate = world.gate_by_id[world.sent[0].id]
        world.take(world.query.handle(GateStalled(gate), world.now))
        self.assertEqual(2, len(world.sent))
        world.reply(world.sent[0], SubState.answered)
        self.assertTrue(world.answer.coverage.complete)

    def test_refused_hedge_is_tried_again(self) -> None:
        """A hedge that found no idle slot is repeated a little later."""
        world = QueryWorld(shards=1)
        world.start()
        world.advance()
        world.reply(world.sent[1], SubState.not_run, Reason.no_idle_slot)
        world.advance()
        self.assertEqual(3, len(world.sent))
        self.assertEqual(world.sent[1].upstream, world.sent[2].upstream)

    def test_lost_shard_is_missing_with_its_reason(self) -> None:
        """Without a replica the answer is partial and says why."""
        world = QueryWorld()
        for copy in range(2):
            world.hold(f'find-1-{copy}', [])
        world.start()
        for sub_query in list(world.sent):
            world.reply(sub_query, SubState.answered)
        answer = world.finish()
        self.assertEqual(Outcome.ran, answer.outcome)
        self.assertEqual(
            [Reason.no_replica],
            [shard.reason for shard in answer.coverage.missing],
        )

    def test_snapshot_that_vanishes_is_replaced_whole(self) -> None:
        """All shards are asked again when the pinned snapshot is gone."""
        world = QueryWorld()
        world.start()
        first = list(world.sent)
        world.reply(first[0], SubState.answered)
        for upstream in world.inventory.upstream_by_id:
            if upstream.startswith('find'):
                world.hold(upstream, [NEWER])
        world.reply(first[1], SubState.not_run, Reason.snapshot_gone)
        while world.answer is None:
            for sub_query in list(world.sent):
                if sub_query.snapshot == NEWER:
                    world.reply(sub_query, SubState.answered)
            if world.answer is None:
                world.advance()
        self.assertEqual(NEWER, world.answer.snapshot)
        self.assertTrue(world.answer.coverage.complete)
        check_answer(self, world)

    def test_snapshot_that_no_replica_holds_is_replaced(self) -> None:
        """A shard without holders moves the whole query to a newer one."""
        world = QueryWorld()
        for copy in range(2):
            world.hold(f'find-1-{copy}', [])
        world.start()
        for sub_query in list(world.sent):
            world.reply(sub_query, SubState.answered)
        for upstream in world.inventory.upstream_by_id:
            world.hold(upstream, [NEWER])
        world.advance()
        for sub_query in world.sent[2:]:
            world.reply(sub_query, SubState.answered)
        self.assertEqual(NEWER, world.answer.snapshot)
        self.assertTrue(world.answer.coverage.complete)

    def test_suspect_never_goes_to_the_last_replica(self) -> None:
        """After one replica died, the other one is spared."""
        world = QueryWorld(shards=1)
        world.start()
        sub_query = world.sent[0]
        world.context.quarantine.record_crash(
            sub_query.fingerprint, sub_query.upstream, 1, world.now
        )
        world.reply(sub_query, SubState.unknown, Reason.connection_lost)
        answer = world.finish()
        self.assertEqual(1, len(world.sent))
        self.assertEqual(Outcome.unknown, answer.outcome)

    def test_latency_first_answers_at_its_target(self) -> None:
        """A service that prefers latency does not wait for a straggler."""
        world = QueryWorld(prefers=Preference.latency, replicas=1)
        world.start()
        for sub_query in world.sent[:2]:
            world.reply(sub_query, SubState.answered)
        answer = world.finish()
        self.assertLess(answer.timing.total_ms, 181)
        self.assertEqual(2, answer.coverage.shards_answered)
