"""SWIM-style membership protocol as a deterministic state machine."""

from dataclasses import dataclass
from functools import singledispatchmethod
from math import log2
from random import Random

from sesametrack.contracts.members import (
    Ack,
    GossipMessage,
    Member,
    MemberState,
    MemberUpdate,
    ObjectVersions,
    Probe,
    ProbeRequest,
    QuarantineNotice,
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
_MIN_SUSPICION_TIME: Seconds = 1
_SUSPICION_TIME_PER_DOUBLING: Seconds = 0.1
# Interval of probes to one dead member and some addresses without a known
# member, so that the sides of a healed partition find each other again.
_RECONNECT_INTERVAL: Seconds = 1
# A longer gap between ticks means that this process was paused.
_MAX_TICK_GAP: Seconds = 0.4
_INDIRECT_PROBE_COUNT = 3
_GOSSIP_FANOUT = 4
_MAX_UPDATES = 6
_MAX_JOIN_UPDATES = 12
_MAX_NOTICES = 8


@dataclass(slots=True)
class _PendingProbe:
    target: Member
    sent_at: Instant
    has_indirect_probes: bool = False


@dataclass(frozen=True, slots=True)
class _IndirectProbe:
    requester: Address
    sequence: int
    expires_at: Instant


class Membership:
    """Membership protocol of one daemon.

    `handle` takes an event and the time and returns actions; it needs a
    Ticked event about every 50 ms. A daemon sends one probe per interval,
    whatever the number of members.
    """

    def __init__(
        self, local_member: Member, incarnation: int, rng: Random
    ) -> None:
        """Start without peers, with an incarnation above all earlier ones."""
        self.local_member = local_member
        self._incarnation = incarnation
        self._state = MemberState.joining
        self._rng = rng
        self._versions = ObjectVersions()
        self._notices: tuple[QuarantineNotice, ...] = ()
        self._table = MemberTable()
        self._addresses: frozenset[Address] = frozenset()
        self._probe_order: list[MemberId] = []
        self._sequence = 0
        self._pending_probes: dict[int, _PendingProbe] = {}
        self._indirect_probes: dict[int, _IndirectProbe] = {}
        self._last_tick_at: Instant = 0
        self._next_probe_at: Instant = 0
        # Each access to a singledispatchmethod creates a new wrapper.
        self._apply_event = self._apply
        self._next_reconnect_at: Instant = 0

    def handle(
        self, event: MembershipEvent, now: Instant
    ) -> list[MembershipAction]:
        """Apply an event and return the resulting actions."""
        before = self._table.usable()
        actions = self._apply_event(event, now)
        after = self._table.usable()
        # The table returns the same object until a member changes.
        if after is not before and after != before:
            actions.append(MembersChanged())
        return actions

    def usable_members(self) -> list[Member]:
        """Return the members that may get requests, including this one."""
        members = list(self._table.usable().values())
        if self._state is MemberState.alive:
            members.append(self.local_member)
        return members

    @property
    def is_joining(self) -> bool:
        """Return whether this daemon has not joined yet."""
        return self._state is MemberState.joining

    @property
    def has_peers(self) -> bool:
        """Return whether any other member is reachable."""
        return bool(self._table.reachable())

    def states(self) -> dict[MemberId, MemberState]:
        """Return the state of every known member, including this one."""
        known = {record.member.id: record.state for record in self._table}
        known[self.local_member.id] = self._state
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
        return self._handle_message(event.message, event.address, now)

    @_apply.register
    def _tick(self, event: Ticked, now: Instant) -> list[MembershipAction]:
        actions: list[MembershipAction] = []
        if now - self._last_tick_at > _MAX_TICK_GAP:
            # Acks may be late because this process was paused.
            self._pending_probes.clear()
        self._last_tick_at = now
        actions.extend(self._check_pending_probes(now))
        self._expire_suspects(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_INTERVAL
            actions.extend(self._probe_next(now))
        if now >= self._next_reconnect_at:
            self._next_reconnect_at = now + _RECONNECT_INTERVAL
            self._table.remove_expired(now)
            actions.extend(self._reconnect(now))
        return actions

    @_apply.register
    def _set_addresses(
        self, event: AddressesDiscovered, now: Instant
    ) -> list[MembershipAction]:
        self._addresses = event.addresses - {self.local_member.gossip}
        return []

    @_apply.register
    def _finish_join(
        self, event: JoinFinished, now: Instant
    ) -> list[MembershipAction]:
        if not self.is_joining:
            return []
        self._state = MemberState.alive
        return [MembersChanged(), *self._probe_sample(now)]

    @_apply.register
    def _probe_peer(
        self, event: PeerLinkLost, now: Instant
    ) -> list[MembershipAction]:
        member = self._table.reachable().get(event.member_id)
        return [] if member is None else [self._probe(member, now)]

    @_apply.register
    def _leave(
        self, event: LeaveRequested, now: Instant
    ) -> list[MembershipAction]:
        self._state = MemberState.leaving
        return self._probe_sample(now)

    @_apply.register
    def _set_versions(
        self, event: VersionsChanged, now: Instant
    ) -> list[MembershipAction]:
        if event.versions == self._versions:
            return []
        self._versions = event.versions
        return self._probe_sample(now)

    @_apply.register
    def _set_notices(
        self, event: NoticesChanged, now: Instant
    ) -> list[MembershipAction]:
        self._notices = event.notices[:_MAX_NOTICES]
        return self._probe_sample(now) if event.is_urgent else []

    @singledispatchmethod
    def _handle_message(
        self, message: GossipMessage, address: Address, now: Instant
    ) -> list[MembershipAction]:
        raise NotImplementedError(type(message).__name__)

    @_handle_message.register
    def _handle_probe(
        self, message: Probe, address: Address, now: Instant
    ) -> list[MembershipAction]:
        is_new = message.sender.id not in self._table.by_id
        actions = self._apply_gossip(message, now)
        updates = self._next_updates(_MAX_UPDATES)
        if is_new:
            updates = self._add_member_sample(updates)
        ack = Ack(
            self.local_member,
            self._incarnation,
            message.sequence,
            self._versions,
            updates,
            list(self._notices),
        )
        actions.append(SendGossip(address, ack))
        return actions

    @_handle_message.register
    def _handle_ack(
        self, message: Ack, address: Address, now: Instant
    ) -> list[MembershipAction]:
        actions = self._apply_gossip(message, now)
        self._pending_probes.pop(message.sequence, None)
        indirect_probe = self._indirect_probes.pop(message.sequence, None)
        if indirect_probe is not None:
            relayed_ack = Ack(
                message.sender,
                message.incarnation,
                indirect_probe.sequence,
                message.versions,
                message.updates[:1],
                [],
            )
            actions.append(SendGossip(indirect_probe.requester, relayed_ack))
        return actions

    @_handle_message.register
    def _handle_probe_request(
        self, message: ProbeRequest, address: Address, now: Instant
    ) -> list[MembershipAction]:
        self._sequence += 1
        self._indirect_probes[self._sequence] = _IndirectProbe(
            address, message.sequence, now + PROBE_INTERVAL
        )
        probe = self._make_probe(self._sequence)
        return [SendGossip(message.target.gossip, probe)]

    def _apply_gossip(
        self, message: Probe | Ack, now: Instant
    ) -> list[MembershipAction]:
        if message.sender.id == self.local_member.id:
            return []
        # The first update is the sender's own state.
        for update in message.updates:
            self._apply_update(update, now)
        actions: list[MembershipAction] = [
            VersionsReceived(message.sender, message.versions)
        ]
        if message.notices:
            actions.append(NoticesReceived(message.notices))
        return actions

    def _apply_update(self, update: MemberUpdate, now: Instant) -> None:
        if update.member.id != self.local_member.id:
            self._table.apply(update, now)
            return
        is_refutable = update.state in {MemberState.suspect, MemberState.dead}
        if is_refutable and update.incarnation >= self._incarnation:
            self._incarnation = update.incarnation + 1

    def _next_updates(self, max_count: int) -> list[MemberUpdate]:
        local_update = MemberUpdate(
            self.local_member, self._incarnation, self._state
        )
        return [local_update, *self._table.next_updates(max_count - 1)]

    def _add_member_sample(
        self, updates: list[MemberUpdate]
    ) -> list[MemberUpdate]:
        """Add a sample of the reachable members for a new member."""
        known = {update.member.id for update in updates}
        others = [
            record.as_update()
            for record in self._table
            if record.is_reachable and record.member.id not in known
        ]
        sample_size = min(len(others), _MAX_JOIN_UPDATES - len(updates))
        return updates + self._rng.sample(others, max(0, sample_size))

    def _make_probe(self, sequence: int) -> Probe:
        return Probe(
            self.local_member,
            self._incarnation,
            sequence,
            self._versions,
            self._next_updates(_MAX_UPDATES),
            list(self._notices),
        )

    def _probe(self, target: Member, now: Instant) -> SendGossip:
        self._sequence += 1
        self._pending_probes[self._sequence] = _PendingProbe(target, now)
        record = self._table.by_id.get(target.id)
        probe = self._make_probe(self._sequence)
        if record is not None and not record.is_reachable:
            # The target can only refute its state if it receives the update.
            probe.updates.append(record.as_update())
        return SendGossip(target.gossip, probe)

    def _probe_next(self, now: Instant) -> list[MembershipAction]:
        reachable = self._table.reachable()
        while self._probe_order:
            target = reachable.get(self._probe_order.pop())
            if target is not None:
                return [self._probe(target, now)]
        self._probe_order = sorted(reachable)
        self._rng.shuffle(self._probe_order)
        if not self._probe_order:
            return []
        return [self._probe(reachable[self._probe_order.pop()], now)]

    def _probe_sample(self, now: Instant) -> list[MembershipAction]:
        reachable = sorted(self._table.reachable().values(), key=_member_id)
        chosen = self._rng.sample(
            reachable, min(_GOSSIP_FANOUT, len(reachable))
        )
        return [self._probe(target, now) for target in chosen]

    def _check_pending_probes(self, now: Instant) -> list[MembershipAction]:
        actions: list[MembershipAction] = []
        for sequence, pending in list(self._pending_probes.items()):
            elapsed = now - pending.sent_at
            if elapsed >= PROBE_INTERVAL:
                self._pending_probes.pop(sequence)
                self._suspect(pending.target, now)
            elif elapsed >= _PROBE_TIMEOUT and not pending.has_indirect_probes:
                pending.has_indirect_probes = True
                actions.extend(
                    self._request_indirect_probes(sequence, pending.target)
                )
        for sequence, indirect_probe in list(self._indirect_probes.items()):
            if now >= indirect_probe.expires_at:
                self._indirect_probes.pop(sequence)
        return actions

    def _request_indirect_probes(
        self, sequence: int, target: Member
    ) -> list[MembershipAction]:
        proxies = [
            member
            for member in self._table.reachable().values()
            if member.id != target.id
        ]
        chosen = self._rng.sample(
            proxies, min(_INDIRECT_PROBE_COUNT, len(proxies))
        )
        request = ProbeRequest(self.local_member, sequence, target)
        return [SendGossip(proxy.gossip, request) for proxy in chosen]

    def _suspect(self, target: Member, now: Instant) -> None:
        record = self._table.by_id.get(target.id)
        if record is None or not record.is_reachable:
            return
        self._table.apply(
            MemberUpdate(target, record.incarnation, MemberState.suspect), now
        )

    def _expire_suspects(self, now: Instant) -> None:
        doublings = log2(len(self._table.by_id) + 1)
        timeout = _MIN_SUSPICION_TIME + _SUSPICION_TIME_PER_DOUBLING * doublings
        for record in self._table.suspects():
            if now - record.changed_at >= timeout:
                self._table.apply(
                    MemberUpdate(
                        record.member, record.incarnation, MemberState.dead
                    ),
                    now,
                )

    def _reconnect(self, now: Instant) -> list[MembershipAction]:
        dead_members = [
            record.member
            for record in self._table
            if record.state is MemberState.dead
        ]
        actions: list[MembershipAction] = []
        if dead_members:
            actions.append(self._probe(self._rng.choice(dead_members), now))
        known = {record.member.gossip for record in self._table}
        unknown = sorted(self._addresses - known)
        if unknown:
            self._sequence += 1
            probe = self._make_probe(self._sequence)
            for address in self._rng.sample(
                unknown, min(_GOSSIP_FANOUT, len(unknown))
            ):
                actions.append(SendGossip(address, probe))
        return actions


def _member_id(member: Member) -> MemberId:
    return member.id
