"""Tests of one query, with random orders of replies and failures."""

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
from sesametrack.contracts.messages import (
    SubQuery,
    SubQueryReply,
    SubQueryState,
)
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


class QueryHarness:
    """A query whose gates and upstreams are simulated by a test."""

    query_class = Query

    def __init__(
        self,
        *,
        repeatable: bool = True,
        prefers: Preference = Preference.coverage,
        shards: int = 3,
        replicas: int = 2,
    ) -> None:
        """Place all replicas; each holds the first snapshot."""
        self.now = 100.0
        self.ran: list[SubQuery] = []
        self.sent: list[SubQuery] = []
        self.replies: list[SubQueryReply] = []
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
            self.report_holdings(upstream, [SNAPSHOT])
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

    def report_holdings(self, upstream: str, snapshots: list[Snapshot]) -> None:
        """Send a view with the snapshots that an upstream holds."""
        configured = self.inventory.upstream_by_id[upstream]
        holdings = [
            Holding(snapshot, configured.key_range) for snapshot in snapshots
        ]
        gate = self.placement.gate_of(upstream)
        self.table.update_view(make_view(upstream, holdings), gate.id, self.now)

    def start(self) -> None:
        """Start the query."""
        self.record_actions(self.query.handle(Started(), self.now))

    def record_actions(self, actions: list[QueryAction]) -> None:
        """Record the actions that the query returned."""
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
        state: SubQueryState,
        reason: Reason = Reason.none,
        snapshot: Snapshot | None = None,
        *,
        has_run: bool = False,
    ) -> None:
        """Send a gate's reply to a sub-query."""
        if has_run or state is SubQueryState.answered:
            self.ran.append(sub_query)
        reply_snapshot = snapshot or sub_query.snapshot
        key_range = sub_query.key_range
        body = [reply_snapshot.version, key_range.first, key_range.last]
        reply = SubQueryReply(
            sub_query.id,
            state,
            reason,
            reply_snapshot,
            encode(body),
            0,
            5,
            None,
        )
        self.replies.append(reply)
        self.deliver(reply)

    def deliver(self, reply: SubQueryReply) -> None:
        """Deliver a reply, possibly a duplicate."""
        self.record_actions(self.query.handle(ReplyReceived(reply), self.now))

    def lose_link(self, gate: str) -> None:
        """Report the loss of the link to a gate."""
        self.record_actions(self.query.handle(LinkLost(gate), self.now))

    def fail_send(self, sub_query: SubQuery) -> None:
        """Report that a sub-query was not handed to its link."""
        self.record_actions(
            self.query.handle(SendFailed(sub_query.id), self.now)
        )

    def advance_to_wakeup(self) -> None:
        """Advance the clock to the next wake-up and fire the timer."""
        self.now = max(self.now, self.query.next_wakeup(self.now))
        self.record_actions(self.query.handle(TimerFired(), self.now))

    def run_to_answer(self) -> Answer:
        """Advance the clock until the query has answered."""
        for _ in range(200):
            if self.answer is not None:
                return self.answer
            self.advance_to_wakeup()
        raise AssertionError('no answer after the deadline')


def check_answer(test: TestCase, harness: QueryHarness) -> None:
    """Check an answer against the sub-queries that have run."""
    answer = harness.answer
    if answer.outcome is Outcome.not_run:
        test.assertEqual([], harness.ran)
    answered_width = 0
    next_key = 0
    for shard in answer.shards:
        version, first, last = decode(shard.body)
        test.assertEqual(answer.snapshot.version, version)
        test.assertEqual(
            (first, last), (shard.key_range.first, shard.key_range.last)
        )
        test.assertGreaterEqual(first, next_key)
        next_key = last + 1
        answered_width += shard.key_range.width
    if answer.outcome is Outcome.ran:
        test.assertAlmostEqual(
            answered_width / KEY_SPACE, answer.coverage.share, places=5
        )
        test.assertEqual(answered_width == KEY_SPACE, answer.coverage.complete)
    test.assertLessEqual(harness.now, harness.query.deadline + 1e-6)


