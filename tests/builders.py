"""Builders of small inventories, members, messages and views for tests."""

from sesametrack.contracts.inventory import (
    FailureDomainModel,
    Inventory,
    InventoryModel,
    SearcherModel,
    ServiceModel,
    ShardModel,
    Upstream,
    build_inventory,
)
from sesametrack.contracts.members import Member, Role
from sesametrack.contracts.messages import (
    SubQuery,
    SubQueryKind,
    SubQueryReply,
    SubQueryState,
    UpstreamView,
)
from sesametrack.contracts.outcomes import Reason
from sesametrack.contracts.requests import QueryRequest
from sesametrack.contracts.snapshots import (
    KEY_SPACE,
    Holding,
    KeyRange,
    Snapshot,
)

SNAPSHOT = Snapshot(1, 'p1')
FULL_KEY_RANGE = KeyRange(0, KEY_SPACE - 1)


def split_key_space(parts: int) -> list[KeyRange]:
    """Split the key space into ranges of equal width."""
    edges = [index * KEY_SPACE // parts for index in range(parts + 1)]
    return [
        KeyRange(first, after - 1)
        for first, after in zip(edges, edges[1:], strict=False)
    ]


def make_inventory_model(shards: int = 3, replicas: int = 2) -> InventoryModel:
    """Make an inventory of two failure domains and one sharded service."""
    ranges = split_key_space(shards)
    return InventoryModel(
        'site',
        [FailureDomainModel('north', 'r1'), FailureDomainModel('south', 'r1')],
        [
            ServiceModel(
                'find',
                'p1',
                [
                    ShardModel(f's{number}', key_range.first, key_range.last)
                    for number, key_range in enumerate(ranges)
                ],
            ),
            ServiceModel('pay'),
        ],
        [
            SearcherModel(
                f'find-{shard}-{replica}',
                'find',
                ('north', 'south')[replica % 2],
                f'127.0.0.1:{2000 + shard * 10 + replica}',
                2,
                25,
                f's{shard}',
            )
            for shard in range(shards)
            for replica in range(replicas)
        ]
        + [SearcherModel('pay-0', 'pay', 'north', '127.0.0.1:3000', 3, 100)],
    )


def make_inventory(shards: int = 3, replicas: int = 2) -> Inventory:
    """Make the validated form of the same inventory."""
    return build_inventory(make_inventory_model(shards, replicas), 'test')


def make_upstream(slots: int = 2, connections: int = 25) -> Upstream:
    """Make an upstream that holds the full key range."""
    return Upstream(
        'find-0-0',
        'find',
        'north',
        '127.0.0.1:2000',
        slots,
        connections,
        FULL_KEY_RANGE,
    )


def make_member(
    vm: str, role: Role = Role.gate, failure_domain: str = 'north'
) -> Member:
    """Make a member whose addresses are derived from its VM and role."""
    return Member(
        f'{vm}/{role.value}',
        vm,
        failure_domain,
        role,
        f'{vm}-{role.value}:1',
        f'{vm}-{role.value}:2',
        f'{vm}-{role.value}:3',
    )


def make_sub_query(
    number: int,
    kind: SubQueryKind = SubQueryKind.primary,
    fingerprint: str = '',
    *,
    repeatable: bool = True,
) -> SubQuery:
    """Make a sub-query; by default its fingerprint contains its number."""
    return SubQuery(
        f'q{number}',
        'find-0-0',
        SNAPSHOT,
        FULL_KEY_RANGE,
        b'{}',
        1000,
        repeatable,
        fingerprint or f'f{number}',
        kind,
    )


def make_view(
    upstream: str,
    holdings: list[Holding] | None,
    *,
    accepting: bool = True,
    wait_ms: float = 0,
) -> UpstreamView:
    """Make a view of an upstream."""
    return UpstreamView(upstream, accepting, wait_ms, 1, 5, holdings)


def make_reply(
    sub_query: SubQuery,
    state: SubQueryState = SubQueryState.answered,
    reason: Reason = Reason.none,
    snapshot: Snapshot | None = None,
) -> SubQueryReply:
    """Make the reply to a sub-query."""
    return SubQueryReply(
        sub_query.id,
        state,
        reason,
        snapshot or sub_query.snapshot,
        b'[]',
        0,
        5,
        None,
    )


def make_request(
    service: str = 'find', *, repeatable: bool = True, key: int | None = None
) -> QueryRequest:
    """Make a validated request."""
    return QueryRequest(service, 'r1', b'{}', 'f1', None, repeatable, key)
