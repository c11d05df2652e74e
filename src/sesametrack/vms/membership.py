"""SWIM-like membership as a deterministic state machine."""

from dataclasses import dataclass
from functools import singledispatchmethod
from math import log2
from random import Random

from sesametrack.contracts.members import (
    Ack,
    GossipMessage,
    Member,
    MemberState,
    Notice,
    Probe,
    ProbeRequest,
    Update,
    Versions,
)
from sesametrack.contracts.types import Address, Instant, MemberId, Seconds
from sesametrack.vms.events import (
    AddressesDiscovered,
    GossipReceived,
    JoinFinished,
    LeaveRequested,
    MembersChanged,
    MembershipAction,
    MembershipEvent,
    NoticesChanged,
    NoticesReceived,
    PeerLinkLost,
    SendGossip,
    Ticked,
    VersionsChanged,
    VersionsReceived,
)
from sesametrack.vms.members import MemberTable

PROBE_INTERVAL: Seconds = 0.5
_PROBE_TIMEOUT: Seconds = 0.15
_MIN_SUSPICION: Seconds = 1
_SUSPICION_PER_DOUBLING: Seconds = 0.1
# One lost member or unmet address is tried again at this pace, which is
# how two sides of a healed partition find each other.
_RECONNECT_INTERVAL: Seconds = 1
_PAUSE: Seconds = 0.4
_HELPERS = 3
_FANOUT = 4
_MAX_UPDATES = 6
_MAX_JOIN_UPDATES = 12
_MAX_NOTICES = 8


@dataclass(slots=True)
class _PendingProbe:
    target: Member
    sent_at: Instant
    has_helpers: bool = False


@dataclass(frozen=True, slots=True)
class _Relay:
    requester: Address
    sequence: int
    expires: Instant


