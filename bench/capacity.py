"""Measures the slopes behind docs/CAPACITY.md: `make capacity`."""

from random import Random
from sys import stdout
from time import process_time
from tracemalloc import get_traced_memory
from tracemalloc import start as start_tracing
from tracemalloc import stop as stop_tracing

from msgspec import Struct
from msgspec.json import encode
from msgspec.msgpack import Decoder, Encoder

from sesametrack.callers.budget import RatioBudget
from sesametrack.callers.context import QueryContext, ServiceState
from sesametrack.callers.events import ReplyReceived, SendSubQuery, Started
from sesametrack.callers.latency import LatencyQuantile
from sesametrack.callers.query import Query
from sesametrack.callers.replicas import ReplicaTable
from sesametrack.configuration.parts import (
    build_configuration,
    encode_parts,
    next_head,
    part_digest,
)
from sesametrack.contracts.inventory import (
    FailureDomainModel,
    Inventory,
    InventoryModel,
    SearcherModel,
    ServiceModel,
    ShardModel,
    build_inventory,
)
from sesametrack.contracts.members import GossipMessage, Member, Role
from sesametrack.contracts.messages import (
    Frame,
    SubQuery,
    SubQueryKind,
    SubQueryReply,
    SubQueryState,
    UpstreamView,
)
from sesametrack.contracts.outcomes import Reason
from sesametrack.contracts.requests import QueryRequest
from sesametrack.contracts.rules import Rules, ServiceRules
from sesametrack.contracts.snapshots import (
    KEY_SPACE,
    Holding,
    KeyRange,
    Snapshot,
)
from sesametrack.failure_domains.placement import Placement
from sesametrack.upstreams.actions import OpenConnection, SendRequest
from sesametrack.upstreams.events import (
    ConnectionOpened,
    LoadReported,
    Response,
    ResponseKind,
    ResponseReceived,
    SubQueryReceived,
    Ticked,
)
from sesametrack.upstreams.policy import UpstreamPolicy
from sesametrack.upstreams.quarantine import Quarantine
from sesametrack.vms.events import (
    AddressesDiscovered,
    GossipReceived,
    JoinFinished,
    SendGossip,
)
from sesametrack.vms.events import Ticked as MembershipTicked
from sesametrack.vms.membership import Membership

_US = 1_000_000
_SHARDS = 52
_TICK_S = 0.05
_SETTLE_S = 20
_LOSS = 0.01
_SNAPSHOT = Snapshot(1, 'p1')


class MembershipCost(Struct):
    """Cost of the membership for one member at one size."""

    members: int
    cpu_percent: float
    bytes_per_s: float
    memory_kb: float


class _Network:
    """Many members in one process, with encoded and lossy delivery."""

    def __init__(self, size: int) -> None:
        self.sent_bytes = 0
        self.now = 0.0
        self._rng = Random(1)
        self._encoder = Encoder()
        self._decoder = Decoder(GossipMessage)
        self._waiting: list[tuple[str, str, bytes]] = []
        members = [
            _make_member(number, 'd0', Role.gate) for number in range(size)
        ]
        self._by_address = {
            member.gossip: Membership(member, 1, Random(number))
            for number, member in enumerate(members)
        }
        seeds = AddressesDiscovered(
            frozenset(member.gossip for member in members[:3])
        )
        for address, membership in self._by_address.items():
            self._act(address, membership.handle(seeds, 0))
            self._act(address, membership.handle(JoinFinished(), 0))

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        until = self.now + seconds
        while self.now < until:
            self.now += _TICK_S
            for address, membership in self._by_address.items():
                actions = membership.handle(MembershipTicked(), self.now)
                self._act(address, actions)
            self._deliver()
            self._deliver()

    def _act(self, sender: str, actions: list) -> None:
        for action in actions:
            if isinstance(action, SendGossip):
                datagram = self._encoder.encode(action.message)
                self.sent_bytes += len(datagram)
                self._waiting.append((sender, action.address, datagram))

    def _deliver(self) -> None:
        batch, self._waiting = self._waiting, []
        for sender, address, datagram in batch:
            if self._rng.random() < _LOSS:
                continue
            event = GossipReceived(self._decoder.decode(datagram), sender)
            membership = self._by_address[address]
            self._act(address, membership.handle(event, self.now))


