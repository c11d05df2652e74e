"""Measure the unit costs used in docs/CAPACITY.md (`make capacity`)."""

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

_US_PER_S = 1_000_000
_SHARD_COUNT = 52
_TICK_S = 0.05
_WARM_UP_S = 20
_PACKET_LOSS_RATIO = 0.01
_SNAPSHOT = Snapshot(1, 'p1')


class MembershipCost(Struct):
    """Cost of the membership protocol per member, at one cluster size."""

    members: int
    cpu_percent: float
    bytes_per_s: float
    memory_kb: float


class _SimulatedNetwork:
    """Simulates a cluster in one process, with encoding and packet loss."""

    def __init__(self, member_count: int) -> None:
        self.sent_bytes = 0
        self.now = 0.0
        self._rng = Random(1)
        self._encoder = Encoder()
        self._decoder = Decoder(GossipMessage)
        self._undelivered: list[tuple[str, str, bytes]] = []
        members = [
            _make_member(number, 'd0', Role.gate)
            for number in range(member_count)
        ]
        self._by_address = {
            member.gossip: Membership(member, 1, Random(number))
            for number, member in enumerate(members)
        }
        seeds = AddressesDiscovered(
            frozenset(member.gossip for member in members[:3])
        )
        for address, membership in self._by_address.items():
            self._enqueue_sends(address, membership.handle(seeds, 0))
            self._enqueue_sends(address, membership.handle(JoinFinished(), 0))

    def run(self, duration_s: float) -> None:
        """Advance the simulated time."""
        end_time = self.now + duration_s
        while self.now < end_time:
            self.now += _TICK_S
            for address, membership in self._by_address.items():
                actions = membership.handle(MembershipTicked(), self.now)
                self._enqueue_sends(address, actions)
            self._deliver()
            self._deliver()

    def _enqueue_sends(self, sender: str, actions: list) -> None:
        for action in actions:
            if isinstance(action, SendGossip):
                datagram = self._encoder.encode(action.message)
                self.sent_bytes += len(datagram)
                self._undelivered.append((sender, action.address, datagram))

    def _deliver(self) -> None:
        batch, self._undelivered = self._undelivered, []
        for sender, address, datagram in batch:
            if self._rng.random() < _PACKET_LOSS_RATIO:
                continue
            event = GossipReceived(self._decoder.decode(datagram), sender)
            membership = self._by_address[address]
            self._enqueue_sends(address, membership.handle(event, self.now))


def measure_membership(member_count: int, duration_s: float) -> MembershipCost:
    """Return the cost of the membership protocol per member."""
    start_tracing()
    network = _SimulatedNetwork(member_count)
    network.run(_WARM_UP_S)
    memory_per_member_kb = get_traced_memory()[0] / member_count / 1024
    stop_tracing()
    network.sent_bytes = 0
    started_at = process_time()
    network.run(duration_s)
    cpu_s = process_time() - started_at
    return MembershipCost(
        member_count,
        round(cpu_s / duration_s / member_count * 100, 3),
        round(network.sent_bytes / duration_s / member_count, 0),
        round(memory_per_member_kb, 1),
    )


def measure_placement(
    upstream_count: int, gate_count: int, domain_count: int
) -> float:
    """Return the CPU seconds to reassign the upstreams after a gate left."""
    inventory = make_large_inventory(upstream_count, domain_count)
    members = [
        _make_member(number, f'd{number % domain_count}', Role.gate)
        for number in range(gate_count)
    ]
    placement = Placement(inventory, members)
    started_at = process_time()
    Placement(inventory, members[1:], placement)
    return process_time() - started_at


def make_large_model(upstream_count: int, domain_count: int) -> InventoryModel:
    """Return an inventory of services with 52 shards and two replicas."""
    edges = [
        index * KEY_SPACE // _SHARD_COUNT for index in range(_SHARD_COUNT + 1)
    ]
    shards = [
        ShardModel(f's{index}', edges[index], edges[index + 1] - 1)
        for index in range(_SHARD_COUNT)
    ]
    service_count = upstream_count // (_SHARD_COUNT * 2) + 1
    return InventoryModel(
        'target',
        [
            FailureDomainModel(f'd{index}', f'r{index % 6}')
            for index in range(domain_count)
        ],
        [
            ServiceModel(f'service-{index}', 'p1', shards)
            for index in range(service_count)
        ],
        [
            SearcherModel(
                f'searcher-{number:05}',
                f'service-{number // (_SHARD_COUNT * 2)}',
                f'd{number % domain_count}',
                f'10.{number // 65000}.{number // 250 % 250}.{number % 250}:9',
                2,
                25,
                f's{number // 2 % _SHARD_COUNT}',
            )
            for number in range(upstream_count)
        ],
    )


def make_large_inventory(upstream_count: int, domain_count: int) -> Inventory:
    """Return the validated form of `make_large_model`."""
    return build_inventory(
        make_large_model(upstream_count, domain_count), 'capacity'
    )


