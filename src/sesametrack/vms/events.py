"""Typed events and actions of the membership."""

from dataclasses import dataclass

from sesametrack.contracts.members import (
    GossipMessage,
    Member,
    Notice,
    Versions,
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
    """Addresses at which members may be found: seeds or the VM list."""

    addresses: frozenset[Address]


@dataclass(frozen=True, slots=True)
class JoinFinished:
    """This daemon knows enough to get work."""


@dataclass(frozen=True, slots=True)
class PeerLinkLost:
    """A link to a member was lost, which hints that the member is gone."""

    member_id: MemberId


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """This daemon stops on purpose."""


@dataclass(frozen=True, slots=True)
class VersionsChanged:
    """This daemon has newer versions of platform objects to tell of."""

    versions: Versions


@dataclass(frozen=True, slots=True)
class NoticesChanged:
    """Notices on crashing requests that every message carries on."""

    notices: tuple[Notice, ...]
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
    """The set of usable members is another one now."""


@dataclass(frozen=True, slots=True)
class VersionsReceived:
    """A member told of the versions that it has."""

    member: Member
    versions: Versions


@dataclass(frozen=True, slots=True)
class NoticesReceived:
    """A member told of crashing requests."""

    notices: list[Notice]


MembershipAction = (
    SendGossip | MembersChanged | VersionsReceived | NoticesReceived
)
