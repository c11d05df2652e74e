"""Properties of a gate's policy for one upstream."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.contracts.messages import SubQuery, SubQueryKind, SubState
from sesametrack.contracts.outcomes import Reason
from sesametrack.contracts.snapshots import Holding
from sesametrack.upstreams.actions import (
    BroadcastSuspicion,
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
    """A policy with an upstream that a test plays."""

    policy_class = UpstreamPolicy

    def __init__(self, slots: int = 2, connections: int = 25) -> None:
        """Start the policy; open its connections."""
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
        self.offered: list[str] = []
        self.suspicions: list[BroadcastSuspicion] = []
        self.answers_probes = True
        self.step(LoadReported(0, False, False, _HOLDINGS))
        self.step(Ticked())
        self.open_all()

    def step(self, event: UpstreamEvent) -> None:
        """Give the policy an event and take its actions."""
        for action in self.policy.handle(event, self.now):
            self.take(action)

    def take(self, action: UpstreamAction) -> None:
        """Play an action."""
        if isinstance(action, OpenConnection):
            self.opening.append(action.connection)
        elif isinstance(action, CloseConnection):
            self.drop(action.connection)
        elif isinstance(action, ProbeConnection):
            self.probed.append(action.connection)
        elif isinstance(action, SendRequest):
            assert action.connection in self.open, 'connection is not open'
            assert action.connection not in self.running, 'busy connection'
            self.running[action.connection] = action.sub_query
            self.sent.append(action.sub_query.id)
        elif isinstance(action, SendReply):
            self.replies.setdefault(action.reply.id, []).append(action.reply)
        elif isinstance(action, BroadcastSuspicion):
            self.suspicions.append(action)

    def drop(self, number: int) -> None:
        """Forget a connection."""
        self.open.discard(number)
        self.running.pop(number, None)
        if number in self.opening:
            self.opening.remove(number)
        if number in self.probed:
            self.probed.remove(number)

    def open_all(self) -> None:
        """Let all connections that are being opened open."""
        while self.opening:
            number = self.opening.pop()
            self.open.add(number)
            self.step(ConnectionOpened(number))

    def offer(
        self,
        number: int,
        kind: SubQueryKind = SubQueryKind.primary,
        allowed: float = 1,
    ) -> None:
        """Offer a sub-query."""
        sub_query = make_sub_query(number, kind)
        self.offered.append(sub_query.id)
        self.step(SubQueryReceived('vm/entry', sub_query, self.now + allowed))

    def respond(
        self, number: int, kind: ResponseKind = ResponseKind.answered
    ) -> None:
        """Let the upstream respond on a connection."""
        self.running.pop(number)
        self.step(ResponseReceived(number, Response(kind, b'[]', SNAPSHOT)))

    def die(self, number: int) -> None:
        """Let a connection die."""
        self.drop(number)
        self.step(ConnectionEnded(number))

    def pass_time(self, seconds: float) -> None:
        """Let time pass with ticks."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 0.05)
            self.tick()

    def tick(self) -> None:
        """Let the policy see the time; probes are answered if possible."""
        self.step(Ticked())
        while self.answers_probes and self.probed:
            self.step(ProbeAnswered(self.probed.pop()))

    def warm_up(self, requests: int = 40) -> None:
        """Answer requests until the window is wide."""
        for number in range(requests):
            self.offer(100_000 + number)
            self.now += 0.05
            for connection in list(self.running):
                self.respond(connection)
            self.tick()


def play(world: PolicyHarness, draw: st.DataObject, steps: int) -> None:
    """Play random events; limits are checked after each."""
    for number in range(steps):
        choice = draw.draw(st.integers(0, 12))
        world.answers_probes = choice % 2 == 0
        if choice <= 3:
            kind = draw.draw(st.sampled_from(list(SubQueryKind)))
            world.offer(number, kind, draw.draw(st.floats(0.001, 0.5)))
        elif choice <= 6 and world.running:
            connection = draw.draw(st.sampled_from(sorted(world.running)))
            kind = draw.draw(st.sampled_from(list(ResponseKind)))
            world.respond(connection, kind)
        elif choice == 7 and world.open:
            world.die(draw.draw(st.sampled_from(sorted(world.open))))
        elif choice == 8:
            world.pass_time(draw.draw(st.floats(0.01, 0.7)))
        elif choice == 9:
            world.open_all()
        elif choice == 10 and world.probed:
            connection = world.probed.pop()
            world.step(ProbeAnswered(connection))
        elif choice == 11 and world.offered:
            world.step(
                SubQueryCancelled(draw.draw(st.sampled_from(world.offered)))
            )
        else:
            _play_report(world, draw)
        check_limits(world)