def measure_membership(size: int, seconds: float) -> MembershipCost:
    """Measure the membership's cost for one member among so many."""
    start_tracing()
    network = _Network(size)
    network.run(_SETTLE_S)
    memory = get_traced_memory()[0] / size / 1024
    stop_tracing()
    network.sent_bytes = 0
    began = process_time()
    network.run(seconds)
    used = process_time() - began
    return MembershipCost(
        size,
        round(used / seconds / size * 100, 3),
        round(network.sent_bytes / seconds / size, 0),
        round(memory, 1),
    )


def measure_placement(upstreams: int, gates: int, domains: int) -> float:
    """Return seconds to place the upstreams anew when one gate left."""
    inventory = make_large_inventory(upstreams, domains)
    members = [
        _make_member(number, f'd{number % domains}', Role.gate)
        for number in range(gates)
    ]
    placement = Placement(inventory, members)
    began = process_time()
    Placement(inventory, members[1:], placement)
    return process_time() - began


def make_large_model(upstreams: int, domains: int) -> InventoryModel:
    """Make an inventory of services with 52 shards and two replicas."""
    edges = [index * KEY_SPACE // _SHARDS for index in range(_SHARDS + 1)]
    shards = [
        ShardModel(f's{index}', edges[index], edges[index + 1] - 1)
        for index in range(_SHARDS)
    ]
    services = upstreams // (_SHARDS * 2) + 1
    return InventoryModel(
        'target',
        [
            FailureDomainModel(f'd{index}', f'r{index % 6}')
            for index in range(domains)
        ],
        [
            ServiceModel(f'service-{index}', 'p1', shards)
            for index in range(services)
        ],
        [
            SearcherModel(
                f'searcher-{number:05}',
                f'service-{number // (_SHARDS * 2)}',
                f'd{number % domains}',
                f'10.{number // 65000}.{number // 250 % 250}.{number % 250}:9',
                2,
                25,
                f's{number // 2 % _SHARDS}',
            )
            for number in range(upstreams)
        ],
    )


def make_large_inventory(upstreams: int, domains: int) -> Inventory:
    """Make the validated form of a large inventory."""
    return build_inventory(make_large_model(upstreams, domains), 'capacity')


def measure_configuration(upstreams: int, domains: int) -> dict[str, float]:
    """Return time, memory and bytes of accepting one revision."""
    model = make_large_model(upstreams, domains)
    parts = encode_parts(model, Rules())
    by_digest = {part_digest(part): part for part in parts.values()}
    head = next_head(None, 'x', parts)
    start_tracing()
    configuration = build_configuration(head, by_digest)
    table = ReplicaTable()
    table.configure(configuration.inventory, configuration.rules)
    memory = get_traced_memory()[0] / 1024 / 1024
    stop_tracing()
    began = process_time()
    build_configuration(head, by_digest)
    accepted = process_time()
    build_configuration(head, by_digest, configuration)
    return {
        'searchers': upstreams,
        'accept_s': round(accepted - began, 3),
        'accept_rules_s': round(process_time() - accepted, 4),
        'memory_mb': round(memory, 1),
        'bytes': sum(len(part) for part in parts.values()),
        'largest_part_bytes': max(len(part) for part in parts.values()),
        'rules_part_bytes': len(parts['rules']),
    }


def measure_query(repeat: int) -> float:
    """Return microseconds of the entry's decisions for each sub-query."""
    context = QueryContext(
        _make_table(), Quarantine(), Random(1), id_prefix='x'
    )
    service = ServiceState(
        ServiceRules(),
        LatencyQuantile(97, 0.05),
        RatioBudget(0.05, 20),
        RatioBudget(0.1, 100),
    )
    began = process_time()
    for number in range(repeat):
        request = QueryRequest(
            'service-0', f'r{number}', b'{}', f'f{number}', None, True, None
        )
        _run_query(Query(request, service, context, number), number)
    return (process_time() - began) / repeat / _SHARDS * _US


def _make_table() -> ReplicaTable:
    inventory = make_large_inventory(_SHARDS * 2, 2)
    gates = [
        _make_member(number, f'd{number % 2}', Role.gate) for number in range(4)
    ]
    table = ReplicaTable()
    table.configure(inventory, Rules())
    placement = Placement(inventory, gates)
    table.update_placement(placement, [gate.id for gate in gates])
    for upstream in inventory.upstream_by_id.values():
        holdings = [Holding(_SNAPSHOT, upstream.key_range)]
        view = UpstreamView(upstream.id, True, 0, 2, 5, holdings)
        table.update_view(view, placement.gate_of(upstream.id).id, 0)
    return table


def _run_query(query: Query, now: float) -> None:
    for action in query.handle(Started(), now):
        if isinstance(action, SendSubQuery):
            reply = make_reply(action.sub_query)
            query.handle(ReplyReceived(reply), now + 0.005)


def make_reply(sub_query: SubQuery) -> SubQueryReply:
    """Make an ordinary reply."""
    view = UpstreamView(sub_query.upstream, True, 0, 2, 5)
    return SubQueryReply(
        sub_query.id,
        SubQueryState.answered,
        Reason.none,
        sub_query.snapshot,
        b'{"records": []}',
        0,
        5,
        view,
    )


def measure_policy(repeat: int) -> float:
    """Return microseconds of a gate's decisions for each sub-query."""
    inventory = make_large_inventory(2, 1)
    upstream = next(iter(inventory.upstream_by_id.values()))
    policy = UpstreamPolicy(upstream, Quarantine(), 0)
    holdings = [Holding(_SNAPSHOT, upstream.key_range)]
    policy.handle(LoadReported(0, False, False, holdings), 0)
    for action in policy.handle(Ticked(), 0):
        if isinstance(action, OpenConnection):
            policy.handle(ConnectionOpened(action.connection), 0)
    response = Response(ResponseKind.answered, b'{}', _SNAPSHOT)
    sub_queries = [make_sub_query(number) for number in range(repeat)]
    began = process_time()
    for number, sub_query in enumerate(sub_queries):
        now = number / 100
        offered = SubQueryReceived('e', sub_query, now + 1)
        for action in policy.handle(offered, now):
            if isinstance(action, SendRequest):
                responded = ResponseReceived(action.connection, response)
                policy.handle(responded, now + 0.005)
    return (process_time() - began) / repeat * _US


def make_sub_query(number: int) -> SubQuery:
    """Make an ordinary sub-query."""
    return SubQuery(
        f'vm-0123456789ab-{number:x}',
        'searcher-00000',
        _SNAPSHOT,
        KeyRange(0, KEY_SPACE // _SHARDS),
        b'{"member": "somebody"}',
        500,
        True,
        '0123456789abcdef',
        SubQueryKind.primary,
    )


def measure_codec(repeat: int, batch: int) -> float:
    """Return microseconds to encode and decode a sub-query and its reply."""
    encoder = Encoder()
    decoder = Decoder(Frame)
    queries = Frame('s', [make_sub_query(number) for number in range(batch)])
    replies = Frame('s', [make_reply(query) for query in queries.messages])
    began = process_time()
    for _ in range(repeat):
        decoder.decode(encoder.encode(queries))
        decoder.decode(encoder.encode(replies))
    return (process_time() - began) / repeat / batch * _US


def _make_member(number: int, domain: str, role: Role) -> Member:
    name = f'{domain}-vm-{number:04}'
    host = f'10.0.{number // 250}.{number % 250}'
    return Member(
        f'{name}/{role.value}',
        name,
        domain,
        role,
        f'{host}:7301',
        f'{host}:7300',
        f'{host}:7302',
    )


def _print(name: str, found: object) -> None:
    stdout.write(f'{name}: {encode(found).decode()}\n')
    stdout.flush()


def main() -> None:
    """Measure all slopes and print them."""
    for size, seconds in ((6, 60), (60, 20), (300, 6)):
        _print('membership', measure_membership(size, seconds))
    for upstreams, gates, domains in ((106, 6, 3), (24_000, 1550, 19)):
        _print(
            f'placement of {upstreams} on {gates} gates after one left, s',
            round(measure_placement(upstreams, gates, domains), 4),
        )
    for searchers in (106, 2_400, 24_000):
        _print('configuration', measure_configuration(searchers, 19))
    _print('entry decisions, us a sub-query', round(measure_query(300), 1))
    _print('gate decisions, us a sub-query', round(measure_policy(3000), 1))
    for batch in (1, 16):
        _print(
            f'codec at {batch} a frame, us a sub-query and its reply',
            round(measure_codec(2000, batch), 2),
        )


if __name__ == '__main__':
    main()
