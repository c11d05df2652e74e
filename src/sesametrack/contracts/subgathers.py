"""Messages between a VM and the aggregators of its wide gathers."""

from msgspec import Struct

from sesametrack.contracts.types import (
    Seconds,
    ServiceId,
    UpstreamId,
    WorkspaceId,
)


class SubgatherRequest(Struct, frozen=True, array_like=True):
    """A caller's request, to be sent to a subset of the route's shards.

    `left`, `until_cutoff` and `age` are in seconds, relative to the sending
    of the message: the time until the caller's deadline, the time until the
    reply should be sent, and the time since the caller's request arrived.
    If `may_have_run` is true, another aggregator may have sent the request
    to these shards; `asked` lists the upstreams it may have reached, as far
    as they are known.

    The request may go to `max_attempts` upstreams of each shard, those in
    `asked` included. An `AttemptGrant` with this `grant_id` may raise that
    up to `later_max_attempts`. `workspace` is the caller's. Older versions
    send none of these three fields.
    """

    id: str
    method: str
    path: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    route: str
    target: Seconds
    max_attempts: int
    count: int
    shards: list[ServiceId]
    left: Seconds
    until_cutoff: Seconds
    age: Seconds
    may_have_run: bool
    asked: dict[ServiceId, list[UpstreamId]]
    later_max_attempts: int = 0
    grant_id: int = 0
    workspace: WorkspaceId = ''


class AttemptGrant(Struct, frozen=True, array_like=True):
    """Permission to send each shard's request to `max_attempts` upstreams.

    A datagram to the aggregator that acknowledged the sub-gather with this
    `grant_id`. If it is lost, the aggregator goes on with fewer attempts.
    """

    grant_id: int
    max_attempts: int


class SubgatherReply(Struct, frozen=True, array_like=True):
    """The merged top records of the shards in `digest_by_shard`.

    `missing` gives the reason for each other shard, `asked` the upstreams
    that may have run the request for it.
    """

    digest_by_shard: dict[ServiceId, bytes]
    records: bytes
    missing: dict[ServiceId, str]
    asked: dict[ServiceId, list[UpstreamId]]
