"""Membership over lossy, cut and delayed in-memory delivery."""

from itertools import product
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.contracts.members import Member, MemberState, Notice, Versions
from sesametrack.vms.events import (
    AddressesDiscovered,
    GossipReceived,
    JoinFinished,
    LeaveRequested,
    NoticesChanged,
    NoticesReceived,
    SendGossip,
    Ticked,
    VersionsChanged,
    VersionsReceived,
)
from sesametrack.vms.membership import Membership
from tests.builders import make_member

TICK = 0.05


class Network:
    """Many members that exchange messages in virtual time."""

    def __init__(self, size: int, seed: int, loss: float = 0) -> None:
        """Start all members with the first one as their seed."""
        self.now = 0.0
        self.loss = loss
        self.rng = Random(seed)
        self.cut: set[tuple[str, str]] = set()
        self.paused: set[str] = set()
        self.sent = 0
        self.versions: dict[str, int] = {}
        self.notices: dict[str, set[str]] = {}
        self.by_id: dict[str, Membership] = {}
        self._waiting: list[tuple[str, str, object]] = []
        self._id_by_address: dict[str, str] = {}
        for number in range(size):
            self.join(f'vm{number}', 1)

    def join(self, vm: str, incarnation: int) -> Membership:
        """Start a member, or restart it with nothing kept."""
        member = make_member(vm)
        membership = Membership(member, incarnation, Random(self.rng.random()))
        self.by_id[member.id] = membership
        self._id_by_address[member.gossip] = member.id
        seeds = frozenset(
            (make_member('vm0').gossip, make_member('vm1').gossip)
        )
        for event in (AddressesDiscovered(seeds), JoinFinished()):
            self.act(member.id, membership.handle(event, self.now))
        return membership

    def add_address(self, member: Member) -> None:
        """Let datagrams for a member find it."""
        self._id_by_address[member.gossip] = member.id

    def act(self, sender: str, actions: list) -> None:
        """Carry out a member's actions."""
        for action in actions:
            if isinstance(action, SendGossip):
                self.sent += 1
                self._waiting.append((sender, action.address, action.message))
            elif isinstance(action, VersionsReceived):
                self._hear(sender, action.versions)
            elif isinstance(action, NoticesReceived):
                known = self.notices.setdefault(sender, set())
                known.update(seen.fingerprint for seen in action.notices)

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK
            for member_id, membership in self.by_id.items():
                if member_id not in self.paused:
                    self.act(member_id, membership.handle(Ticked(), self.now))
            for _ in range(3):
                self._deliver()

    def set_version(self, member_id: str, revision: int) -> None:
        """Let a member have a newer configuration."""
        self.versions[member_id] = revision
        event = VersionsChanged(Versions(revision))
        self.act(member_id, self.by_id[member_id].handle(event, self.now))

    def alive_at(self, member_id: str) -> set[str]:
        """Return whom a member believes usable."""
        members = self.by_id[member_id].usable_members()
        return {member.id for member in members}

    def is_agreed(self, expected: set[str]) -> bool:
        """Tell whether all of these members see just each other."""
        return all(self.alive_at(known) == expected for known in expected)

    def _hear(self, member_id: str, versions: Versions) -> None:
        # The fetch that follows in a daemon is taken as done at once.
        if versions.configuration > self.versions.get(member_id, 0):
            self.set_version(member_id, versions.configuration)

    def _deliver(self) -> None:
        waiting, self._waiting = self._waiting, []
        for sender, address, message in waiting:
            receiver = self._id_by_address.get(address, '')
            if not self._arrives(sender, receiver):
                continue
            source = self.by_id[sender].me.gossip
            event = GossipReceived(message, source)
            self.act(receiver, self.by_id[receiver].handle(event, self.now))

    def _arrives(self, sender: str, receiver: str) -> bool:
        if sender not in self.by_id or receiver not in self.by_id:
            return False
        if receiver in self.paused or (sender, receiver) in self.cut:
            return False
        return self.rng.random() >= self.loss


