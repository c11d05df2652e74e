"""Events that the policy of one upstream handles."""

from dataclasses import dataclass, field
from enum import Enum

from sesametrack.contracts.messages import Handover, SubQuery
from sesametrack.contracts.snapshots import Holding, Snapshot
from sesametrack.contracts.types import Instant, MemberId, SubQueryId


class ResponseKind(Enum):
    """Outcome of a sub-query according to the upstream's HTTP response."""

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
    """An entry sent a sub-query; `deadline` is on the gate's clock."""

    sender: MemberId
    sub_query: SubQuery
    deadline: Instant


@dataclass(frozen=True, slots=True)
class SubQueryCancelled:
    """An entry no longer needs the reply to a sub-query."""

    id: SubQueryId


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection is ready for requests."""

    connection: int


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """A connection could not be opened, was closed, or failed."""

    connection: int


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A response to a probe on an idle connection arrived."""

    connection: int


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """A response arrived; the connection is reusable by default."""

    connection: int
    response: Response
    is_reusable: bool = True


@dataclass(frozen=True, slots=True)
class LoadReported:
    """The upstream reported its load; reports may be late or wrong."""

    in_flight: int
    is_draining: bool
    is_cold: bool
    holdings: list[Holding] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class LeavingReported:
    """The platform reported whether the upstream is leaving."""

    is_leaving: bool


@dataclass(frozen=True, slots=True)
class HandoverReceived:
    """The previous gate sent its measurements of the upstream."""

    handover: Handover


@dataclass(frozen=True, slots=True)
class FailureDomainChanged:
    """The upstream's failure domain was taken out or brought back."""

    is_out: bool


@dataclass(frozen=True, slots=True)
class GateStopping:
    """The gate is stopping: queued work is refused, running work completes."""


@dataclass(frozen=True, slots=True)
class Ticked:
    """A periodic tick, on which timeouts and refills are checked."""


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
