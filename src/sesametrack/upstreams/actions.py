"""Typed actions that the policy of one upstream asks its gate to take."""

from dataclasses import dataclass

from sesametrack.contracts.messages import SubQuery, SubReply
from sesametrack.contracts.types import (
    Fingerprint,
    Instant,
    MemberId,
    SubQueryId,
    UpstreamId,
)


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection under this number."""

    connection: int


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a connection; nothing useful will arrive on it."""

    connection: int


@dataclass(frozen=True, slots=True)
class ProbeConnection:
    """Ask a cheap question on an idle connection."""

    connection: int


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Write a sub-query to a connection."""

    connection: int
    sub_query: SubQuery
    deadline: Instant


@dataclass(frozen=True, slots=True)
class SendCancel:
    """Ask the upstream to stop a running request."""

    id: SubQueryId


@dataclass(frozen=True, slots=True)
class SendReply:
    """Pass a reply to the entry that offered the sub-query."""

    receiver: MemberId
    reply: SubReply


@dataclass(frozen=True, slots=True)
class BroadcastSuspicion:
    """Tell all members that a request may have crashed the upstream."""

    upstream: UpstreamId
    fingerprint: Fingerprint
    in_flight: int


@dataclass(frozen=True, slots=True)
class PublishView:
    """Tell all entries that the upstream's view changed."""


UpstreamAction = (
    OpenConnection
    | CloseConnection
    | ProbeConnection
    | SendRequest
    | SendCancel
    | SendReply
    | BroadcastSuspicion
    | PublishView
)