class MembershipTest(TestCase):
    """Joins, crashes, leaves, pauses and cuts."""

    @settings(max_examples=15)
    @given(seed=st.integers(0, 10_000), loss=st.floats(0, 0.15))
    def test_all_find_each_other_despite_loss(
        self, seed: int, loss: float
    ) -> None:
        """A lossy network delays agreement; nobody stays declared dead."""
        network = Network(8, seed, loss)
        network.run(10)
        network.loss = 0
        network.run(10)
        self.assertTrue(network.is_agreed(set(network.by_id)))

    @settings(max_examples=15)
    @given(seed=st.integers(0, 10_000))
    def test_crash_is_noticed_within_seconds(self, seed: int) -> None:
        """A dead member is out everywhere 6 s later."""
        network = Network(8, seed)
        network.run(5)
        network.by_id.pop('vm3/gate')
        network.run(6)
        self.assertTrue(network.is_agreed(set(network.by_id)))

    def test_planned_leave_is_told_at_once(self) -> None:
        """A leaving member gets no work half a second later."""
        network = Network(8, 1)
        network.run(5)
        leaving = network.by_id['vm2/gate']
        network.act('vm2/gate', leaving.handle(LeaveRequested(), network.now))
        network.run(0.5)
        others = set(network.by_id) - {'vm2/gate'}
        seen = [name for name in others if 'vm2/gate' in network.alive_at(name)]
        self.assertLessEqual(len(seen), len(others) // 2)
        network.run(2)
        for name in others:
            self.assertNotIn('vm2/gate', network.alive_at(name))

    def test_paused_member_returns_without_accusing_others(self) -> None:
        """A member that stood still refutes its death, and accuses none."""
        network = Network(6, 2)
        network.run(5)
        network.paused.add('vm1/gate')
        network.run(8)
        network.paused.clear()
        network.run(0.2)
        states = network.by_id['vm1/gate'].states()
        self.assertEqual(
            set(),
            {known for known in states if states[known] is MemberState.dead},
        )
        network.run(6)
        self.assertTrue(network.is_agreed(set(network.by_id)))

    def test_partition_heals(self) -> None:
        """Each side serves by itself; both find each other again."""
        network = Network(8, 3)
        network.run(5)
        members = sorted(network.by_id)
        sides = (set(members[:4]), set(members[4:]))
        network.cut = set(product(sides[0], sides[1]))
        network.cut |= set(product(sides[1], sides[0]))
        network.run(10)
        for side in sides:
            self.assertTrue(network.is_agreed(side))
        network.cut.clear()
        network.run(15)
        self.assertTrue(network.is_agreed(set(network.by_id)))

    def test_one_way_cut_does_not_kill(self) -> None:
        """Helpers reach a member that one other cannot reach."""
        network = Network(8, 4)
        network.run(5)
        network.cut = {('vm1/gate', 'vm2/gate')}
        network.run(20)
        self.assertTrue(network.is_agreed(set(network.by_id)))

    def test_restarted_member_is_taken_back(self) -> None:
        """A member that lost its state joins under a higher incarnation."""
        network = Network(6, 5)
        network.run(5)
        network.by_id.pop('vm4/gate')
        network.run(6)
        network.join('vm4', 2)
        network.run(3)
        self.assertTrue(network.is_agreed(set(network.by_id)))

    def test_version_reaches_all_within_three_seconds(self) -> None:
        """Gossip alone spreads a revision, also past loss."""
        network = Network(40, 6, loss=0.05)
        network.run(15)
        network.set_version('vm7/gate', 9)
        network.run(3)
        behind = [
            name for name in network.by_id if network.versions.get(name) != 9
        ]
        self.assertEqual([], behind)

    def test_joining_member_gets_no_work(self) -> None:
        """It gossips, and counts for placement only after its join."""
        network = Network(4, 9)
        network.run(5)
        member = make_member('late')
        late = Membership(member, 1, Random(1))
        network.by_id[member.id] = late
        network.add_address(member)
        seeds = AddressesDiscovered(frozenset((make_member('vm0').gossip,)))
        network.act(member.id, late.handle(seeds, network.now))
        network.run(4)
        self.assertNotIn(member.id, network.alive_at('vm0/gate'))
        self.assertIn(member.id, network.by_id['vm0/gate'].states())
        network.act(member.id, late.handle(JoinFinished(), network.now))
        network.run(3)
        self.assertTrue(network.is_agreed(set(network.by_id)))

    def test_notices_travel(self) -> None:
        """A conviction reaches all members."""
        network = Network(8, 7)
        network.run(5)
        notice = Notice('killer', 1_000_000, 300)
        event = NoticesChanged((notice,), is_urgent=True)
        membership = network.by_id['vm5/gate']
        network.act('vm5/gate', membership.handle(event, network.now))
        network.run(0.5)
        self.assertGreaterEqual(len(network.notices), 4)

    def test_cost_does_not_grow_with_members(self) -> None:
        """Messages of a member a second stay the same at any size."""
        rates = []
        for size in (6, 60):
            network = Network(size, 8)
            network.run(10)
            before = network.sent
            network.run(10)
            rates.append((network.sent - before) / size / 10)
        self.assertLess(max(rates), 5)