def run_random_events(
    harness: QueryHarness, draw: st.DataObject, steps: int
) -> None:
    """Send random events until the query ends or `steps` are done."""
    pending_by_id: dict[str, SubQuery] = {}
    sent_count = 0
    for _ in range(steps):
        if harness.answer is not None:
            break
        for sub_query in harness.sent[sent_count:]:
            pending_by_id[sub_query.id] = sub_query
        sent_count = len(harness.sent)
        choice = draw.draw(st.integers(0, 11))
        if choice <= 7 and pending_by_id:
            chosen = draw.draw(st.sampled_from(sorted(pending_by_id)))
            _send_random_reply(harness, draw, pending_by_id.pop(chosen), choice)
        elif choice == 8:
            gate = draw.draw(
                st.sampled_from([member.id for member in harness.gates])
            )
            harness.lose_link(gate)
        elif choice == 9:
            upstream = draw.draw(
                st.sampled_from(sorted(harness.inventory.upstream_by_id))
            )
            snapshots = draw.draw(
                st.sampled_from([[NEWER], [SNAPSHOT, NEWER], [SNAPSHOT], []])
            )
            harness.report_holdings(upstream, snapshots)
        elif choice == 10 and harness.replies:
            harness.deliver(draw.draw(st.sampled_from(harness.replies)))
        else:
            harness.advance_to_wakeup()


def _send_random_reply(
    harness: QueryHarness, draw: st.DataObject, sub_query: SubQuery, choice: int
) -> None:
    if choice <= 3:
        harness.reply(sub_query, SubQueryState.answered)
    elif choice == 4:
        reason = draw.draw(st.sampled_from(_NOT_RUN_REASONS))
        harness.reply(sub_query, SubQueryState.not_run, reason)
    elif choice == 5:
        reason = draw.draw(st.sampled_from(_UNKNOWN_REASONS))
        has_run = draw.draw(st.booleans())
        harness.reply(sub_query, SubQueryState.unknown, reason, has_run=has_run)
    elif choice == 6:
        harness.fail_send(sub_query)
    else:
        other = NEWER if sub_query.snapshot == SNAPSHOT else SNAPSHOT
        harness.reply(sub_query, SubQueryState.answered, snapshot=other)


class QueryProperties(TestCase):
    """Properties that hold for any order of events."""

    harness_class = QueryHarness

    @settings(max_examples=200)
    @given(
        draw=st.data(),
        prefers=st.sampled_from(list(Preference)),
        replicas=st.integers(1, 3),
    )
    def test_repeatable(
        self, draw: st.DataObject, prefers: Preference, replicas: int
    ) -> None:
        """An answer has one snapshot and correct coverage and outcome."""
        harness = self.harness_class(prefers=prefers, replicas=replicas)
        harness.start()
        run_random_events(harness, draw, 40)
        harness.run_to_answer()
        check_answer(self, harness)

    @settings(max_examples=200)
    @given(draw=st.data())
    def test_not_repeatable(self, draw: st.DataObject) -> None:
        """A non-repeatable request runs at most once."""
        harness = self.harness_class(repeatable=False)
        harness.start()
        run_random_events(harness, draw, 25)
        harness.run_to_answer()
        check_answer(self, harness)
        self.assertLessEqual(len(harness.ran), 1)


