"""Messages between VMs and the judge of a roll-out."""

from msgspec import Struct

from sesametrack.contracts.types import Seconds, UpstreamId, VmId


class VersionSample(Struct, array_like=True):
    """Answers of one version on one route.

    `upstream` is set for the version on trial only. `times` counts answers
    by the bucket of their time, failed ones included.
    """

    route: str
    upstream: UpstreamId
    succeeded: int = 0
    failed: int = 0
    times: dict[int, int] = {}


class RolloutReport(Struct, frozen=True, array_like=True, tag='evidence'):
    """What a VM has seen of an order since it learnt of it.

    All numbers are sums, so that a later report replaces an earlier one.
    `process` differs between processes of a VM. `requests` are those of which
    an upstream of the service answered the first send, `trial_sends` the sends
    to the version. `phase` is the one that the VM acts by, `others_in_flight`
    its sends to other versions that have not ended, and `age` the time since
    it learnt of the order.
    """

    vm: VmId
    process: int
    sequence: int
    order: str
    requests: int
    trial_sends: int
    phase: int
    others_in_flight: int
    age: Seconds
    samples: list[VersionSample] = []


class RolloutNotice(Struct, frozen=True, array_like=True, tag='phase'):
    """The judge's phase of an order; the answer to reports, and news."""

    order: str
    phase: int


class RolloutSpending(Struct, frozen=True):
    """What the lease says of an order.

    `reserved` is how many permits may have been issued until the next write,
    `age` the time since the order when it was written.
    """

    reserved: int
    age: Seconds
