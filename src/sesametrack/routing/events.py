"""Inputs of exchanges, and the actions that they return."""

from dataclasses import dataclass, field
from enum import Enum

from sesametrack.contracts.types import (
    Instant,
    Seconds,
    ServiceId,
    UpstreamId,
    WorkspaceId,
)
from sesametrack.routing.directory import Upstream
from sesametrack.routing.load_reports import LoadReport
from sesametrack.routing.rate_limits import StatedRate

Headers = list[tuple[bytes, bytes]]


class ReplyKind(Enum):
    """Result that a complete upstream reply states."""

    succeeded = 'succeeded'
    # The upstream ran the request and failed.
    failed = 'failed'
    # The upstream states that it did not run the request.
    rejected = 'rejected'
    # Another upstream now has this address and did not run the request.
    misdirected = 'misdirected'


class FailureKind(Enum):
    """Reason for which a send ended without a reply."""

    # No byte of the request was written to a socket.
    not_sent = 'not-sent'
    # The same, since the upstream wants no further request.
    withdrawn = 'withdrawn'
    # The request may have run.
    broken = 'broken'
    # The same, and it was the upstream's side that closed the connection.
    closed = 'closed'


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete caller request.

    `id` identifies one attempt of the client. `caller_timeout` is how long
    the caller waits from `arrived_at` on, None if it is unknown. `headers`
    are those to forward. `network_time` is what the network adds to the time
    from `arrived_at` to the answer, None if it is unknown. `workspace` is empty
    if the caller has none.
    """

    id: str
    method: str
    path: str
    host: str
    headers: Headers
    body: bytes
    arrived_at: Instant
    caller_timeout: Seconds | None
    network_time: Seconds | None = None
    workspace: WorkspaceId = ''


@dataclass(frozen=True, slots=True)
class UpstreamReply:
    """A complete reply that matches the request.

    `digest` is the upstream's signature of the reply, `load` its load if it
    reported it.
    """

    kind: ReplyKind
    status: int
    headers: Headers
    body: bytes
    digest: bytes = b''
    load: LoadReport | None = None
    # Set in the reply of an aggregator.
    merged: 'MergedAnswer | None' = None
    # None if the reply says nothing about a limit of the upstream.
    stated_rate: StatedRate | None = None
    # Whether it names the request. Otherwise it may answer another one.
    is_identified: bool = True
    # Whether the upstream says that it is leaving.
    is_leaving: bool = False
    # For how long the upstream wants no further request of this VM.
    pause: Seconds = 0


@dataclass(slots=True)
class AttemptLimit:
    """Number of upstreams that each shard's request may be sent to.

    `granted` holds now. It may grow up to `maximum` while the request runs.
    """

    granted: int
    maximum: int

    @property
    def may_grow(self) -> bool:
        """Return whether more attempts may still be granted."""
        return self.granted < self.maximum


@dataclass(frozen=True, slots=True)
class Subgather:
    """The part of a gather that is delegated to an aggregator.

    `may_have_run` is set if some of the shards may have run the request
    already. `attempts` limits the number of upstreams of each shard that the
    request may be sent to, those in `tried_by_shard` included.
    """

    shards: tuple[ServiceId, ...]
    cutoff: Instant
    may_have_run: bool
    attempts: AttemptLimit
    tried_by_shard: dict[ServiceId, list[UpstreamId]]


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to an upstream, which must reply by `deadline`.

    With a `subgather` the upstream is an aggregator, in a handover the VM that
    is to answer the request. After `write_by`, the end
    of the permit for it, the request must not be written any more.
    """

    attempt_id: int
    upstream: Upstream
    deadline: Instant
    service: ServiceId
    reason: str
    subgather: Subgather | None = None
    write_by: Instant = float('inf')
    # Upstreams of each service to which the request may go in a handover.
    handover_attempts: int = 0

    @property
    def is_to_peer(self) -> bool:
        """Return whether another VM gets it, which has sends of its own."""
        return self.subgather is not None or self.handover_attempts > 0


@dataclass(frozen=True, slots=True)
class ForwardReply:
    """Answer with an unchanged upstream reply."""

    reply: UpstreamReply


@dataclass(frozen=True, slots=True)
class MergedAnswer:
    """Answer with the greatest records of the shards that have a digest.

    `missing` has the reason for each other shard, `tried_by_shard` the
    upstreams that may have run the request for them.
    """

    digest_by_shard: dict[ServiceId, bytes]
    missing: dict[ServiceId, str]
    body: bytes
    tried_by_shard: dict[ServiceId, list[UpstreamId]] = field(
        default_factory=dict
    )


@dataclass(frozen=True, slots=True)
class Refusal:
    """The request did not run; the caller may retry after a delay.

    `is_over_limit` is set if its caller has sent too many.
    """

    reason: str
    retry_after: Seconds
    is_over_limit: bool = False


@dataclass(frozen=True, slots=True)
class Failure:
    """There is no answer, but the request may have run."""

    reason: str
    is_late: bool = False


Answer = ForwardReply | MergedAnswer | Refusal | Failure


@dataclass(frozen=True, slots=True)
class Deliver:
    """Send the caller its final answer."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Log a decision together with its inputs."""

    event: str
    details: dict[str, str | int | float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CancelSubgather:
    """Cancel a sub-gather, and report its end as a failure.

    It has not been sent if it could be withdrawn before it was written.
    """

    attempt_id: int


@dataclass(frozen=True, slots=True)
class GrantAttempts:
    """Let an aggregator send each shard's request to more upstreams."""

    attempt_id: int
    max_attempts: int


@dataclass(frozen=True, slots=True)
class RequestPermits:
    """Ask for permits to send to upstreams with a limited rate.

    Each of the `needs` lists upstreams of which one is to get a request. If
    fewer than `min_permits` can be had within `max_wait`, none is wanted.
    The exchange is told of the result if it `is_admission`.
    """

    needs: list[list[Upstream]]
    min_permits: int
    max_wait: Seconds
    is_admission: bool = False


@dataclass(frozen=True, slots=True)
class BorrowExtraSend:
    """Ask other VMs for an extra send to a service.

    The retry budget gets the result.
    """

    service: ServiceId


@dataclass(frozen=True, slots=True)
class Admit:
    """Start the exchange that an admission has obtained permits for."""


Action = (
    Send
    | Deliver
    | LogEvent
    | CancelSubgather
    | GrantAttempts
    | RequestPermits
    | BorrowExtraSend
    | Admit
)
