"""Tests of the membership over a simulated, lossy and partitioned network."""

from itertools import product
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.contracts.members import (
    Member,
    MemberState,
    ObjectVersions,
    QuarantineNotice,
)
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

_TICK_SECONDS = 0.05


class Network:
    """Simulates members that exchange messages in virtual time."""

    def __init__(self, size: int, seed: int, loss: float = 0) -> None:
        """Start all members with the first two as their seeds."""
        self.now = 0.0
        self.loss = loss
        self.rng = Random(seed)
        self.cut_links: set[tuple[str, str]] = set()
        self.paused: set[str] = set()
        self.sent = 0
        self.versions: dict[str, int] = {}
        self.notices: dict[str, set[str]] = {}
        self.by_id: dict[str, Membership] = {}
        self._in_transit: list[tuple[str, str, object]] = []
        self._id_by_address: dict[str, str] = {}
        for number in range(size):
            self.start_member(f'vm{number}', 1)

    def start_member(self, vm: str, incarnation: int) -> Membership:
        """Start a member, or restart it without its state."""
        member = make_member(vm)
        membership = Membership(member, incarnation, Random(self.rng.random()))
        self.by_id[member.id] = membership
        self._id_by_address[member.gossip] = member.id
        seeds = frozenset(
            (make_member('vm0').gossip, make_member('vm1').gossip)
        )
        for event in (AddressesDiscovered(seeds), JoinFinished()):
            self.execute(member.id, membership.handle(event, self.now))
        return membership

    def register_address(self, member: Member) -> None:
        """Deliver datagrams for the member's address to it."""
        self._id_by_address[member.gossip] = member.id

    def execute(self, sender: str, actions: list) -> None:
        """Execute the actions of a member."""
        for action in actions:
            if isinstance(action, SendGossip):
                self.sent += 1
                self._in_transit.append(
                    (sender, action.address, action.message)
                )
            elif isinstance(action, VersionsReceived):
                self._apply_versions(sender, action.versions)
            elif isinstance(action, NoticesReceived):
                known = self.notices.setdefault(sender, set())
                known.update(seen.fingerprint for seen in action.notices)

    def run(self, seconds: float) -> None:
        """Advance the virtual time and deliver messages."""
        end = self.now + seconds
        while self.now < end:
            self.now += _TICK_SECONDS
            for member_id, membership in self.by_id.items():
                if member_id not in self.paused:
                    self.execute(
                        member_id, membership.handle(Ticked(), self.now)
                    )
            for _ in range(3):
                self._deliver()

    def set_version(self, member_id: str, revision: int) -> None:
        """Set the configuration revision of a member."""
        self.versions[member_id] = revision
        event = VersionsChanged(ObjectVersions(revision))
        self.execute(member_id, self.by_id[member_id].handle(event, self.now))

    def usable_members_of(self, member_id: str) -> set[str]:
        """Return the ids of the members that a member sees as usable."""
        members = self.by_id[member_id].usable_members()
        return {member.id for member in members}

    def is_converged(self, expected: set[str]) -> bool:
        """Return whether each expected member sees exactly all of them."""
        return all(
            self.usable_members_of(known) == expected for known in expected
        )

    def _apply_versions(self, member_id: str, versions: ObjectVersions) -> None:
        # A daemon would fetch the configuration first; this is immediate.
        if versions.configuration > self.versions.get(member_id, 0):
            self.set_version(member_id, versions.configuration)

    def _deliver(self) -> None:
        in_transit, self._in_transit = self._in_transit, []
        for sender, address, message in in_transit:
            receiver = self._id_by_address.get(address, '')
            if not self._is_delivered(sender, receiver):
                continue
            source = self.by_id[sender].local_member.gossip
            event = GossipReceived(message, source)
            self.execute(receiver, self.by_id[receiver].handle(event, self.now))

    def _is_delivered(self, sender: str, receiver: str) -> bool:
        if sender not in self.by_id or receiver not in self.by_id:
            return False
        if receiver in self.paused or (sender, receiver) in self.cut_links:
            return False
        return self.rng.random() >= self.loss