def _play_report(world: PolicyHarness, draw: st.DataObject) -> None:
    in_flight = draw.draw(st.integers(0, 5))
    world.step(
        LoadReported(in_flight, draw.draw(st.booleans()), False, _HOLDINGS)
    )
    world.step(FailureDomainChanged(draw.draw(st.booleans())))


def check_limits(world: PolicyHarness) -> None:
    """Check the limits of the inventory as the upstream would see them."""
    limit = world.upstream.connections // 2
    assert len(world.running) <= world.upstream.slots, 'slots exceeded'
    assert len(world.open) + len(world.opening) <= limit, 'connections'
    assert world.policy.in_flight <= world.policy.window_size


class PolicyProperties(TestCase):
    """What holds over every interleaving."""

    harness_class = PolicyHarness

    @settings(max_examples=150)
    @given(draw=st.data(), slots=st.integers(1, 6))
    def test_limits_and_replies(self, draw: st.DataObject, slots: int) -> None:
        """Limits hold; each offer gets one reply; 'not run' is true."""
        world = self.harness_class(slots, max(6, slots))
        play(world, draw, 60)
        for connection in list(world.running):
            world.respond(connection)
        world.step(GateStopping())
        world.pass_time(3)
        for connection in list(world.running):
            world.die(connection)
        for sub_query_id in set(world.offered):
            replies = world.replies[sub_query_id]
            self.assertEqual(1, len(replies))
            if sub_query_id in world.sent:
                is_refused = replies[0].state is SubState.not_run
                shed = {Reason.shed, Reason.draining, Reason.snapshot_gone}
                # The upstream itself said that it did not run these.
                self.assertTrue(not is_refused or replies[0].reason in shed)


class TwoGatesProperties(TestCase):
    """Two gates may hold one upstream while membership converges."""

    @settings(max_examples=40)
    @given(
        draw=st.data(), slots=st.integers(1, 6), connections=st.integers(6, 25)
    )
    def test_shared_limits(
        self, draw: st.DataObject, slots: int, connections: int
    ) -> None:
        """Connections hold always; a reported slot is not taken twice."""
        gates = [PolicyHarness(slots, connections) for _ in range(2)]
        for _ in range(12):
            chosen = draw.draw(st.integers(0, 1))
            play(gates[chosen], draw, 4)
            pooled = sum(len(gate.open) + len(gate.opening) for gate in gates)
            controls = len(gates)
            self.assertLessEqual(pooled + controls, connections)
        self._check_report(gates, slots)

    def _check_report(self, gates: list[PolicyHarness], slots: int) -> None:
        """After a report each gate starts at most one beyond the slots."""
        first, second = gates
        first.pass_time(2)
        foreign = len(second.running)
        before = len(first.running)
        first.step(LoadReported(before + foreign, False, False, _HOLDINGS))
        for number in range(slots + 2):
            first.offer(10_000 + number)
        allowed = max(1, slots - foreign, before)
        self.assertLessEqual(len(first.running), allowed)


