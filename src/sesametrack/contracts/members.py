"""Members: the daemons that know each other through gossip."""

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
    """The kind of a daemon."""

    entry = 'entry'
    gate = 'gate'


class MemberState(Enum):
    """What the membership believes of a member.

    A joining member takes part in gossip but gets no work yet: it does not
    know the others well enough to know what it owns.
    """

    joining = 'joining'
    alive = 'alive'
    suspect = 'suspect'
    leaving = 'leaving'
    dead = 'dead'


class Member(Struct, frozen=True, array_like=True):
    """Identity and addresses of one daemon."""

    id: MemberId
    vm: VmId
    failure_domain: FailureDomainId
    role: Role
    gossip: Address
    peer: Address
    admin: Address


class MemberUpdate(Struct, frozen=True, array_like=True):
    """A claim about a member, ordered by incarnation, then by state."""

    member: Member
    incarnation: int
    state: MemberState


class ObjectVersions(Struct, frozen=True, array_like=True):
    """What a daemon has of the platform's objects.

    `configuration` is the revision in force, `leaving` the version of the
    list of leaving upstreams in the daemon's own failure domain.
    """

    configuration: Revision = 0
    leaving: int = 0


class Probe(Struct, frozen=True, tag='p', array_like=True):
    """Asks the receiver for an Ack with the same sequence number."""

    sender: Member
    incarnation: int
    sequence: int
    versions: ObjectVersions
    updates: list[MemberUpdate]
    notices: list['QuarantineNotice'] = []


class Ack(Struct, frozen=True, tag='a', array_like=True):
    """Answers a Probe, or a ProbeRequest on behalf of its target."""

    sender: Member
    incarnation: int
    sequence: int
    versions: ObjectVersions
    updates: list[MemberUpdate]
    notices: list['QuarantineNotice'] = []


class ProbeRequest(Struct, frozen=True, tag='r', array_like=True):
    """Asks the receiver to probe a target on the sender's behalf."""

    sender: Member
    sequence: int
    target: Member


class QuarantineNotice(Struct, frozen=True, array_like=True):
    """A convicted or suspected request fingerprint, with its expiry.

    `remaining_s` is the time in seconds for which the notice still holds,
    so that no clocks need to agree.
    """

    fingerprint: str
    deaths: int
    remaining_s: int


GossipMessage = Probe | Ack | ProbeRequest