class MembershipTest(TestCase):
    """Joins, crashes, leaves, pauses and partitions."""

    @settings(max_examples=15)
    @given(seed=st.integers(0, 10_000), loss=st.floats(0, 0.15))
    def test_all_find_each_other_despite_loss(
        self, seed: int, loss: float
    ) -> None:
        """All members are usable again after a period of message loss."""
        network = Network(8, seed, loss)
        network.run(10)
        network.loss = 0
        network.run(10)
        self.assertTrue(network.is_converged(set(network.by_id)))

    @settings(max_examples=15)
    @given(seed=st.integers(0, 10_000))
    def test_crash_is_noticed_within_seconds(self, seed: int) -> None:
        """A crashed member is removed everywhere within 6 s."""
        network = Network(8, seed)
        network.run(5)
        network.by_id.pop('vm3/gate')
        network.run(6)
        self.assertTrue(network.is_converged(set(network.by_id)))

    def test_planned_leave_spreads_at_once(self) -> None:
        """Half of the members remove a leaving one in 0.5 s, all in 2.5 s."""
        network = Network(8, 1)
        network.run(5)
        leaving = network.by_id['vm2/gate']
        network.execute(
            'vm2/gate', leaving.handle(LeaveRequested(), network.now)
        )
        network.run(0.5)
        others = set(network.by_id) - {'vm2/gate'}
        seen = [
            name
            for name in others
            if 'vm2/gate' in network.usable_members_of(name)
        ]
        self.assertLessEqual(len(seen), len(others) // 2)
        network.run(2)
        for name in others:
            self.assertNotIn('vm2/gate', network.usable_members_of(name))

    def test_paused_member_returns_without_accusing_others(self) -> None:
        """A paused member refutes its death and suspects no other member."""
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
        self.assertTrue(network.is_converged(set(network.by_id)))

    def test_partition_heals(self) -> None:
        """Both sides of a partition agree, and merge when it heals."""
        network = Network(8, 3)
        network.run(5)
        members = sorted(network.by_id)
        partitions = (set(members[:4]), set(members[4:]))
        network.cut_links = set(product(partitions[0], partitions[1]))
        network.cut_links |= set(product(partitions[1], partitions[0]))
        network.run(10)
        for partition in partitions:
            self.assertTrue(network.is_converged(partition))
        network.cut_links.clear()
        network.run(15)
        self.assertTrue(network.is_converged(set(network.by_id)))

    def test_one_way_partition_is_tolerated(self) -> None:
        """Indirect probes reach a member that one other cannot reach."""
        network = Network(8, 4)
        network.run(5)
        network.cut_links = {('vm1/gate', 'vm2/gate')}
        network.run(20)
        self.assertTrue(network.is_converged(set(network.by_id)))

    def test_restarted_member_rejoins(self) -> None:
        """A restarted member rejoins with a higher incarnation."""
        network = Network(6, 5)
        network.run(5)
        network.by_id.pop('vm4/gate')
        network.run(6)
        network.start_member('vm4', 2)
        network.run(3)
        self.assertTrue(network.is_converged(set(network.by_id)))

    def test_version_reaches_all_within_three_seconds(self) -> None:
        """Gossip alone spreads a revision despite message loss."""
        network = Network(40, 6, loss=0.05)
        network.run(15)
        network.set_version('vm7/gate', 9)
        network.run(3)
        outdated = [
            name for name in network.by_id if network.versions.get(name) != 9
        ]
        self.assertEqual([], outdated)

    def test_joining_member_gets_no_work(self) -> None:
        """A joining member gossips, but is usable only after its join."""
        network = Network(4, 9)
        network.run(5)
        member = make_member('late')
        late_member = Membership(member, 1, Random(1))
        network.by_id[member.id] = late_member
        network.register_address(member)
        seeds = AddressesDiscovered(frozenset((make_member('vm0').gossip,)))
        network.execute(member.id, late_member.handle(seeds, network.now))
        network.run(4)
        self.assertNotIn(member.id, network.usable_members_of('vm0/gate'))
        self.assertIn(member.id, network.by_id['vm0/gate'].states())
        network.execute(
            member.id, late_member.handle(JoinFinished(), network.now)
        )
        network.run(3)
        self.assertTrue(network.is_converged(set(network.by_id)))

    def test_notices_spread(self) -> None:
        """A notice of a crashing request spreads to other members."""
        network = Network(8, 7)
        network.run(5)
        notice = QuarantineNotice('killer', 1_000_000, 300)
        event = NoticesChanged((notice,), is_urgent=True)
        membership = network.by_id['vm5/gate']
        network.execute('vm5/gate', membership.handle(event, network.now))
        network.run(0.5)
        self.assertGreaterEqual(len(network.notices), 4)

    def test_cost_does_not_grow_with_members(self) -> None:
        """The message rate of a member does not depend on the fleet size."""
        rates = []
        for size in (6, 60):
            network = Network(size, 8)
            network.run(10)
            before = network.sent
            network.run(10)
            rates.append((network.sent - before) / size / 10)
        self.assertLess(max(rates), 5)
