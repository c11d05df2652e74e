"""Messages that ask for permits to send to upstreams with a limited rate."""

from msgspec import Struct

from sesametrack.contracts.rollouts import RolloutNotice, RolloutReport
from sesametrack.contracts.types import (
    Address,
    Milliseconds,
    Seconds,
    UpstreamId,
    VmId,
)


class LimitedUpstream(Struct, frozen=True, array_like=True):
    """One incarnation of an upstream, and the limit that its VM heard.

    `per_s` is in requests per second from all VMs, `age` the time since the
    limit was heard. `is_cold` is set if the limit is that of a cold start,
    `order` to the id of the roll-out that the upstream is on trial for. One
    that is on trial only has no limit, and a `per_s` of 0.
    """

    id: UpstreamId
    started_ms: Milliseconds
    per_s: float
    age: Seconds
    is_cold: bool = False
    order: str = ''


class PermitRequest(Struct, frozen=True, array_like=True, tag='request'):
    """Asks the coordinator for permits to send to some upstreams.

    Each of the `needs` lists upstreams of which one is to get a request, the
    preferred one first. If fewer than `min_permits` can be given within
    `max_wait`, none is given.
    """

    request_id: int
    needs: list[list[LimitedUpstream]]
    min_permits: int
    max_wait: Seconds


class Permit(Struct, frozen=True, array_like=True):
    """Permission for one send, from `wait` after the reply for `validity`."""

    upstream: UpstreamId
    wait: Seconds
    validity: Seconds


class PermitReply(Struct, frozen=True, array_like=True, tag='reply'):
    """The coordinator's answer to a request for permits.

    `wait_by_upstream` has the time until the next permit for needs that got
    none. `retry_after` is the time until the request could have succeeded.
    The reply of a VM that is not the coordinator is otherwise empty.
    """

    request_id: int
    is_coordinator: bool
    permits: list[Permit] = []
    wait_by_upstream: dict[UpstreamId, Seconds] = {}
    retry_after: Seconds = 0


class CoordinatorNotice(Struct, frozen=True, array_like=True, tag='notice'):
    """Tells the other VMs where the new coordinator receives requests."""

    vm: VmId
    address: Address


PermitMessage = (
    PermitRequest
    | PermitReply
    | CoordinatorNotice
    | RolloutReport
    | RolloutNotice
)
