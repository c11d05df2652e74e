"""What one daemon believes of all members."""

from collections.abc import Iterator
from dataclasses import dataclass
from heapq import nsmallest
from math import ceil, log2

from sesametrack.contracts.members import Member, MemberState, Update
from sesametrack.contracts.types import Instant, MemberId, Seconds

# How often an update is passed on: this factor times log2 of the members.
_RETRANSMIT_FACTOR = 3
_FORGET_AFTER: Seconds = 60
_RANK = {
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
class Belief:
    """The present belief about a member, since an instant."""

    member: Member
    incarnation: int
    state: MemberState
    since: Instant

    def as_update(self) -> Update:
        """Return the belief in the form that travels."""
        return Update(self.member, self.incarnation, self.state)

    @property
    def is_reachable(self) -> bool:
        """Tell whether the member takes part in gossip."""
        return self.state in _REACHABLE

    @property
    def is_usable(self) -> bool:
        """Tell whether the member may get work."""
        return self.state in _USABLE


class MemberTable:
    """Beliefs by member id, and the updates still to be passed on.

    Views of the table are kept until a belief changes, so that a tick costs
    the same at any number of members.
    """

    def __init__(self) -> None:
        """Start without members."""
        self.by_id: dict[MemberId, Belief] = {}
        self._sends_by_id: dict[MemberId, int] = {}
        self._suspects: set[MemberId] = set()
        self._usable: dict[MemberId, Member] | None = None
        self._reachable: dict[MemberId, Member] | None = None

    def __iter__(self) -> Iterator[Belief]:
        """Iterate over all beliefs."""
        return iter(self.by_id.values())

    def apply(self, update: Update, now: Instant) -> bool:
        """Take an update over if it is newer; return whether it was.

        A higher incarnation wins; within one, the graver state wins.
        """
        known = self.by_id.get(update.member.id)
        if known is not None:
            newer = (update.incarnation, _RANK[update.state])
            if newer <= (known.incarnation, _RANK[known.state]):
                return False
        elif update.state is MemberState.dead:
            return False
        self._set(Belief(update.member, update.incarnation, update.state, now))
        return True

    def forget_old(self, now: Instant) -> None:
        """Drop members that have been dead or gone for a long time."""
        for belief in list(self):
            if not belief.is_reachable and now - belief.since > _FORGET_AFTER:
                self.by_id.pop(belief.member.id)
                self._sends_by_id.pop(belief.member.id, None)

    def suspects(self) -> list[Belief]:
        """Return the beliefs about suspected members."""
        return [self.by_id[known] for known in self._suspects]

    def next_updates(self, most: int) -> list[Update]:
        """Return the updates least often sent, and count them as sent."""
        limit = _RETRANSMIT_FACTOR * ceil(log2(len(self.by_id) + 2))
        chosen = nsmallest(
            most, self._sends_by_id, key=self._sends_by_id.__getitem__
        )
        updates = []
        for member_id in chosen:
            updates.append(self.by_id[member_id].as_update())
            self._sends_by_id[member_id] += 1
            if self._sends_by_id[member_id] >= limit:
                self._sends_by_id.pop(member_id)
        return updates

    def reachable(self) -> dict[MemberId, Member]:
        """Return the members to gossip with."""
        if self._reachable is None:
            self._reachable = {
                belief.member.id: belief.member
                for belief in self
                if belief.is_reachable
            }
        return self._reachable

    def usable(self) -> dict[MemberId, Member]:
        """Return the members that may get work."""
        if self._usable is None:
            self._usable = {
                belief.member.id: belief.member
                for belief in self
                if belief.is_usable
            }
        return self._usable

    def _set(self, belief: Belief) -> None:
        member_id = belief.member.id
        self.by_id[member_id] = belief
        self._sends_by_id[member_id] = 0
        self._suspects.discard(member_id)
        if belief.state is MemberState.suspect:
            self._suspects.add(member_id)
        self._usable = None
        self._reachable = None
