"""What exchanges are told, and what they ask for."""

from dataclasses import dataclass, field
from enum import Enum

from sesametrack.contracts.types import (
    Instant,
    Seconds,
    ServiceId,
    UpstreamId,
)
from sesametrack.routing.directory import Upstream

Headers = list[tuple[bytes, bytes]]


class ReplyKind(Enum):
    """What a whole reply of an upstream means."""

    succeeded = 'succeeded'
    # The upstream ran the request and failed.
    failed = 'failed'
    # The upstream says that it did not run the request.
    rejected = 'rejected'
    # Another upstream has this one's address; it did not run the request.
    misdirected = 'misdirected'


class FailureKind(Enum):
    """How a send ended without a reply."""

    # No byte of the request was handed to a socket.
    not_sent = 'not-sent'
    # The request may have run.
    broken = 'broken'


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's whole request in the product's terms.

    `id` names this client attempt. `caller_timeout` is how long the
    caller waits from `arrived_at` on, None if it did not say. `headers` are
    those to pass on.
    """

    id: str
    method: str
    path: str
    host: str
    headers: Headers
    body: bytes
    arrived_at: Instant
    caller_timeout: Seconds | None


@dataclass(frozen=True, slots=True)
class UpstreamReply:
    """A whole reply that belongs to the request.

    `digest` is the upstream's signature of the reply, `load` the numbers of
    running and waiting requests where it told them.
    """

    kind: ReplyKind
    status: int
    headers: Headers
    body: bytes
    digest: bytes = b''
    load: tuple[int, int] | None = None
    # What an aggregator gathered from its shards.
    merged: 'MergedAnswer | None' = None


@dataclass(frozen=True, slots=True)
class Subgather:
    """What an aggregator is asked for.

    `may_have_run` tells that some of the shards may have the request already;
    `max_attempts` are the upstreams of each that are left for it.
    """

    shards: tuple[ServiceId, ...]
    cutoff: Instant
    may_have_run: bool
    max_attempts: int
    tried_by_shard: dict[ServiceId, list[UpstreamId]]


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to an upstream; `deadline` bounds its work.

    With a `subgather` the upstream is an aggregator.
    """

    attempt_id: int
    upstream: Upstream
    deadline: Instant
    service: ServiceId
    reason: str
    subgather: Subgather | None = None


@dataclass(frozen=True, slots=True)
class ForwardReply:
    """Answer with an upstream's reply as it is."""

    reply: UpstreamReply


@dataclass(frozen=True, slots=True)
class MergedAnswer:
    """Answer with the greatest records of the shards that have a digest.

    `missing` tells why the other shards are not in, `tried_by_shard`
    which upstreams may have run the request for them.
    """

    digest_by_shard: dict[ServiceId, bytes]
    missing: dict[ServiceId, str]
    body: bytes
    tried_by_shard: dict[ServiceId, list[UpstreamId]] = field(
        default_factory=dict
    )


@dataclass(frozen=True, slots=True)
class Refusal:
    """The request has not run and will not; come back after a pause."""

    reason: str
    retry_after: Seconds


@dataclass(frozen=True, slots=True)
class Failure:
    """The request may have run, and there is no answer."""

    reason: str
    is_late: bool = False


Answer = ForwardReply | MergedAnswer | Refusal | Failure


@dataclass(frozen=True, slots=True)
class Deliver:
    """Give the caller its final answer."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A decision for the log, with the inputs that decided it."""

    event: str
    details: dict[str, str | int | float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CancelSubgather:
    """Let the aggregator that was sent to know that it is not waited for."""

    attempt_id: int


Action = Send | Deliver | LogEvent | CancelSubgather
