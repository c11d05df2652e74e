"""A zone is cut off from the searchers; afterwards clients leave early."""

from asyncio import create_task, gather, get_running_loop, sleep
from pathlib import Path

from rig.case import Case, NotRunError, play
from rig.client import Client
from rig.deployment import (
    HOST,
    Deployment,
    gather_route,
    single_route,
)

_SHARDS = [f'counter-desk-{number}' for number in range(20)]
_CARDS = 'card-view'
# All three machines are in the zone that is cut off.
_MACHINES = (3, 0, 0)
_ZONES_WITH_SEARCHERS = ('pl-harbour', 'pl-plaine')
_CUTS = 2
_CUT_S = 5.5
_QUERIES_PER_S = 60
_LEAVING = 36
_LEAVE_AFTER_S = 0.1
# Between two clients that leave.
_SPACING_S = 0.04
_WORK_S = 1.5
# The rule: searchers are still at work half a second after the client left, on
# more than a quarter of the requests that would have lasted so long.
_GRACE_S = 0.5
_MOST = 0.25


async def _query(deployment: Deployment, number: int, name: str) -> int:
    router = deployment.routers[number % len(deployment.routers)]
    client = Client(router.address)
    try:
        outcome = await client.ask(
            f'{name}-{number:03d}',
            f'/heirs/{name}-{number}',
            host=HOST,
            limit_s=0.8,
        )
    except OSError:
        return 0
    finally:
        client.close()
    deployment.case.record(
        f'{outcome.request_id} at {router.vm}: {outcome.end} '
        f'{outcome.status} after {outcome.took_s * 1000:.0f} ms'
    )
    return outcome.status


async def _query_for(
    deployment: Deployment, name: str, seconds: float
) -> list[int]:
    tasks = []
    rng = deployment.case.rng
    until = get_running_loop().time() + seconds
    while get_running_loop().time() < until:
        number = rng.randrange(1_000_000)
        tasks.append(create_task(_query(deployment, number, name)))
        await sleep(rng.expovariate(_QUERIES_PER_S))
    return await gather(*tasks)


async def _leave(deployment: Deployment, number: int) -> tuple[str, float]:
    """Ask for a card, and close the connection early; return the moment."""
    await sleep(number * _SPACING_S)
    router = deployment.routers[number % len(deployment.routers)]
    client = Client(router.address)
    request_id = f'card-{number:03d}'
    outcome = await client.ask(
        request_id,
        f'/cards/{number}',
        host=HOST,
        limit_s=4,
        leave_after_s=_LEAVE_AFTER_S,
    )
    return request_id, outcome.ended_at


async def _play(case: Case) -> bool:
    deployment = Deployment(case)
    for service in _SHARDS:
        for zone in _ZONES_WITH_SEARCHERS:
            deployment.add_searcher(service, zone)
    for zone in _ZONES_WITH_SEARCHERS * 2:
        deployment.add_searcher(_CARDS, zone, slots=9, work_s=_WORK_S)
    await deployment.start_searchers()
    await deployment.configure(
        [
            gather_route('heirs', '/heirs/', _SHARDS),
            single_route(
                'cards',
                '/cards/',
                _CARDS,
                timeout_ms=4000,
                target_latency_ms=2000,
            ),
        ]
    )
    await deployment.start_routers(_MACHINES)
    await sleep(3)
    statuses = await _query_for(deployment, 'before', 3)
    if statuses.count(200) < len(statuses) / 2:
        raise NotRunError('the queries before the cut were not served')
    for _ in range(_CUTS):
        if case.has_trouble:
            case.record('the zone is cut off')
            for searcher in deployment.searchers:
                await searcher.cut_off()
        await _query_for(deployment, 'during', _CUT_S)
        if case.has_trouble:
            for searcher in deployment.searchers:
                await searcher.reconnect()
            case.record('the zone is back')
        # The machines are in touch 4 s later.
        await _query_for(deployment, 'after', 7)
    left_at = dict(
        await gather(*(_leave(deployment, one) for one in range(_LEAVING)))
    )
    await sleep(_WORK_S + 0.5)
    now = get_running_loop().time()
    lasting = 0
    at_work = 0
    for searcher in deployment.of(_CARDS):
        for run in searcher.runs:
            checked_at = left_at[run.request_id] + _GRACE_S
            if run.began_at + run.work_s <= checked_at:
                continue
            lasting += 1
            is_at_work = (run.ended_at or now) > checked_at
            at_work += is_at_work
            case.record(
                f'{run.request_id} at {searcher.id}: worked for '
                f'{(run.ended_at or now) - left_at[run.request_id]:.2f} s '
                f'after the client had left'
            )
    case.record(f'{at_work} of {lasting} are at work {_GRACE_S} s later')
    for router in deployment.routers:
        for error in router.errors()[:3]:
            case.record(f'{router.vm}: {error}')
    await deployment.close()
    if lasting < _LEAVING / 2:
        raise NotRunError('too few requests were at work')
    return at_work <= _MOST * lasting


if __name__ == '__main__':
    play(Path(__file__).parent, _play)