class QueryTest(TestCase):
    """Handling of single failures."""

    def test_straggler_is_hedged_and_cancelled(self) -> None:
        """After the hedge has answered, the straggler is cancelled."""
        harness = QueryHarness(shards=1)
        harness.start()
        harness.advance_to_wakeup()
        self.assertEqual(2, len(harness.sent))
        harness.reply(harness.sent[1], SubQueryState.answered)
        self.assertTrue(harness.answer.coverage.complete)
        self.assertEqual([harness.sent[0].id], harness.cancelled)

    def test_stalled_gate_is_retried_elsewhere(self) -> None:
        """Another replica is tried, and a late reply is still used."""
        harness = QueryHarness(shards=1)
        harness.start()
        gate = harness.gate_by_id[harness.sent[0].id]
        harness.record_actions(
            harness.query.handle(GateStalled(gate), harness.now)
        )
        self.assertEqual(2, len(harness.sent))
        harness.reply(harness.sent[0], SubQueryState.answered)
        self.assertTrue(harness.answer.coverage.complete)

    def test_refused_hedge_is_retried(self) -> None:
        """A hedge refused for lack of an idle slot is sent again later."""
        harness = QueryHarness(shards=1)
        harness.start()
        harness.advance_to_wakeup()
        harness.reply(
            harness.sent[1], SubQueryState.not_run, Reason.no_idle_slot
        )
        harness.advance_to_wakeup()
        self.assertEqual(3, len(harness.sent))
        self.assertEqual(harness.sent[1].upstream, harness.sent[2].upstream)

    def test_shard_without_replica_is_missing_with_reason(self) -> None:
        """The answer is partial and gives the reason."""
        harness = QueryHarness()
        for replica in range(2):
            harness.report_holdings(f'find-1-{replica}', [])
        harness.start()
        for sub_query in list(harness.sent):
            harness.reply(sub_query, SubQueryState.answered)
        answer = harness.run_to_answer()
        self.assertEqual(Outcome.ran, answer.outcome)
        self.assertEqual(
            [Reason.no_replica],
            [shard.reason for shard in answer.coverage.missing],
        )

    def test_snapshot_gone_restarts_all_shards(self) -> None:
        """All shards are queried again when the pinned snapshot is gone."""
        harness = QueryHarness()
        harness.start()
        first = list(harness.sent)
        harness.reply(first[0], SubQueryState.answered)
        for upstream in harness.inventory.upstream_by_id:
            if upstream.startswith('find'):
                harness.report_holdings(upstream, [NEWER])
        harness.reply(first[1], SubQueryState.not_run, Reason.snapshot_gone)
        while harness.answer is None:
            for sub_query in list(harness.sent):
                if sub_query.snapshot == NEWER:
                    harness.reply(sub_query, SubQueryState.answered)
            if harness.answer is None:
                harness.advance_to_wakeup()
        self.assertEqual(NEWER, harness.answer.snapshot)
        self.assertTrue(harness.answer.coverage.complete)
        check_answer(self, harness)

    def test_snapshot_that_no_replica_holds_is_replaced(self) -> None:
        """A shard without replicas restarts the query on a newer snapshot."""
        harness = QueryHarness()
        for replica in range(2):
            harness.report_holdings(f'find-1-{replica}', [])
        harness.start()
        for sub_query in list(harness.sent):
            harness.reply(sub_query, SubQueryState.answered)
        for upstream in harness.inventory.upstream_by_id:
            harness.report_holdings(upstream, [NEWER])
        harness.advance_to_wakeup()
        for sub_query in harness.sent[2:]:
            harness.reply(sub_query, SubQueryState.answered)
        self.assertEqual(NEWER, harness.answer.snapshot)
        self.assertTrue(harness.answer.coverage.complete)

    def test_suspect_is_not_sent_to_the_last_replica(self) -> None:
        """After one of two replicas crashed, the other gets no retry."""
        harness = QueryHarness(shards=1)
        harness.start()
        sub_query = harness.sent[0]
        harness.context.quarantine.record_crash(
            sub_query.fingerprint, sub_query.upstream, 1, harness.now
        )
        harness.reply(sub_query, SubQueryState.unknown, Reason.connection_lost)
        answer = harness.run_to_answer()
        self.assertEqual(1, len(harness.sent))
        self.assertEqual(Outcome.unknown, answer.outcome)

    def test_latency_preference_answers_at_target(self) -> None:
        """A service that prefers latency does not wait for a straggler."""
        harness = QueryHarness(prefers=Preference.latency, replicas=1)
        harness.start()
        for sub_query in harness.sent[:2]:
            harness.reply(sub_query, SubQueryState.answered)
        answer = harness.run_to_answer()
        self.assertLess(answer.timing.total_ms, 181)
        self.assertEqual(2, answer.coverage.shards_answered)
