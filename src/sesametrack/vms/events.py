"""Events and actions of the membership state machine."""

from dataclasses import dataclass

from sesametrack.contracts.members import (
    GossipMessage,
    Member,
    ObjectVersions,
    QuarantineNotice,
)
from sesametrack.contracts.types import Address, MemberId


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A gossip message arrived from an address."""

    message: GossipMessage
    address: Address


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class AddressesDiscovered:
    """Addresses of possible members, from the seeds or the VM list."""

    addresses: frozenset[Address]


@dataclass(frozen=True, slots=True)
class JoinFinished:
    """This daemon is ready to get requests."""


@dataclass(frozen=True, slots=True)
class PeerLinkLost:
    """The link to a member was lost, so the member may have failed."""

    member_id: MemberId


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """A graceful shutdown of this daemon has begun."""


@dataclass(frozen=True, slots=True)
class VersionsChanged:
    """This daemon has newer versions of platform objects."""

    versions: ObjectVersions


@dataclass(frozen=True, slots=True)
class NoticesChanged:
    """Notices of crashing requests, to be included in every message."""

    notices: tuple[QuarantineNotice, ...]
    is_urgent: bool


MembershipEvent = (
    GossipReceived
    | Ticked
    | AddressesDiscovered
    | JoinFinished
    | PeerLinkLost
    | LeaveRequested
    | VersionsChanged
    | NoticesChanged
)


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a message in one datagram."""

    address: Address
    message: GossipMessage


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The set of usable members has changed."""


@dataclass(frozen=True, slots=True)
class VersionsReceived:
    """A message contained a member's versions of platform objects."""

    member: Member
    versions: ObjectVersions


@dataclass(frozen=True, slots=True)
class NoticesReceived:
    """A message contained notices of crashing requests."""

    notices: list[QuarantineNotice]


MembershipAction = (
    SendGossip | MembersChanged | VersionsReceived | NoticesReceived
)
