"""Scenarios: a load, and what happens to the cluster during it."""

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

_ACTION_SHARE = 0.05
_FIRST_SERVICE_SHARE = 0.8
_FIRST_KILLER = 120
_KILLER_PERIOD = 40


@dataclass(slots=True)
class Run:
    """A running scenario, as its script sees it."""

    cluster: Cluster
    rng: Random
    duration: float
    notes: dict[str, float | int | str] = field(default_factory=dict)


Script = Callable[[Run], Awaitable[None]]
Source = Callable[[int], Question]


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario; `rate` is in requests a second, `duration` in seconds.

    `prepare` runs before the warm-up, `script` during the load.
    """

    name: str
    purpose: str
    make_deployment: Callable[[], Deployment]
    make_source: Callable[[Random], Source]
    rate: float
    duration: float
    script: Script
    prepare: Script | None = None


def registry_mix(rng: Random) -> Source:
    """Heir lookups over all shards, and some payout actions."""
    return _make_mix(rng, ('counter-desk', 'payout-run'), 'card-view', 1)


def association_mix(rng: Random) -> Source:
    """Parts searches over all shards, and some orders."""
    return _make_mix(rng, ('parts-finder', 'guild-roster'), 'repair-ledger', 1)


def _make_mix(
    rng: Random, sharded: tuple[str, str], whole: str, deadline_s: float
) -> Source:
    run_id = f'{rng.getrandbits(32):08x}'

    def make_question(number: int) -> Question:
        nonce = f'{run_id}-{number}'
        if rng.random() < _ACTION_SHARE:
            query = {'nonce': nonce, 'action': nonce}
            return Question(
                whole, nonce, query, deadline_s, is_repeatable=False
            )
        service = (
            sharded[0] if rng.random() < _FIRST_SERVICE_SHARE else sharded[1]
        )
        return Question(service, nonce, {'nonce': nonce}, deadline_s)

    return make_question


def poison_mix(rng: Random) -> Source:
    """The registry's mix, with one killer request sent again and again.

    The killer begins after a second of the load, so that the warm-up, which
    is shorter, does not convict it.
    """
    ordinary = registry_mix(rng)

    def make_question(number: int) -> Question:
        if number < _FIRST_KILLER or number % _KILLER_PERIOD:
            return ordinary(number)
        query = {'nonce': 'killer', 'poison': True}
        return Question(
            'counter-desk',
            f'killer-{number}',
            query,
            1,
            entry=number // _KILLER_PERIOD,
        )

    return make_question


async def idle(run: Run) -> None:
    """Let the load run by itself."""


async def straggle(run: Run) -> None:
    """Let one request in fifty take twenty-five times as long."""
    await run.cluster.change(Change(behaviour={'straggler_share': 0.02}))


async def turn_cold(run: Run) -> None:
    """Turn every upstream of a failure domain cold, and some by restart."""
    await sleep(run.duration * 0.25)
    await run.cluster.change_domain(0, Change(turn='cold'))
    await sleep(run.duration * 0.25)
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
    """Let upstreams leave, each told of in another way."""
    await sleep(run.duration * 0.3)
    leaving = ['counter-desk-00a', 'counter-desk-05b', 'payout-run-03a']
    await run.cluster.change(Change(leaving, {'is_draining': True}))
    await sleep(run.duration * 0.4)
    await run.cluster.change(Change(leaving, {'is_draining': False}))


async def reindex(run: Run) -> None:
    """Roll index versions replica by replica, then repartition."""
    pause = run.duration * 0.08
    for version in (2, 3):
        for letter in 'ab':
            await sleep(pause)
            await _roll(run.cluster, version, letter)
    await sleep(pause)
    await _repartition(run.cluster, 4, 'p2', 16)


async def _roll(cluster: Cluster, version: int, letter: str) -> None:
    inventory = cluster.deployment.inventory
    for service in inventory.services:
        for searcher in inventory.searchers:
            is_due = searcher.id.endswith(letter)
            if searcher.service != service.id or not searcher.shard:
                continue
            if not is_due:
                continue
            shards = {
                shard.id: KeyRange(shard.first, shard.last)
                for shard in service.shards
            }
            held = Holding(Snapshot(version, 'p1'), shards[searcher.shard])
            await cluster.change(Change([searcher.id], holdings=[held]))


async def _repartition(
    cluster: Cluster, version: int, partitioning: str, parts: int
) -> None:
    """Cut counter-desk into fewer shards; both layouts overlap in time."""
    ranges = [
        KeyRange(
            index * KEY_SPACE // parts, (index + 1) * KEY_SPACE // parts - 1
        )
        for index in range(parts)
    ]
    inventory = cluster.deployment.inventory
    old = {
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
            Snapshot(version, partitioning), ranges[number // 2 % parts]
        )
        former = Holding(Snapshot(version - 1, 'p1'), old[searcher.shard])
        await cluster.change(Change([searcher.id], holdings=[former, new]))
    await sleep(0.5)
    for number, searcher in enumerate(searchers):
        new = Holding(
            Snapshot(version, partitioning), ranges[number // 2 % parts]
        )
        await cluster.change(Change([searcher.id], holdings=[new]))


async def slow_service(run: Run) -> None:
    """Make each search take 80 ms, so that slots bound the throughput."""
    await run.cluster.change(Change(behaviour={'service_s': 0.08}))


async def turn_silent(run: Run) -> None:
    """Let half of all open upstream connections go silent at once."""
    await sleep(run.duration * 0.4)
    await run.cluster.change(Change(turn='silent', silent_share=0.5))


async def poison_setup(run: Run) -> None:
    """Let crashed upstreams come back after a second."""
    await run.cluster.change(Change(behaviour={'restart_s': 1.0}))


async def domain_out_and_back(run: Run) -> None:
    """Take a failure domain out, hold, and bring it back."""
    await sleep(run.duration * 0.2)
    await _set_domains_out(run.cluster, ['pl-north'])
    await sleep(3)
    before = await run.cluster.ran_in_domain(0)
    await sleep(run.duration * 0.25)
    run.notes['new_work_after_3s'] = await run.cluster.ran_in_domain(0) - before
    await _set_domains_out(run.cluster, [])


async def _set_domains_out(cluster: Cluster, domains: list[str]) -> None:
    accepted = await cluster.store.read()
    rules = replace(accepted.rules, failure_domains_out=domains)
    await cluster.store.apply(accepted.inventory, rules, accepted)


async def freeze_domain(run: Run) -> None:
    """Cut a failure domain off without a word, then let it back."""
    await sleep(run.duration * 0.3)
    run.cluster.freeze_domain(0)
    await sleep(run.duration * 0.3)
    run.cluster.thaw_domain(0)


async def restart_all(run: Run) -> None:
    """Restart every VM in turn, gracefully."""
    await sleep(2)
    codes: list[int] = []
    for vm in run.cluster.vms:
        codes.extend(await run.cluster.stop_vm(vm))
        await run.cluster.start_vm(vm)
        await run.cluster.wait_ready([vm])
    run.notes['bad_exit_codes'] = sum(1 for code in codes if code)
    run.notes['restarts'] = len(codes)


async def kill_one(run: Run) -> None:
    """Kill both daemons of a VM without warning, and start them again."""
    await sleep(run.duration * 0.3)
    vm = run.cluster.vms[1]
    await run.cluster.stop_vm(vm, is_killed=True)
    await sleep(run.duration * 0.2)
    await run.cluster.start_vm(vm)


async def platform_outage(run: Run) -> None:
    """Take the platform down, restart a VM meanwhile, then make it lossy."""
    await sleep(run.duration * 0.15)
    await run.cluster.set_platform_faults(PlatformFaults(is_down=True))
    await sleep(run.duration * 0.15)
    vm = run.cluster.vms[0]
    await run.cluster.stop_vm(vm)
    await run.cluster.start_vm(vm)
    await run.cluster.wait_ready([vm])
    await run.cluster.set_platform_faults(
        PlatformFaults(delay_s=0.2, lost_reply_share=0.3)
    )
    await sleep(run.duration * 0.15)
    await run.cluster.set_platform_faults(PlatformFaults())


_ALL = (
    Scenario(
        'steady',
        'the registry at an ordinary load',
        registry,
        registry_mix,
        40,
        15,
        idle,
    ),
    Scenario(
        'straggler',
        'one request in fifty is slow',
        registry,
        registry_mix,
        40,
        15,
        straggle,
    ),
    Scenario(
        'cold',
        'upstreams turn cold without warning',
        registry,
        registry_mix,
        40,
        20,
        turn_cold,
    ),
    Scenario(
        'drain',
        'upstreams leave',
        registry,
        registry_mix,
        40,
        15,
        drain_upstreams,
    ),
    Scenario(
        'reindex',
        'index versions roll, and a repartition',
        registry,
        registry_mix,
        40,
        20,
        reindex,
    ),
    Scenario(
        'overload',
        'twice what the slots can carry',
        association,
        association_mix,
        80,
        15,
        idle,
        slow_service,
    ),
    Scenario(
        'capacity',
        'what the slots can carry',
        association,
        association_mix,
        40,
        15,
        idle,
        slow_service,
    ),
    Scenario(
        'poison',
        'a request that crashes upstreams',
        registry,
        poison_mix,
        40,
        20,
        poison_setup,
    ),
    Scenario(
        'silent',
        'open connections go silent',
        registry,
        registry_mix,
        40,
        15,
        turn_silent,
    ),
    Scenario(
        'domain',
        'a failure domain out and back',
        registry,
        registry_mix,
        40,
        25,
        domain_out_and_back,
    ),
    Scenario(
        'freeze',
        'a failure domain is cut off',
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
    Scenario('kill', 'a VM dies', registry, registry_mix, 40, 20, kill_one),
    Scenario(
        'platform',
        'the platform fails',
        registry,
        registry_mix,
        30,
        25,
        platform_outage,
    ),
)
SCENARIO_BY_NAME = {scenario.name: scenario for scenario in _ALL}
