"""Messages about the request quotas of workspaces."""

from msgspec import Struct

from sesametrack.contracts.types import (
    Address,
    FailureDomainId,
    Seconds,
    VmId,
    WorkspaceId,
)


class QuotaAsk(Struct, frozen=True, array_like=True):
    """Asks for `count` requests of a workspace, of which one is waiting.

    `version` is the desired state's that declares the limit: `per_s` requests
    per second and a burst, over all VMs.
    """

    workspace: WorkspaceId
    version: int
    per_s: float
    burst: float
    count: int


class QuotaGrant(Struct, frozen=True, array_like=True):
    """The answer to one ask: how many of the requests may be sent.

    Without any, `wait` is the time until the next may be granted, and
    `retry_after` the time until all those are served that were refused
    before. `level` is the part of the bucket that is left.
    """

    count: int
    wait: Seconds = 0
    retry_after: Seconds = 0
    level: float = 0


class QuotaRequest(Struct, frozen=True, array_like=True, tag='request'):
    """Asks the coordinator of a failure domain."""

    request_id: int
    asks: list[QuotaAsk]


class QuotaReply(Struct, frozen=True, array_like=True, tag='reply'):
    """A coordinator's grants, in the order of the asks.

    There are none from a VM that is not the coordinator.
    """

    request_id: int
    is_coordinator: bool
    grants: list[QuotaGrant] = []


class QuotaNotice(Struct, frozen=True, array_like=True, tag='notice'):
    """Tells which VMs are coordinators, that of the sender's domain first.

    With `is_new` the sender has just become it, and wants to know the others.
    """

    vm: VmId
    address_by_domain: dict[FailureDomainId, Address]
    is_new: bool = False


QuotaMessage = QuotaRequest | QuotaReply | QuotaNotice
