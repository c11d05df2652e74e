"""Table of all members and their states, as one daemon sees them."""

from collections.abc import Iterator
from dataclasses import dataclass
from heapq import nsmallest
from math import ceil, log2

from sesametrack.contracts.members import Member, MemberState, MemberUpdate
from sesametrack.contracts.types import Instant, MemberId, Seconds

# An update is sent this factor times log2 of the number of members.
_RETRANSMIT_FACTOR = 3
_RETENTION_TIME: Seconds = 60
_STATE_PRECEDENCE = {
    MemberState.joining: 0,
    MemberState.alive: 1,
    MemberState.suspect: 2,
    MemberState.leaving: 3,
    MemberState.dead: 4,
}
_REACHABLE = frozenset(
    (MemberState.joining, MemberState.alive, MemberState.suspect)
)
_USABLE = frozenset((MemberState.alive, MemberState.suspect))


@dataclass(slots=True)
class MemberRecord:
    """State of a member, and the time of its last change."""

    member: Member
    incarnation: int
    state: MemberState
    changed_at: Instant

    def as_update(self) -> MemberUpdate:
        """Return the record as an update for gossip messages."""
        return MemberUpdate(self.member, self.incarnation, self.state)

    @property
    def is_reachable(self) -> bool:
        """Return whether the member takes part in gossip."""
        return self.state in _REACHABLE

    @property
    def is_usable(self) -> bool:
        """Return whether the member may get requests."""
        return self.state in _USABLE


class MemberTable:
    """Records by member id, and the updates to be sent with gossip.

    The sets of usable and reachable members are cached until a record
    changes, so that the cost of a tick does not grow with their number.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self.by_id: dict[MemberId, MemberRecord] = {}
        self._sends_by_id: dict[MemberId, int] = {}
        self._suspects: set[MemberId] = set()
        self._usable: dict[MemberId, Member] | None = None
        self._reachable: dict[MemberId, Member] | None = None

    def __iter__(self) -> Iterator[MemberRecord]:
        """Iterate over all records."""
        return iter(self.by_id.values())

    def apply(self, update: MemberUpdate, now: Instant) -> bool:
        """Apply an update if it is newer; return whether it was applied.

        A higher incarnation takes precedence; within one incarnation, the
        state with the higher precedence does.
        """
        current = self.by_id.get(update.member.id)
        if current is not None:
            version = (update.incarnation, _STATE_PRECEDENCE[update.state])
            if version <= (
                current.incarnation,
                _STATE_PRECEDENCE[current.state],
            ):
                return False
        elif update.state is MemberState.dead:
            return False
        self._put(
            MemberRecord(update.member, update.incarnation, update.state, now)
        )
        return True

    def remove_expired(self, now: Instant) -> None:
        """Remove members that were dead or leaving for the retention time."""
        for record in list(self):
            if (
                not record.is_reachable
                and now - record.changed_at > _RETENTION_TIME
            ):
                self.by_id.pop(record.member.id)
                self._sends_by_id.pop(record.member.id, None)

    def suspects(self) -> list[MemberRecord]:
        """Return the records of suspected members."""
        return [self.by_id[member_id] for member_id in self._suspects]

    def next_updates(self, max_count: int) -> list[MemberUpdate]:
        """Return the least often sent updates, and count them as sent."""
        limit = _RETRANSMIT_FACTOR * ceil(log2(len(self.by_id) + 2))
        selected = nsmallest(
            max_count, self._sends_by_id, key=self._sends_by_id.__getitem__
        )
        updates = []
        for member_id in selected:
            updates.append(self.by_id[member_id].as_update())
            self._sends_by_id[member_id] += 1
            if self._sends_by_id[member_id] >= limit:
                self._sends_by_id.pop(member_id)
        return updates

    def reachable(self) -> dict[MemberId, Member]:
        """Return the members that take part in gossip, by id."""
        if self._reachable is None:
            self._reachable = {
                record.member.id: record.member
                for record in self
                if record.is_reachable
            }
        return self._reachable

    def usable(self) -> dict[MemberId, Member]:
        """Return the members that may get requests, by id."""
        if self._usable is None:
            self._usable = {
                record.member.id: record.member
                for record in self
                if record.is_usable
            }
        return self._usable

    def _put(self, record: MemberRecord) -> None:
        member_id = record.member.id
        self.by_id[member_id] = record
        self._sends_by_id[member_id] = 0
        self._suspects.discard(member_id)
        if record.state is MemberState.suspect:
            self._suspects.add(member_id)
        self._usable = None
        self._reachable = None