def measure_configuration(
    upstream_count: int, domain_count: int
) -> dict[str, float]:
    """Return the CPU time, memory and size of accepting one revision."""
    model = make_large_model(upstream_count, domain_count)
    parts = encode_parts(model, Rules())
    by_digest = {part_digest(part): part for part in parts.values()}
    head = next_head(None, 'x', parts)
    start_tracing()
    configuration = build_configuration(head, by_digest)
    table = ReplicaTable()
    table.configure(configuration.inventory, configuration.rules)
    memory_mb = get_traced_memory()[0] / 1024 / 1024
    stop_tracing()
    started_at = process_time()
    build_configuration(head, by_digest)
    accepted_at = process_time()
    build_configuration(head, by_digest, configuration)
    return {
        'searchers': upstream_count,
        'accept_s': round(accepted_at - started_at, 3),
        'accept_rules_s': round(process_time() - accepted_at, 4),
        'memory_mb': round(memory_mb, 1),
        'bytes': sum(len(part) for part in parts.values()),
        'largest_part_bytes': max(len(part) for part in parts.values()),
        'rules_part_bytes': len(parts['rules']),
    }


def measure_query(repetitions: int) -> float:
    """Return the CPU microseconds of an entry's decisions per sub-query."""
    context = QueryContext(
        _make_replica_table(), Quarantine(), Random(1), id_prefix='x'
    )
    service = ServiceState(
        ServiceRules(),
        LatencyQuantile(97, 0.05),
        RatioBudget(0.05, 20),
        RatioBudget(0.1, 100),
    )
    started_at = process_time()
    for number in range(repetitions):
        request = QueryRequest(
            'service-0', f'r{number}', b'{}', f'f{number}', None, True, None
        )
        _run_query(Query(request, service, context, number), number)
    return (
        (process_time() - started_at) / repetitions / _SHARD_COUNT * _US_PER_S
    )


def _make_replica_table() -> ReplicaTable:
    inventory = make_large_inventory(_SHARD_COUNT * 2, 2)
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
    """Return a successful reply to a sub-query."""
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


def measure_policy(repetitions: int) -> float:
    """Return the CPU microseconds of a gate's decisions per sub-query."""
    inventory = make_large_inventory(2, 1)
    upstream = next(iter(inventory.upstream_by_id.values()))
    policy = UpstreamPolicy(upstream, Quarantine(), 0)
    holdings = [Holding(_SNAPSHOT, upstream.key_range)]
    policy.handle(LoadReported(0, False, False, holdings), 0)
    for action in policy.handle(Ticked(), 0):
        if isinstance(action, OpenConnection):
            policy.handle(ConnectionOpened(action.connection), 0)
    response = Response(ResponseKind.answered, b'{}', _SNAPSHOT)
    sub_queries = [make_sub_query(number) for number in range(repetitions)]
    started_at = process_time()
    for number, sub_query in enumerate(sub_queries):
        now = number / 100
        received = SubQueryReceived('e', sub_query, now + 1)
        for action in policy.handle(received, now):
            if isinstance(action, SendRequest):
                response_received = ResponseReceived(
                    action.connection, response
                )
                policy.handle(response_received, now + 0.005)
    return (process_time() - started_at) / repetitions * _US_PER_S


def make_sub_query(number: int) -> SubQuery:
    """Return a primary sub-query."""
    return SubQuery(
        f'vm-0123456789ab-{number:x}',
        'searcher-00000',
        _SNAPSHOT,
        KeyRange(0, KEY_SPACE // _SHARD_COUNT),
        b'{"member": "somebody"}',
        500,
        True,
        '0123456789abcdef',
        SubQueryKind.primary,
    )


def measure_codec(repetitions: int, batch_size: int) -> float:
    """Return the CPU microseconds of the codec per sub-query and reply."""
    encoder = Encoder()
    decoder = Decoder(Frame)
    queries = Frame(
        's', [make_sub_query(number) for number in range(batch_size)]
    )
    replies = Frame('s', [make_reply(query) for query in queries.messages])
    started_at = process_time()
    for _ in range(repetitions):
        decoder.decode(encoder.encode(queries))
        decoder.decode(encoder.encode(replies))
    return (process_time() - started_at) / repetitions / batch_size * _US_PER_S


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


def _print_result(label: str, measurement: object) -> None:
    stdout.write(f'{label}: {encode(measurement).decode()}\n')
    stdout.flush()


def main() -> None:
    """Run all measurements and print the results."""
    for member_count, duration_s in ((6, 60), (60, 20), (300, 6)):
        _print_result(
            'membership', measure_membership(member_count, duration_s)
        )
    for upstreams, gates, domains in ((106, 6, 3), (24_000, 1550, 19)):
        _print_result(
            f'placement of {upstreams} on {gates} gates after one left, s',
            round(measure_placement(upstreams, gates, domains), 4),
        )
    for searcher_count in (106, 2_400, 24_000):
        _print_result(
            'configuration', measure_configuration(searcher_count, 19)
        )
    _print_result(
        'entry decisions, us per sub-query', round(measure_query(300), 1)
    )
    _print_result(
        'gate decisions, us per sub-query', round(measure_policy(3000), 1)
    )
    for batch_size in (1, 16):
        _print_result(
            f'codec at {batch_size} per frame, us per sub-query and reply',
            round(measure_codec(2000, batch_size), 2),
        )


if __name__ == '__main__':
    main()
