"""Members of the gossip cluster and the messages between them."""

from enum import Enum

from msgspec import Struct

from sesametrack.contracts.types import (
    Address,
    FailureDomainId,
    MemberId,
    Revision,
    VmId,
)


class Role(Enum):
    """Type of a daemon."""

    entry = 'entry'
    gate = 'gate'


class MemberState(Enum):
    """State of a member as seen by the other members.

    A joining member takes part in gossip but is assigned no work yet, since
    its member list is not complete enough to compute what it owns.
    """

    joining = 'joining'
    alive = 'alive'
    suspect = 'suspect'
    leaving = 'leaving'
    dead = 'dead'


class Member(Struct, frozen=True, array_like=True):
    """Identity and addresses of a daemon."""

    id: MemberId
    vm: VmId
    failure_domain: FailureDomainId
    role: Role
    gossip: Address
    peer: Address
    admin: Address


class MemberUpdate(Struct, frozen=True, array_like=True):
    """State of a member, ordered by incarnation, then by state precedence."""

    member: Member
    incarnation: int
    state: MemberState


class ObjectVersions(Struct, frozen=True, array_like=True):
    """Versions of the platform objects that a daemon holds.

    `configuration` is the active revision, `leaving` the version of the
    list of leaving upstreams in the daemon's own failure domain.
    """

    configuration: Revision = 0
    leaving: int = 0


class Probe(Struct, frozen=True, tag='p', array_like=True):
    """Requests an Ack with the same sequence number."""

    sender: Member
    incarnation: int
    sequence: int
    versions: ObjectVersions
    updates: list[MemberUpdate]
    notices: list['QuarantineNotice'] = []


class Ack(Struct, frozen=True, tag='a', array_like=True):
    """Reply to a Probe, or to a ProbeRequest on behalf of its target."""

    sender: Member
    incarnation: int
    sequence: int
    versions: ObjectVersions
    updates: list[MemberUpdate]
    notices: list['QuarantineNotice'] = []


class ProbeRequest(Struct, frozen=True, tag='r', array_like=True):
    """Requests an indirect probe of a target on the sender's behalf."""

    sender: Member
    sequence: int
    target: Member


class QuarantineNotice(Struct, frozen=True, array_like=True):
    """A quarantined or suspected request fingerprint, with its expiry.

    `remaining_s` is the time to expiry in seconds; a relative time needs no
    synchronized clocks.
    """

    fingerprint: str
    deaths: int
    remaining_s: int


GossipMessage = Probe | Ack | ProbeRequest
