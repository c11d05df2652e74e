"""Typed events that drive the policy of one upstream."""

from dataclasses import dataclass, field
from enum import Enum

from sesametrack.contracts.messages import Handover, SubQuery
from sesametrack.contracts.snapshots import Holding, Snapshot
from sesametrack.contracts.types import Instant, MemberId, SubQueryId


class ResponseKind(Enum):
    """What an upstream's HTTP response means."""

    answered = 'answered'
    shed = 'shed'
    draining = 'draining'
    snapshot_gone = 'snapshot_gone'
    cancelled = 'cancelled'
    failed = 'failed'


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response of an upstream to one sub-query."""

    kind: ResponseKind
    body: bytes
    snapshot: Snapshot | None = None
    is_draining: bool = False


@dataclass(frozen=True, slots=True)
class SubQueryReceived:
    """An entry offers a sub-query; `deadline` is on the gate's clock."""

    sender: MemberId
    sub_query: SubQuery
    deadline: Instant


@dataclass(frozen=True, slots=True)
class SubQueryCancelled:
    """An entry has no use for the reply any more."""

    id: SubQueryId


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection is ready for requests."""

    connection: int


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """A connection could not be opened, was closed, or died."""

    connection: int


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A probe on an idle connection got its response."""

    connection: int


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """A response arrived; the connection is reusable unless told."""

    connection: int
    response: Response
    is_reusable: bool = True


@dataclass(frozen=True, slots=True)
class LoadReported:
    """The upstream's own load report; it may lag or mislead."""

    in_flight: int
    is_draining: bool
    is_cold: bool
    holdings: list[Holding] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class LeavingReported:
    """The platform says whether the upstream is leaving."""

    is_leaving: bool


@dataclass(frozen=True, slots=True)
class HandoverReceived:
    """The former gate passed on what it had learned."""

    handover: Handover


@dataclass(frozen=True, slots=True)
class FailureDomainChanged:
    """The upstream's failure domain was taken out or brought back."""

    is_out: bool


@dataclass(frozen=True, slots=True)
class GateStopping:
    """This gate stops: queued work is refused, running work ends."""


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed."""


UpstreamEvent = (
    SubQueryReceived
    | SubQueryCancelled
    | ConnectionOpened
    | ConnectionEnded
    | ProbeAnswered
    | ResponseReceived
    | LoadReported
    | LeavingReported
    | HandoverReceived
    | FailureDomainChanged
    | GateStopping
    | Ticked
)
