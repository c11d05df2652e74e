"""Tests of a gate's policy for one upstream."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.contracts.messages import SubQuery, SubQueryKind, SubQueryState
from sesametrack.contracts.outcomes import Reason
from sesametrack.contracts.snapshots import Holding
from sesametrack.upstreams.actions import (
    BroadcastConnectionLoss,
    CloseConnection,
    OpenConnection,
    ProbeConnection,
    SendReply,
    SendRequest,
    UpstreamAction,
)
from sesametrack.upstreams.events import (
    ConnectionEnded,
    ConnectionOpened,
    FailureDomainChanged,
    GateStopping,
    LoadReported,
    ProbeAnswered,
    Response,
    ResponseKind,
    ResponseReceived,
    SubQueryCancelled,
    SubQueryReceived,
    Ticked,
    UpstreamEvent,
)
from sesametrack.upstreams.policy import UpstreamPolicy
from sesametrack.upstreams.quarantine import Quarantine
from tests.builders import (
    FULL_KEY_RANGE,
    SNAPSHOT,
    make_sub_query,
    make_upstream,
)

_HOLDINGS = [Holding(SNAPSHOT, FULL_KEY_RANGE)]


class PolicyHarness:
    """A policy and a simulated upstream that a test controls."""

    policy_class = UpstreamPolicy

    def __init__(self, slots: int = 2, connections: int = 25) -> None:
        """Create the policy and open its connections."""
        self.now = 100.0
        self.upstream = make_upstream(slots, connections)
        self.quarantine = Quarantine()
        self.policy = self.policy_class(
            self.upstream, self.quarantine, self.now
        )
        self.opening: list[int] = []
        self.open: set[int] = set()
        self.probed: list[int] = []
        self.running: dict[int, SubQuery] = {}
        self.sent: list[str] = []
        self.replies: dict[str, list] = {}
        self.submitted: list[str] = []
        self.connection_losses: list[BroadcastConnectionLoss] = []
        self.answers_probes = True
        self.step(LoadReported(0, False, False, _HOLDINGS))
        self.step(Ticked())
        self.open_all()

    def step(self, event: UpstreamEvent) -> None:
        """Let the policy handle an event and run its actions."""
        for action in self.policy.handle(event, self.now):
            self.run_action(action)

    def run_action(self, action: UpstreamAction) -> None:
        """Run an action against the simulated upstream."""
        if isinstance(action, OpenConnection):
            self.opening.append(action.connection)
        elif isinstance(action, CloseConnection):
            self.remove_connection(action.connection)
        elif isinstance(action, ProbeConnection):
            self.probed.append(action.connection)
        elif isinstance(action, SendRequest):
            assert action.connection in self.open, 'connection is not open'
            assert action.connection not in self.running, 'busy connection'
            self.running[action.connection] = action.sub_query
            self.sent.append(action.sub_query.id)
        elif isinstance(action, SendReply):
            self.replies.setdefault(action.reply.id, []).append(action.reply)
        elif isinstance(action, BroadcastConnectionLoss):
            self.connection_losses.append(action)

    def remove_connection(self, number: int) -> None:
        """Remove a connection from the simulated upstream."""
        self.open.discard(number)
        self.running.pop(number, None)
        if number in self.opening:
            self.opening.remove(number)
        if number in self.probed:
            self.probed.remove(number)

    def open_all(self) -> None:
        """Complete all connections that are being opened."""
        while self.opening:
            number = self.opening.pop()
            self.open.add(number)
            self.step(ConnectionOpened(number))

    def send_sub_query(
        self,
        number: int,
        kind: SubQueryKind = SubQueryKind.primary,
        timeout: float = 1,
    ) -> None:
        """Send a sub-query to the policy."""
        sub_query = make_sub_query(number, kind)
        self.submitted.append(sub_query.id)
        self.step(SubQueryReceived('vm/entry', sub_query, self.now + timeout))

    def respond(
        self, number: int, kind: ResponseKind = ResponseKind.answered
    ) -> None:
        """Respond on a connection."""
        self.running.pop(number)
        self.step(ResponseReceived(number, Response(kind, b'[]', SNAPSHOT)))

    def fail_connection(self, number: int) -> None:
        """Close a connection from the upstream's side."""
        self.remove_connection(number)
        self.step(ConnectionEnded(number))

    def advance(self, seconds: float) -> None:
        """Advance the clock with a tick every 50 ms."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 0.05)
            self.tick()

    def tick(self) -> None:
        """Tick the policy and answer its probes, unless that is turned off."""
        self.step(Ticked())
        while self.answers_probes and self.probed:
            self.step(ProbeAnswered(self.probed.pop()))

    def warm_up(self, requests: int = 40) -> None:
        """Answer requests until the window covers all slots."""
        for number in range(requests):
            self.send_sub_query(100_000 + number)
            self.now += 0.05
            for connection in list(self.running):
                self.respond(connection)
            self.tick()


def run_random_events(
    harness: PolicyHarness, draw: st.DataObject, steps: int
) -> None:
    """Run random events and check the limits after each of them."""
    for number in range(steps):
        choice = draw.draw(st.integers(0, 12))
        harness.answers_probes = choice % 2 == 0
        if choice <= 3:
            kind = draw.draw(st.sampled_from(list(SubQueryKind)))
            harness.send_sub_query(
                number, kind, draw.draw(st.floats(0.001, 0.5))
            )
        elif choice <= 6 and harness.running:
            connection = draw.draw(st.sampled_from(sorted(harness.running)))
            kind = draw.draw(st.sampled_from(list(ResponseKind)))
            harness.respond(connection, kind)
        elif choice == 7 and harness.open:
            harness.fail_connection(
                draw.draw(st.sampled_from(sorted(harness.open)))
            )
        elif choice == 8:
            harness.advance(draw.draw(st.floats(0.01, 0.7)))
        elif choice == 9:
            harness.open_all()
        elif choice == 10 and harness.probed:
            connection = harness.probed.pop()
            harness.step(ProbeAnswered(connection))
        elif choice == 11 and harness.submitted:
            harness.step(
                SubQueryCancelled(draw.draw(st.sampled_from(harness.submitted)))
            )
        else:
            _run_random_report(harness, draw)
        check_limits(harness)


def _run_random_report(harness: PolicyHarness, draw: st.DataObject) -> None:
    in_flight = draw.draw(st.integers(0, 5))
    harness.step(
        LoadReported(in_flight, draw.draw(st.booleans()), False, _HOLDINGS)
    )
    harness.step(FailureDomainChanged(draw.draw(st.booleans())))


def check_limits(harness: PolicyHarness) -> None:
    """Check the limits of the inventory as the upstream observes them."""
    limit = harness.upstream.connections // 2
    assert len(harness.running) <= harness.upstream.slots, 'slots exceeded'
    assert len(harness.open) + len(harness.opening) <= limit, 'connections'
    assert harness.policy.in_flight <= harness.policy.window_size


class PolicyProperties(TestCase):
    """Properties that hold for every order of events."""

    harness_class = PolicyHarness

    @settings(max_examples=150)
    @given(draw=st.data(), slots=st.integers(1, 6))
    def test_limits_and_replies(self, draw: st.DataObject, slots: int) -> None:
        """Limits hold; each sub-query gets one reply; 'not run' is correct."""
        harness = self.harness_class(slots, max(6, slots))
        run_random_events(harness, draw, 60)
        for connection in list(harness.running):
            harness.respond(connection)
        harness.step(GateStopping())
        harness.advance(3)
        for connection in list(harness.running):
            harness.fail_connection(connection)
        for sub_query_id in set(harness.submitted):
            replies = harness.replies[sub_query_id]
            self.assertEqual(1, len(replies))
            if sub_query_id in harness.sent:
                is_refused = replies[0].state is SubQueryState.not_run
                shed = {Reason.shed, Reason.draining, Reason.snapshot_gone}
                # The upstream itself responded that it did not run these.
                self.assertTrue(not is_refused or replies[0].reason in shed)


class TwoGatesProperties(TestCase):
    """Two gates may use one upstream while the membership converges."""

    @settings(max_examples=40)
    @given(
        draw=st.data(), slots=st.integers(1, 6), connections=st.integers(6, 25)
    )
    def test_shared_limits(
        self, draw: st.DataObject, slots: int, connections: int
    ) -> None:
        """Connection limits always hold; no reported slot is assigned twice."""
        gates = [PolicyHarness(slots, connections) for _ in range(2)]
        for _ in range(12):
            chosen = draw.draw(st.integers(0, 1))
            run_random_events(gates[chosen], draw, 4)
            pooled = sum(len(gate.open) + len(gate.opening) for gate in gates)
            controls = len(gates)
            self.assertLessEqual(pooled + controls, connections)
        self._check_report(gates, slots)

    def _check_report(self, gates: list[PolicyHarness], slots: int) -> None:
        """After a load report a gate exceeds the slots by one at most."""
        first, second = gates
        first.advance(2)
        external = len(second.running)
        before = len(first.running)
        first.step(LoadReported(before + external, False, False, _HOLDINGS))
        for number in range(slots + 2):
            first.send_sub_query(10_000 + number)
        limit = max(1, slots - external, before)
        self.assertLessEqual(len(first.running), limit)


class PolicyTest(TestCase):
    """Single scenarios."""

    def test_new_gate_starts_with_one_request(self) -> None:
        """Without a handover the window starts at one request."""
        harness = PolicyHarness()
        harness.send_sub_query(1)
        harness.send_sub_query(2)
        self.assertEqual(1, len(harness.running))

    def test_window_grows_and_shrinks(self) -> None:
        """Successes widen the window; load shedding shrinks it to one."""
        harness = PolicyHarness()
        harness.warm_up()
        self.assertEqual(2, harness.policy.window_size)
        harness.send_sub_query(1)
        harness.respond(next(iter(harness.running)), ResponseKind.shed)
        self.assertEqual(1, harness.policy.window_size)

    def test_two_slow_responses_shrink_the_window(self) -> None:
        """A cold upstream is detected by its response times alone."""
        harness = PolicyHarness()
        harness.warm_up()
        for number in range(2):
            harness.send_sub_query(number)
            harness.advance(0.3)
            harness.respond(next(iter(harness.running)))
        self.assertEqual(1, harness.policy.window_size)

    def test_lasting_slowdown_is_accepted(self) -> None:
        """An upstream that stays slower is not limited to one request."""
        harness = PolicyHarness()
        harness.warm_up()
        for number in range(60):
            harness.send_sub_query(number)
            harness.advance(0.2)
            for connection in list(harness.running):
                harness.respond(connection)
        self.assertEqual(2, harness.policy.window_size)

    def test_load_reports_do_not_widen_the_window(self) -> None:
        """Only responses widen it, as load reports may be wrong."""
        harness = PolicyHarness()
        for _ in range(50):
            harness.advance(0.1)
            harness.step(LoadReported(0, False, False, _HOLDINGS))
        self.assertEqual(1, harness.policy.window_size)

    def test_requests_of_other_gates_use_slots(self) -> None:
        """Requests of other gates in a load report reduce the free slots."""
        harness = PolicyHarness()
        harness.warm_up()
        harness.advance(2)
        harness.step(LoadReported(1, False, False, _HOLDINGS))
        harness.send_sub_query(1)
        harness.send_sub_query(2)
        self.assertEqual(1, len(harness.running))

    def test_expired_queued_work_is_refused_as_not_run(self) -> None:
        """Sub-queries that can no longer meet their deadline are refused."""
        harness = PolicyHarness()
        harness.warm_up()
        for number in range(3):
            harness.send_sub_query(number, timeout=0.2)
        harness.advance(0.3)
        reply = harness.replies['q2'][0]
        self.assertEqual(SubQueryState.not_run, reply.state)
        self.assertEqual(Reason.deadline, reply.reason)

    def test_unresponsive_connections_are_replaced(self) -> None:
        """An overdue response triggers probes; unanswered ones are closed."""
        harness = PolicyHarness()
        harness.warm_up()
        unresponsive = set(harness.open)
        harness.answers_probes = False
        harness.send_sub_query(1, timeout=5)
        harness.advance(1.5)
        self.assertEqual(set(), unresponsive & harness.open)
        self.assertEqual(SubQueryState.unknown, harness.replies['q1'][0].state)
        harness.answers_probes = True
        for _ in range(4):
            harness.advance(0.3)
            harness.open_all()
            harness.tick()
        harness.send_sub_query(2)
        self.assertEqual(['q2'], [sent.id for sent in harness.running.values()])

    def test_hedge_is_refused_without_an_idle_slot(self) -> None:
        """A hedge must not wait behind other work."""
        harness = PolicyHarness()
        harness.send_sub_query(1)
        harness.send_sub_query(2, SubQueryKind.hedge)
        self.assertEqual(Reason.no_idle_slot, harness.replies['q2'][0].reason)

    def test_work_is_refused_without_connection(self) -> None:
        """Without an open connection work is refused as not run."""
        harness = PolicyHarness()
        harness.send_sub_query(1)
        harness.send_sub_query(2)
        for connection in list(harness.open):
            harness.fail_connection(connection)
        harness.advance(0.2)
        harness.send_sub_query(3)
        for name in ('q2', 'q3'):
            self.assertEqual(Reason.no_replica, harness.replies[name][0].reason)

    def test_frozen_upstream_gets_few_connections(self) -> None:
        """A frozen upstream would find all of them open when it resumes."""
        harness = PolicyHarness()
        harness.answers_probes = False
        harness.send_sub_query(1, timeout=0.2)
        opened = 0
        for _ in range(40):
            harness.advance(0.25)
            opened += len(harness.opening)
            harness.open_all()
        self.assertLess(opened, 15)

    def test_takeover_delay_follows_first_response(self) -> None:
        """A gate of another failure domain lets the upstream's own go first."""
        policy = UpstreamPolicy(
            make_upstream(), Quarantine(), 0, takeover_delay=2
        )
        report = LoadReported(0, False, False, _HOLDINGS)
        policy.handle(report, 10)
        for at, is_accepting in ((11.9, False), (12.1, True)):
            for action in policy.handle(Ticked(), at):
                if isinstance(action, OpenConnection):
                    policy.handle(ConnectionOpened(action.connection), at)
            view = policy.view(at, with_holdings=False)
            self.assertEqual(is_accepting, view.accepting)

    def test_canary_runs_alone(self) -> None:
        """No other request runs beside a canary."""
        harness = PolicyHarness()
        harness.warm_up()
        harness.send_sub_query(1, SubQueryKind.canary)
        harness.send_sub_query(2)
        self.assertEqual(['q1'], [sent.id for sent in harness.running.values()])

    def test_crash_with_two_in_flight_quarantines_none(self) -> None:
        """Both are suspects, each reported with two requests in flight."""
        harness = PolicyHarness()
        harness.warm_up()
        harness.send_sub_query(1)
        harness.send_sub_query(2)
        for connection in list(harness.running):
            harness.fail_connection(connection)
        self.assertEqual(
            [2, 2], [loss.in_flight for loss in harness.connection_losses]
        )
        for name in ('f1', 'f2'):
            self.assertTrue(harness.quarantine.is_suspect(name, harness.now))
            self.assertFalse(
                harness.quarantine.is_quarantined(name, harness.now)
            )

    def test_failure_domain_out_refuses_queued_work(self) -> None:
        """Queued work is refused; requests in flight are not cancelled."""
        harness = PolicyHarness()
        harness.send_sub_query(1)
        harness.send_sub_query(2)
        harness.step(FailureDomainChanged(is_out=True))
        self.assertEqual(
            Reason.failure_domain_out, harness.replies['q2'][0].reason
        )
        harness.respond(next(iter(harness.running)))
        self.assertEqual(SubQueryState.answered, harness.replies['q1'][0].state)
