"""Messages on the links between entries and gates."""

from enum import Enum

from msgspec import Struct

from sesametrack.contracts.outcomes import Reason
from sesametrack.contracts.snapshots import Holding, KeyRange, Snapshot
from sesametrack.contracts.types import (
    Address,
    Fingerprint,
    MemberId,
    Milliseconds,
    SubQueryId,
    UpstreamId,
)

# Raised when a message changes in a way that older peers cannot read.
PROTOCOL_VERSION = 1


class SubQueryKind(Enum):
    """Why a sub-query is sent."""

    primary = 'p'
    hedge = 'h'
    retry = 'r'
    canary = 'c'


class SubQueryState(Enum):
    """How far a sub-query came."""

    answered = 'a'
    not_run = 'n'
    unknown = 'u'


class Hello(Struct, frozen=True, tag='H', array_like=True):
    """Opens a link session and says where replies go."""

    protocol: int
    member: MemberId
    reply_to: Address


class Ping(Struct, frozen=True, tag='P', array_like=True):
    """Heartbeat of a link; the peer answers with a Pong."""

    sequence: int


class Pong(Struct, frozen=True, tag='Q', array_like=True):
    """Answers a Ping of the link session named."""

    session: str
    sequence: int


class SubQuery(Struct, frozen=True, tag='S', array_like=True):
    """One shard's part of a caller's query.

    `remaining_ms` is the time left to the caller's deadline, so that no
    clocks need to agree.
    """

    id: SubQueryId
    upstream: UpstreamId
    snapshot: Snapshot
    key_range: KeyRange
    body: bytes
    remaining_ms: Milliseconds
    repeatable: bool
    fingerprint: Fingerprint
    kind: SubQueryKind


class Cancel(Struct, frozen=True, tag='C', array_like=True):
    """The sender has no use for the reply any more."""

    id: SubQueryId
    upstream: UpstreamId


class UpstreamView(Struct, frozen=True, array_like=True):
    """What a gate knows of an upstream; travels on each reply."""

    upstream: UpstreamId
    accepting: bool
    expected_wait_ms: Milliseconds
    idle_slots: int
    service_ms: Milliseconds
    holdings: list[Holding] | None = None


class SubQueryReply(Struct, frozen=True, tag='R', array_like=True):
    """What became of a sub-query; times in milliseconds."""

    id: SubQueryId
    state: SubQueryState
    reason: Reason
    snapshot: Snapshot | None
    body: bytes
    queue_ms: Milliseconds
    run_ms: Milliseconds
    view: UpstreamView | None


class ViewReport(Struct, frozen=True, tag='V', array_like=True):
    """Views that changed, sent without being asked."""

    views: list[UpstreamView]


class ConnectionLossReport(Struct, frozen=True, tag='X', array_like=True):
    """A connection died while this request was in flight at an upstream."""

    upstream: UpstreamId
    fingerprint: Fingerprint
    in_flight: int


class Handover(Struct, frozen=True, tag='O', array_like=True):
    """The learned state of an upstream, from its old gate to its new one."""

    upstream: UpstreamId
    window: float
    service_ms: Milliseconds
    holdings: list[Holding]
    in_flight: int


class HandoverRequest(Struct, frozen=True, tag='G', array_like=True):
    """The new gate asks the old one to hand an upstream over."""

    upstream: UpstreamId
    member: MemberId
    reply_to: Address


PeerMessage = (
    Hello
    | Ping
    | Pong
    | SubQuery
    | Cancel
    | SubQueryReply
    | ViewReport
    | ConnectionLossReport
    | Handover
    | HandoverRequest
)


class Frame(Struct, frozen=True, array_like=True):
    """All messages that were ready for a link in one turn of the loop."""

    session: str
    messages: list[PeerMessage]
