"""Messages on the links between entry and gate daemons."""

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

# Increased when older peers cannot decode a changed message.
PROTOCOL_VERSION = 1


class SubQueryKind(Enum):
    """Reason for which a sub-query is sent."""

    primary = 'p'
    hedge = 'h'
    retry = 'r'
    canary = 'c'


class SubQueryState(Enum):
    """Outcome of a sub-query."""

    answered = 'a'
    not_run = 'n'
    unknown = 'u'


class Hello(Struct, frozen=True, tag='H', array_like=True):
    """Opens a link session and names the address for replies."""

    protocol: int
    member: MemberId
    reply_to: Address


class Ping(Struct, frozen=True, tag='P', array_like=True):
    """Heartbeat of a link; the peer replies with a Pong."""

    sequence: int


class Pong(Struct, frozen=True, tag='Q', array_like=True):
    """Reply to a Ping in the given link session."""

    session: str
    sequence: int


class SubQuery(Struct, frozen=True, tag='S', array_like=True):
    """A caller's query for one key range.

    `remaining_ms` is the time left until the caller's deadline; a relative
    time needs no synchronized clocks.
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
    """Cancels a sub-query whose reply is no longer needed."""

    id: SubQueryId
    upstream: UpstreamId


class UpstreamView(Struct, frozen=True, array_like=True):
    """State of an upstream as seen by its gate; sent with each reply."""

    upstream: UpstreamId
    accepting: bool
    expected_wait_ms: Milliseconds
    idle_slots: int
    service_ms: Milliseconds
    holdings: list[Holding] | None = None


class SubQueryReply(Struct, frozen=True, tag='R', array_like=True):
    """Result of a sub-query; times in milliseconds."""

    id: SubQueryId
    state: SubQueryState
    reason: Reason
    snapshot: Snapshot | None
    body: bytes
    queue_ms: Milliseconds
    run_ms: Milliseconds
    view: UpstreamView | None


class ViewReport(Struct, frozen=True, tag='V', array_like=True):
    """Changed upstream views, sent without a request."""

    views: list[UpstreamView]


class ConnectionLossReport(Struct, frozen=True, tag='X', array_like=True):
    """Reports a connection lost while a request was in flight on it.

    `in_flight` is the number of requests that the upstream had in flight.
    """

    upstream: UpstreamId
    fingerprint: Fingerprint
    in_flight: int


class Handover(Struct, frozen=True, tag='O', array_like=True):
    """Measured state of an upstream, sent by its old gate to the new one."""

    upstream: UpstreamId
    window: float
    service_ms: Milliseconds
    holdings: list[Holding]
    in_flight: int


class HandoverRequest(Struct, frozen=True, tag='G', array_like=True):
    """Requests a Handover of an upstream from its old gate."""

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
    """Messages queued for a link in one iteration of the event loop."""

    session: str
    messages: list[PeerMessage]