class Membership:
    """One daemon's part in the membership protocol.

    `handle` takes events and the time and returns actions; it must be
    given a Ticked about every 50 ms. The cost for each daemon is constant:
    one probe an interval, whatever the number of members.
    """

    def __init__(self, me: Member, incarnation: int, rng: Random) -> None:
        """Start alone; the incarnation must exceed that of earlier runs."""
        self.me = me
        self._incarnation = incarnation
        self._state = MemberState.joining
        self._rng = rng
        self._versions = Versions()
        self._notices: tuple[Notice, ...] = ()
        self._table = MemberTable()
        self._addresses: frozenset[Address] = frozenset()
        self._round: list[MemberId] = []
        self._sequence = 0
        self._pending: dict[int, _PendingProbe] = {}
        self._relays: dict[int, _Relay] = {}
        self._ticked_at: Instant = 0
        self._next_probe_at: Instant = 0
        # Bound once: each access to a singledispatchmethod makes a wrapper.
        self._apply_event = self._apply
        self._next_reconnect_at: Instant = 0

    def handle(
        self, event: MembershipEvent, now: Instant
    ) -> list[MembershipAction]:
        """Apply an event and return the actions that follow from it."""
        before = self._table.usable()
        actions = self._apply_event(event, now)
        after = self._table.usable()
        # The same object means that no belief has changed.
        if after is not before and after != before:
            actions.append(MembersChanged())
        return actions

    def usable_members(self) -> list[Member]:
        """Return the members that may get work, this one included."""
        members = list(self._table.usable().values())
        if self._state is MemberState.alive:
            members.append(self.me)
        return members

    @property
    def is_joining(self) -> bool:
        """Tell whether this daemon gets no work yet."""
        return self._state is MemberState.joining

    @property
    def has_peers(self) -> bool:
        """Tell whether any other member is known to be there."""
        return bool(self._table.reachable())

    def states(self) -> dict[MemberId, MemberState]:
        """Return the believed state of every known member."""
        known = {belief.member.id: belief.state for belief in self._table}
        known[self.me.id] = self._state
        return known

    @singledispatchmethod
    def _apply(
        self, event: MembershipEvent, now: Instant
    ) -> list[MembershipAction]:
        raise NotImplementedError(type(event).__name__)

    @_apply.register
    def _receive(
        self, event: GossipReceived, now: Instant
    ) -> list[MembershipAction]:
        return self._take(event.message, event.address, now)

    @_apply.register
    def _tick(self, event: Ticked, now: Instant) -> list[MembershipAction]:
        actions: list[MembershipAction] = []
        if now - self._ticked_at > _PAUSE:
            # This process stood still; late answers are its own fault.
            self._pending.clear()
        self._ticked_at = now
        actions.extend(self._check_pending(now))
        self._expire_suspects(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_INTERVAL
            actions.extend(self._probe_next(now))
        if now >= self._next_reconnect_at:
            self._next_reconnect_at = now + _RECONNECT_INTERVAL
            self._table.forget_old(now)
            actions.extend(self._reconnect(now))
        return actions

    @_apply.register
    def _learn_addresses(
        self, event: AddressesDiscovered, now: Instant
    ) -> list[MembershipAction]:
        self._addresses = event.addresses - {self.me.gossip}
        return []

    @_apply.register
    def _finish_join(
        self, event: JoinFinished, now: Instant
    ) -> list[MembershipAction]:
        if not self.is_joining:
            return []
        self._state = MemberState.alive
        return [MembersChanged(), *self._tell_some(now)]

    @_apply.register
    def _check_peer(
        self, event: PeerLinkLost, now: Instant
    ) -> list[MembershipAction]:
        member = self._table.reachable().get(event.member_id)
        return [] if member is None else [self._probe(member, now)]

    @_apply.register
    def _leave(
        self, event: LeaveRequested, now: Instant
    ) -> list[MembershipAction]:
        self._state = MemberState.leaving
        return self._tell_some(now)

    @_apply.register
    def _change_versions(
        self, event: VersionsChanged, now: Instant
    ) -> list[MembershipAction]:
        if event.versions == self._versions:
            return []
        self._versions = event.versions
        return self._tell_some(now)

    @_apply.register
    def _change_notices(
        self, event: NoticesChanged, now: Instant
    ) -> list[MembershipAction]:
        self._notices = event.notices[:_MAX_NOTICES]
        return self._tell_some(now) if event.is_urgent else []

    @singledispatchmethod
    def _take(
        self, message: GossipMessage, address: Address, now: Instant
    ) -> list[MembershipAction]:
        raise NotImplementedError(type(message).__name__)

    @_take.register
    def _take_probe(
        self, message: Probe, address: Address, now: Instant
    ) -> list[MembershipAction]:
        is_new = message.sender.id not in self._table.by_id
        actions = self._take_news(message, now)
        updates = self._next_updates(_MAX_UPDATES)
        if is_new:
            updates = self._introduce(updates)
        answer = Ack(
            self.me,
            self._incarnation,
            message.sequence,
            self._versions,
            updates,
            list(self._notices),
        )
        actions.append(SendGossip(address, answer))
        return actions

    @_take.register
    def _take_ack(
        self, message: Ack, address: Address, now: Instant
    ) -> list[MembershipAction]:
        actions = self._take_news(message, now)
        self._pending.pop(message.sequence, None)
        relay = self._relays.pop(message.sequence, None)
        if relay is not None:
            passed_on = Ack(
                message.sender,
                message.incarnation,
                relay.sequence,
                message.versions,
                message.updates[:1],
                [],
            )
            actions.append(SendGossip(relay.requester, passed_on))
        return actions

    @_take.register
    def _take_request(
        self, message: ProbeRequest, address: Address, now: Instant
    ) -> list[MembershipAction]:
        self._sequence += 1
        self._relays[self._sequence] = _Relay(
            address, message.sequence, now + PROBE_INTERVAL
        )
        probe = self._make_probe(self._sequence)
        return [SendGossip(message.target.gossip, probe)]

    def _take_news(
        self, message: Probe | Ack, now: Instant
    ) -> list[MembershipAction]:
        if message.sender.id == self.me.id:
            return []
        # The first update is the sender's own word on itself.
        for update in message.updates:
            self._take_update(update, now)
        actions: list[MembershipAction] = [
            VersionsReceived(message.sender, message.versions)
        ]
        if message.notices:
            actions.append(NoticesReceived(message.notices))
        return actions

    def _take_update(self, update: Update, now: Instant) -> None:
        if update.member.id != self.me.id:
            self._table.apply(update, now)
            return
        is_wrong = update.state in {MemberState.suspect, MemberState.dead}
        if is_wrong and update.incarnation >= self._incarnation:
            self._incarnation = update.incarnation + 1

    def _next_updates(self, most: int) -> list[Update]:
        mine = Update(self.me, self._incarnation, self._state)
        return [mine, *self._table.next_updates(most - 1)]

    def _introduce(self, updates: list[Update]) -> list[Update]:
        """Add a sample of the members for one that knows few of them."""
        known = {update.member.id for update in updates}
        others = [
            belief.as_update()
            for belief in self._table
            if belief.is_reachable and belief.member.id not in known
        ]
        room = min(len(others), _MAX_JOIN_UPDATES - len(updates))
        return updates + self._rng.sample(others, max(0, room))

    def _make_probe(self, sequence: int) -> Probe:
        return Probe(
            self.me,
            self._incarnation,
            sequence,
            self._versions,
            self._next_updates(_MAX_UPDATES),
            list(self._notices),
        )

    def _probe(self, target: Member, now: Instant) -> SendGossip:
        self._sequence += 1
        self._pending[self._sequence] = _PendingProbe(target, now)
        belief = self._table.by_id.get(target.id)
        probe = self._make_probe(self._sequence)
        if belief is not None and not belief.is_reachable:
            # It must hear what is said of it to be able to refute it.
            probe.updates.append(belief.as_update())
        return SendGossip(target.gossip, probe)

    def _probe_next(self, now: Instant) -> list[MembershipAction]:
        usable = self._table.reachable()
        while self._round:
            target = usable.get(self._round.pop())
            if target is not None:
                return [self._probe(target, now)]
        self._round = sorted(usable)
        self._rng.shuffle(self._round)
        if not self._round:
            return []
        return [self._probe(usable[self._round.pop()], now)]

    def _tell_some(self, now: Instant) -> list[MembershipAction]:
        usable = sorted(self._table.reachable().values(), key=_member_id)
        chosen = self._rng.sample(usable, min(_FANOUT, len(usable)))
        return [self._probe(target, now) for target in chosen]

    def _check_pending(self, now: Instant) -> list[MembershipAction]:
        actions: list[MembershipAction] = []
        for sequence, pending in list(self._pending.items()):
            age = now - pending.sent_at
            if age >= PROBE_INTERVAL:
                self._pending.pop(sequence)
                self._suspect(pending.target, now)
            elif age >= _PROBE_TIMEOUT and not pending.has_helpers:
                pending.has_helpers = True
                actions.extend(self._ask_helpers(sequence, pending.target))
        for sequence, relay in list(self._relays.items()):
            if now >= relay.expires:
                self._relays.pop(sequence)
        return actions

    def _ask_helpers(
        self, sequence: int, target: Member
    ) -> list[MembershipAction]:
        helpers = [
            member
            for member in self._table.reachable().values()
            if member.id != target.id
        ]
        chosen = self._rng.sample(helpers, min(_HELPERS, len(helpers)))
        request = ProbeRequest(self.me, sequence, target)
        return [SendGossip(helper.gossip, request) for helper in chosen]

    def _suspect(self, target: Member, now: Instant) -> None:
        belief = self._table.by_id.get(target.id)
        if belief is None or not belief.is_reachable:
            return
        self._table.apply(
            Update(target, belief.incarnation, MemberState.suspect), now
        )

    def _expire_suspects(self, now: Instant) -> None:
        doublings = log2(len(self._table.by_id) + 1)
        limit = _MIN_SUSPICION + _SUSPICION_PER_DOUBLING * doublings
        for belief in self._table.suspects():
            if now - belief.since >= limit:
                self._table.apply(
                    Update(belief.member, belief.incarnation, MemberState.dead),
                    now,
                )

    def _reconnect(self, now: Instant) -> list[MembershipAction]:
        lost = [
            belief.member
            for belief in self._table
            if belief.state is MemberState.dead
        ]
        actions: list[MembershipAction] = []
        if lost:
            actions.append(self._probe(self._rng.choice(lost), now))
        known = {belief.member.gossip for belief in self._table}
        unmet = sorted(self._addresses - known)
        if unmet:
            self._sequence += 1
            probe = self._make_probe(self._sequence)
            for address in self._rng.sample(unmet, min(_FANOUT, len(unmet))):
                actions.append(SendGossip(address, probe))
        return actions


def _member_id(member: Member) -> MemberId:
    return member.id