class PolicyTest(TestCase):
    """Focused failures."""

    def test_new_gate_starts_with_one_request(self) -> None:
        """Without a handover nothing is known, so one is the limit."""
        world = PolicyHarness()
        world.offer(1)
        world.offer(2)
        self.assertEqual(1, len(world.running))

    def test_window_grows_and_falls(self) -> None:
        """Success widens the window; shedding narrows it to one."""
        world = PolicyHarness()
        world.warm_up()
        self.assertEqual(2, world.policy.window_size)
        world.offer(1)
        world.respond(next(iter(world.running)), ResponseKind.shed)
        self.assertEqual(1, world.policy.window_size)

    def test_two_slow_answers_narrow_the_window(self) -> None:
        """An upstream turned cold without warning shows in its replies."""
        world = PolicyHarness()
        world.warm_up()
        for number in range(2):
            world.offer(number)
            world.pass_time(0.3)
            world.respond(next(iter(world.running)))
        self.assertEqual(1, world.policy.window_size)

    def test_lasting_slowness_is_accepted(self) -> None:
        """An upstream that stays slower is not held at one for ever."""
        world = PolicyHarness()
        world.warm_up()
        for number in range(60):
            world.offer(number)
            world.pass_time(0.2)
            for connection in list(world.running):
                world.respond(connection)
        self.assertEqual(2, world.policy.window_size)

    def test_reports_only_lower(self) -> None:
        """A report of an idle, warm upstream does not widen the window."""
        world = PolicyHarness()
        for _ in range(50):
            world.pass_time(0.1)
            world.step(LoadReported(0, False, False, _HOLDINGS))
        self.assertEqual(1, world.policy.window_size)

    def test_foreign_work_is_subtracted(self) -> None:
        """Another gate's requests take slots of the upstream."""
        world = PolicyHarness()
        world.warm_up()
        world.pass_time(2)
        world.step(LoadReported(1, False, False, _HOLDINGS))
        world.offer(1)
        world.offer(2)
        self.assertEqual(1, len(world.running))

    def test_late_queued_work_is_refused_as_not_run(self) -> None:
        """What can no longer finish is dropped from the queue."""
        world = PolicyHarness()
        world.warm_up()
        for number in range(3):
            world.offer(number, allowed=0.2)
        world.pass_time(0.3)
        reply = world.replies['q2'][0]
        self.assertEqual(SubState.not_run, reply.state)
        self.assertEqual(Reason.deadline, reply.reason)

    def test_silent_connections_are_replaced(self) -> None:
        """A reply overdue makes idle connections suspect, then closed."""
        world = PolicyHarness()
        world.warm_up()
        silent = set(world.open)
        world.answers_probes = False
        world.offer(1, allowed=5)
        world.pass_time(1.5)
        self.assertEqual(set(), silent & world.open)
        self.assertEqual(SubState.unknown, world.replies['q1'][0].state)
        world.answers_probes = True
        for _ in range(4):
            world.pass_time(0.3)
            world.open_all()
            world.tick()
        world.offer(2)
        self.assertEqual(['q2'], [sent.id for sent in world.running.values()])

    def test_hedge_is_refused_without_an_idle_slot(self) -> None:
        """A hedge must not queue behind other work."""
        world = PolicyHarness()
        world.offer(1)
        world.offer(2, SubQueryKind.hedge)
        self.assertEqual(Reason.no_idle_slot, world.replies['q2'][0].reason)

    def test_upstream_that_is_down_gets_no_queue(self) -> None:
        """Without an open connection work is refused as not run."""
        world = PolicyHarness()
        world.offer(1)
        world.offer(2)
        for connection in list(world.open):
            world.die(connection)
        world.pass_time(0.2)
        world.offer(3)
        for name in ('q2', 'q3'):
            self.assertEqual(Reason.no_replica, world.replies[name][0].reason)

    def test_frozen_upstream_sees_few_connections(self) -> None:
        """A host that stands still would find all of them on its return."""
        world = PolicyHarness()
        world.answers_probes = False
        world.offer(1, allowed=0.2)
        opened = 0
        for _ in range(40):
            world.pass_time(0.25)
            opened += len(world.opening)
            world.open_all()
        self.assertLess(opened, 15)

    def test_gate_of_another_domain_waits(self) -> None:
        """It starts nothing before the upstream's own gate had its time."""
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
        """Nothing runs beside a canary."""
        world = PolicyHarness()
        world.warm_up()
        world.offer(1, SubQueryKind.canary)
        world.offer(2)
        self.assertEqual(['q1'], [sent.id for sent in world.running.values()])

    def test_one_crash_with_two_in_flight_convicts_neither(self) -> None:
        """Both are suspect, and each is told with two in flight."""
        world = PolicyHarness()
        world.warm_up()
        world.offer(1)
        world.offer(2)
        for connection in list(world.running):
            world.die(connection)
        self.assertEqual(
            [2, 2], [raised.in_flight for raised in world.suspicions]
        )
        for name in ('f1', 'f2'):
            self.assertTrue(world.quarantine.is_suspect(name, world.now))
            self.assertFalse(world.quarantine.is_quarantined(name, world.now))

    def test_domain_out_refuses_only_what_waits(self) -> None:
        """No new work, and nothing is cut."""
        world = PolicyHarness()
        world.offer(1)
        world.offer(2)
        world.step(FailureDomainChanged(is_out=True))
        self.assertEqual(
            Reason.failure_domain_out, world.replies['q2'][0].reason
        )
        world.respond(next(iter(world.running)))
        self.assertEqual(SubState.answered, world.replies['q1'][0].state)
