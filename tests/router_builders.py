"""Builders of routes, upstreams and calls for the router's tests."""

from functools import partial
from itertools import count
from random import Random

from sesametrack.routing.calls import CallContext
from sesametrack.routing.desired_state import Route, TopKMerge, WeightedService
from sesametrack.routing.directory import UpstreamDirectory, UpstreamRecord
from sesametrack.routing.events import (
    CallerRequest,
    ReplyKind,
    UpstreamReply,
)
from sesametrack.routing.pacing import UpstreamPacer
from sesametrack.routing.retry_budget import (
    BudgetRule,
    BudgetShares,
    RetryBudget,
)
from sesametrack.routing.selection import Selector
from sesametrack.routing.timing import TimingTable

_RECORD = b'a' * 16
AMPLE_BUDGET = BudgetRule(10, 10, 1000)


class EqualShares(BudgetShares):
    """Gives each of some VMs the same share, and lets none borrow."""

    def __init__(self, vm_count: int = 1) -> None:
        """Set the number of VMs."""
        self._vm_count = vm_count

    def fraction(self, service: str) -> float:
        """Return the share of one VM."""
        return 1 / self._vm_count

    def has_lenders(self, service: str) -> bool:
        """Return False."""
        return False


def make_record(upstream_id: str, service: str, **fields) -> UpstreamRecord:
    """Make the record of a ready upstream."""
    named = {
        'address': '127.0.0.1:1',
        'failure_domain': 'north',
        'slots': 2,
        'is_draining': False,
        'cold_left': 0,
        'sequence': 1,
        'started_ms': 1,
        **fields,
    }
    return UpstreamRecord(upstream_id, service, **named)


def make_directory(services: list[str], replicas: int) -> UpstreamDirectory:
    """Make a directory with upstreams named 'service-number'."""
    directory = UpstreamDirectory()
    directory.apply_listing(
        [
            make_record(f'{service}-{number}', service)
            for service in services
            for number in range(replicas)
        ],
        0,
        is_after_outage=False,
    )
    return directory


def make_context(
    directory: UpstreamDirectory,
    rule: BudgetRule = AMPLE_BUDGET,
    seed: int = 1,
    max_outstanding: int = 4,
) -> CallContext:
    """Make the collaborators that calls share."""
    pacer = UpstreamPacer()
    budget = RetryBudget(rule, -100)
    budget.set_shares(EqualShares())
    return CallContext(
        directory,
        Selector('north', pacer, Random(seed)),
        budget,
        pacer,
        TimingTable(),
        partial(next, count(1)),
        lambda service: max_outstanding,
    )


def make_gather_route(shards: int, min_shard_share: float = 0.75) -> Route:
    """Make a route over shards named s0, s1 and so on."""
    return Route(
        'gather',
        'h',
        '/g/',
        is_repeatable=True,
        timeout=0.4,
        target=0.04,
        max_attempts=2,
        shards=tuple(f's{number}' for number in range(shards)),
        merge=TopKMerge(3, min_shard_share),
    )


def make_single_route(*, is_repeatable: bool, attempts: int = 2) -> Route:
    """Make a route to service s0."""
    return Route(
        'single',
        'h',
        '/s/',
        is_repeatable=is_repeatable,
        timeout=2,
        target=0.2,
        max_attempts=attempts,
        weighted_services=(WeightedService('s0'),),
    )


def make_request(
    arrived_at: float = 0,
    caller_timeout: float | None = None,
    network_time: float | None = None,
):
    """Make a caller's request."""
    return CallerRequest(
        'r1',
        'GET',
        '/g/x',
        'h',
        [],
        b'',
        arrived_at,
        caller_timeout,
        network_time,
    )


def make_reply(
    kind: ReplyKind = ReplyKind.succeeded, body: bytes = _RECORD
) -> UpstreamReply:
    """Make a complete reply."""
    status = 200 if kind is ReplyKind.succeeded else 503
    return UpstreamReply(kind, status, [], body, b'digest')
