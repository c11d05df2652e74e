"""Benchmark scenarios: a request load and the faults injected during it."""

from asyncio import sleep
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

from msgspec.structs import replace

from bench.deployments import Deployment, association, registry
from bench.load import Question
from bench.processes import Cluster
from sesametrack.contracts.snapshots import (
    KEY_SPACE,
    Holding,
    KeyRange,
    Snapshot,
)
from standins.faults import Change
from standins.platform import PlatformFaults

_ACTION_FRACTION = 0.05
_FIRST_SERVICE_FRACTION = 0.8
_FIRST_POISON_REQUEST = 120
_POISON_REQUEST_INTERVAL = 40


@dataclass(slots=True)
class Run:
    """State of a running scenario that its script can use."""

    cluster: Cluster
    rng: Random
    duration_s: float
    notes: dict[str, float | int | str] = field(default_factory=dict)


Script = Callable[[Run], Awaitable[None]]
QuestionSource = Callable[[int], Question]


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load and a script that injects faults.

    `rate_per_s` is in requests per second. `prepare` runs before the warm-up,
    `script` during the load.
    """

    name: str
    purpose: str
    make_deployment: Callable[[], Deployment]
    make_source: Callable[[Random], QuestionSource]
    rate_per_s: float
    duration_s: float
    script: Script
    prepare: Script | None = None


def registry_mix(rng: Random) -> QuestionSource:
    """Return a source of heir lookups on all shards and some payouts."""
    return _make_mix(rng, ('counter-desk', 'payout-run'), 'card-view', 1)


def association_mix(rng: Random) -> QuestionSource:
    """Return a source of parts searches on all shards and some orders."""
    return _make_mix(rng, ('parts-finder', 'guild-roster'), 'repair-ledger', 1)


def _make_mix(
    rng: Random, sharded: tuple[str, str], unsharded: str, deadline_s: float
) -> QuestionSource:
    run_id = f'{rng.getrandbits(32):08x}'

    def make_question(number: int) -> Question:
        nonce = f'{run_id}-{number}'
        if rng.random() < _ACTION_FRACTION:
            query = {'nonce': nonce, 'action': nonce}
            return Question(
                unsharded, nonce, query, deadline_s, is_repeatable=False
            )
        service = (
            sharded[0] if rng.random() < _FIRST_SERVICE_FRACTION else sharded[1]
        )
        return Question(service, nonce, {'nonce': nonce}, deadline_s)

    return make_question


def poison_mix(rng: Random) -> QuestionSource:
    """Return the registry mix with a poison request sent periodically.

    The first one is request 120, about 3 s into the load at 40 requests per
    second. The warm-up sends about 40 requests in all, so the poison request
    is not in quarantine when the load starts.
    """
    regular = registry_mix(rng)

    def make_question(number: int) -> Question:
        if number < _FIRST_POISON_REQUEST or number % _POISON_REQUEST_INTERVAL:
            return regular(number)
        query = {'nonce': 'killer', 'poison': True}
        return Question(
            'counter-desk',
            f'killer-{number}',
            query,
            1,
            entry=number // _POISON_REQUEST_INTERVAL,
        )

    return make_question


async def inject_no_faults(run: Run) -> None:
    """Inject no faults."""


async def add_stragglers(run: Run) -> None:
    """Make 2% of the requests take 25 times as long."""
    await run.cluster.change(Change(behaviour={'straggler_share': 0.02}))


async def make_upstreams_cold(run: Run) -> None:
    """Make one failure domain cold, then crash 5 upstreams.

    The crashed upstreams restart cold, but report no load and that they are
    not cold.
    """
    await sleep(run.duration_s * 0.25)
    await run.cluster.change_domain(0, Change(turn='cold'))
    await sleep(run.duration_s * 0.25)
    ids = [
        searcher.id
        for searcher in run.cluster.deployment.inventory.searchers
        if searcher.id.endswith('a')
    ]
    chosen = run.rng.sample(ids, 5)
    await run.cluster.change(
        Change(chosen, {'report_lies': True, 'restart_s': 0.5})
    )
    await run.cluster.change(Change(chosen, turn='crash'))
    run.notes['crashed_on_purpose'] = len(chosen)


async def drain_upstreams(run: Run) -> None:
    """Drain three upstreams, then put them back into service."""
    await sleep(run.duration_s * 0.3)
    draining = ['counter-desk-00a', 'counter-desk-05b', 'payout-run-03a']
    await run.cluster.change(Change(draining, {'is_draining': True}))
    await sleep(run.duration_s * 0.4)
    await run.cluster.change(Change(draining, {'is_draining': False}))


async def reindex(run: Run) -> None:
    """Roll out two index versions, then repartition.

    Each version goes to all replicas `a` first, then to all replicas `b`.
    """
    pause_s = run.duration_s * 0.08
    for version in (2, 3):
        for replica_suffix in 'ab':
            await sleep(pause_s)
            await _roll_index_version(run.cluster, version, replica_suffix)
    await sleep(pause_s)
    await _repartition(run.cluster, 4, 'p2', 16)


async def _roll_index_version(
    cluster: Cluster, version: int, replica_suffix: str
) -> None:
    inventory = cluster.deployment.inventory
    for service in inventory.services:
        for searcher in inventory.searchers:
            is_replica_selected = searcher.id.endswith(replica_suffix)
            if searcher.service != service.id or not searcher.shard:
                continue
            if not is_replica_selected:
                continue
            range_by_shard = {
                shard.id: KeyRange(shard.first, shard.last)
                for shard in service.shards
            }
            holding = Holding(
                Snapshot(version, 'p1'), range_by_shard[searcher.shard]
            )
            await cluster.change(Change([searcher.id], holdings=[holding]))


async def _repartition(
    cluster: Cluster, version: int, partitioning: str, shard_count: int
) -> None:
    """Repartition counter-desk into fewer shards.

    Each upstream holds both partitionings before it drops the old one.
    """
    ranges = [
        KeyRange(
            index * KEY_SPACE // shard_count,
            (index + 1) * KEY_SPACE // shard_count - 1,
        )
        for index in range(shard_count)
    ]
    inventory = cluster.deployment.inventory
    old_range_by_shard = {
        shard.id: KeyRange(shard.first, shard.last)
        for service in inventory.services
        if service.id == 'counter-desk'
        for shard in service.shards
    }
    searchers = [
        searcher
        for searcher in inventory.searchers
        if searcher.service == 'counter-desk'
    ]
    for number, searcher in enumerate(searchers):
        new = Holding(
            Snapshot(version, partitioning), ranges[number // 2 % shard_count]
        )
        old = Holding(
            Snapshot(version - 1, 'p1'), old_range_by_shard[searcher.shard]
        )
        await cluster.change(Change([searcher.id], holdings=[old, new]))
    await sleep(0.5)
    for number, searcher in enumerate(searchers):
        new = Holding(
            Snapshot(version, partitioning), ranges[number // 2 % shard_count]
        )
        await cluster.change(Change([searcher.id], holdings=[new]))


async def slow_service(run: Run) -> None:
    """Make each search take 80 ms, so that the slots limit the throughput."""
    await run.cluster.change(Change(behaviour={'service_s': 0.08}))


async def silence_connections(run: Run) -> None:
    """Silence half of the open upstream connections at the same time."""
    await sleep(run.duration_s * 0.4)
    await run.cluster.change(Change(turn='silent', silent_share=0.5))


async def set_restart_delay(run: Run) -> None:
    """Make crashed upstreams restart after 1 s."""
    await run.cluster.change(Change(behaviour={'restart_s': 1.0}))


async def evacuate_domain(run: Run) -> None:
    """Take a failure domain out of service, then bring it back.

    Records how many sub-queries its upstreams run later than 3 s after it
    was taken out.
    """
    await sleep(run.duration_s * 0.2)
    await _set_domains_out(run.cluster, ['pl-north'])
    await sleep(3)
    ran_before = await run.cluster.ran_in_domain(0)
    await sleep(run.duration_s * 0.25)
    run.notes['new_work_after_3s'] = (
        await run.cluster.ran_in_domain(0) - ran_before
    )
    await _set_domains_out(run.cluster, [])


async def _set_domains_out(cluster: Cluster, domains: list[str]) -> None:
    accepted = await cluster.store.read()
    rules = replace(accepted.rules, failure_domains_out=domains)
    await cluster.store.apply(accepted.inventory, rules, accepted)


async def freeze_domain(run: Run) -> None:
    """Suspend the processes of a failure domain without notice, then resume."""
    await sleep(run.duration_s * 0.3)
    run.cluster.freeze_domain(0)
    await sleep(run.duration_s * 0.3)
    run.cluster.thaw_domain(0)


async def restart_all(run: Run) -> None:
    """Gracefully restart both daemons of each VM, one VM at a time."""
    await sleep(2)
    codes: list[int] = []
    for vm in run.cluster.vms:
        codes.extend(await run.cluster.stop_vm(vm))
        await run.cluster.start_vm(vm)
        await run.cluster.wait_ready([vm])
    run.notes['bad_exit_codes'] = sum(1 for code in codes if code)
    run.notes['restarts'] = len(codes)


async def kill_vm(run: Run) -> None:
    """Kill both daemons of a VM without notice, then start them again."""
    await sleep(run.duration_s * 0.3)
    vm = run.cluster.vms[1]
    await run.cluster.stop_vm(vm, is_killed=True)
    await sleep(run.duration_s * 0.2)
    await run.cluster.start_vm(vm)


async def platform_outage(run: Run) -> None:
    """Take the platform down and restart a VM, then delay and lose replies."""
    await sleep(run.duration_s * 0.15)
    await run.cluster.set_platform_faults(PlatformFaults(is_down=True))
    await sleep(run.duration_s * 0.15)
    vm = run.cluster.vms[0]
    await run.cluster.stop_vm(vm)
    await run.cluster.start_vm(vm)
    await run.cluster.wait_ready([vm])
    await run.cluster.set_platform_faults(
        PlatformFaults(delay_s=0.2, lost_reply_share=0.3)
    )
    await sleep(run.duration_s * 0.15)
    await run.cluster.set_platform_faults(PlatformFaults())


_SCENARIOS = (
    Scenario(
        'steady',
        'the registry at regular load',
        registry,
        registry_mix,
        40,
        15,
        inject_no_faults,
    ),
    Scenario(
        'straggler',
        'one request in fifty is slow',
        registry,
        registry_mix,
        40,
        15,
        add_stragglers,
    ),
    Scenario(
        'cold',
        'upstreams become cold without notice',
        registry,
        registry_mix,
        40,
        20,
        make_upstreams_cold,
    ),
    Scenario(
        'drain',
        'upstreams drain',
        registry,
        registry_mix,
        40,
        15,
        drain_upstreams,
    ),
    Scenario(
        'reindex',
        'index rollouts and a repartition',
        registry,
        registry_mix,
        40,
        20,
        reindex,
    ),
    Scenario(
        'overload',
        'twice the load that the slots can serve',
        association,
        association_mix,
        80,
        15,
        inject_no_faults,
        slow_service,
    ),
    Scenario(
        'capacity',
        'the load that the slots can serve',
        association,
        association_mix,
        40,
        15,
        inject_no_faults,
        slow_service,
    ),
    Scenario(
        'poison',
        'a request that crashes upstreams',
        registry,
        poison_mix,
        40,
        20,
        set_restart_delay,
    ),
    Scenario(
        'silent',
        'open connections stop carrying traffic',
        registry,
        registry_mix,
        40,
        15,
        silence_connections,
    ),
    Scenario(
        'domain',
        'a failure domain is taken out and brought back',
        registry,
        registry_mix,
        40,
        25,
        evacuate_domain,
    ),
    Scenario(
        'freeze',
        'the processes of a failure domain are suspended',
        registry,
        registry_mix,
        40,
        25,
        freeze_domain,
    ),
    Scenario(
        'rolling',
        'every VM restarts in turn',
        registry,
        registry_mix,
        30,
        50,
        restart_all,
    ),
    Scenario(
        'kill',
        'both daemons of a VM are killed',
        registry,
        registry_mix,
        40,
        20,
        kill_vm,
    ),
    Scenario(
        'platform',
        'the platform fails and loses replies',
        registry,
        registry_mix,
        30,
        25,
        platform_outage,
    ),
)
SCENARIO_BY_NAME = {scenario.name: scenario for scenario in _SCENARIOS}
