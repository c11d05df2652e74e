"""Actions that the policy of one upstream returns for its gate to run."""

from dataclasses import dataclass

from sesametrack.contracts.messages import SubQuery, SubQueryReply
from sesametrack.contracts.types import (
    Fingerprint,
    Instant,
    MemberId,
    SubQueryId,
    UpstreamId,
)


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection and register it under this number."""

    connection: int


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a connection; discard any response that may still arrive."""

    connection: int


@dataclass(frozen=True, slots=True)
class ProbeConnection:
    """Send an inexpensive request on an idle connection to check it."""

    connection: int


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Send a sub-query on a connection."""

    connection: int
    sub_query: SubQuery
    deadline: Instant


@dataclass(frozen=True, slots=True)
class SendCancel:
    """Ask the upstream to stop a running request."""

    id: SubQueryId


@dataclass(frozen=True, slots=True)
class SendReply:
    """Send a reply to the entry that sent the sub-query."""

    receiver: MemberId
    reply: SubQueryReply


@dataclass(frozen=True, slots=True)
class BroadcastConnectionLoss:
    """Report to all members that a request may have crashed the upstream."""

    upstream: UpstreamId
    fingerprint: Fingerprint
    in_flight: int


@dataclass(frozen=True, slots=True)
class PublishView:
    """Send the upstream's changed view to all entries."""


UpstreamAction = (
    OpenConnection
    | CloseConnection
    | ProbeConnection
    | SendRequest
    | SendCancel
    | SendReply
    | BroadcastConnectionLoss
    | PublishView
)
