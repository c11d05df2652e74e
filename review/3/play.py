"""The answer of one watch of `config` is lost; the store is sound otherwise."""

import asyncio
from time import monotonic

from case import TROUBLE, run_case
from config import make_config
from wire import send_request
from routers import Router, free_network, wait_until_ready
from searcher import Searcher
from store import Store

ZONES = ('pl-north', 'pl-harbour', 'pl-plaine')
OLD, NEW = 'card-view', 'audit-trail'
# The longest and the strongest `platform_lost` of the site file.
LOSS_S, LOSS_SHARE = 4.5, 0.35
# `config_apply_ms` and `stable_window_ms`.
APPLY_S, STABLE_S = 3.0, 4.0
# The VM whose watch gets no answer.
VICTIM = 2


async def send_forever(router, sent):
    """Send a request every 50 ms, each on a new connection."""
    number = 0
    tasks = set()
    while True:
        number += 1
        request_id = f'r{router.number}-{number}'
        tasks.add(asyncio.create_task(_send(router, request_id, sent)))
        tasks = {task for task in tasks if not task.done()}
        await asyncio.sleep(0.05)


async def _send(router, request_id, sent):
    sent_at = monotonic()
    status, _ = await send_request(
        router.callers, '/card/1', request_id, 2500
    )
    sent[request_id] = (sent_at, router.number, status)


async def play(record, folder):
    network = free_network()
    store = Store(f'{network}.200')
    runs, sent = [], {}
    routers = [
        Router(network, number, zone, folder)
        for number, zone in enumerate(ZONES, 1)
    ]
    searchers = [
        Searcher(
            store, runs, f'i-{service}-{number}', service, zone,
            (f'{network}.200', 8200 + 10 * index + number),
        )
        for index, service in enumerate((OLD, NEW))
        for number, zone in enumerate(ZONES)
    ]
    clients = []
    try:
        for router in routers:
            await store.listen(8110 + router.number, router.number)
        for searcher in searchers:
            await searcher.start()
        await store.put('config', 'main', make_config(1, OLD, (OLD, NEW)))
        for router in routers:
            router.start(is_first=True)
        await wait_until_ready(routers)
        clients = [
            asyncio.create_task(send_forever(router, sent))
            for router in routers
        ]
        await asyncio.sleep(6)
        acked_at = await store.put('config', 'main', make_config(5, OLD, (OLD, NEW)))
        record.add('version 5 acknowledged: the route leads to the same', acked_at)
        await asyncio.sleep(1)
        loss_from = monotonic()
        loss_until = loss_from + LOSS_S
        if TROUBLE:
            record.add('the store begins to lose answers')
            store.loses_answer = lambda vm, kind, has_events: (
                monotonic() < loss_until
                and (vm, kind, has_events) == (VICTIM, 'config', True)
            )
        await asyncio.sleep(1)
        acked_at = await store.put('config', 'main', make_config(9, NEW, (OLD, NEW)))
        record.add(f'version 9 acknowledged: the route leads to {NEW}', acked_at)
        await asyncio.sleep(max(0, loss_until - monotonic()))
        if TROUBLE:
            record.add('the store loses no more answers')
        await asyncio.sleep(16)
        for client in clients:
            client.cancel()
        await asyncio.sleep(1)
    finally:
        for client in clients:
            client.cancel()
        for router in routers:
            router.kill()
        for searcher in searchers:
            await searcher.close()
        await store.close()
    return judge(record, store, sent, runs, acked_at, loss_from, loss_until)


def judge(record, store, sent, runs, acked_at, loss_from, loss_until):
    """Count requests that were handled as only the older version allows."""
    in_loss = [
        one for one in store.answers if loss_from <= one[0] <= loss_until
    ]
    lost = sum(one[3] == 'lost' for one in in_loss)
    record.add(
        f'while answers were lost: {len(in_loss)} answers of the store to all '
        f'machines, of which {lost} lost'
    )
    if TROUBLE and not 0 < lost <= LOSS_SHARE * len(in_loss):
        raise RuntimeError('the disruption was not as planned')
    # Machines are in touch again once the store was stable for the window.
    counted_from = acked_at + APPLY_S
    if TROUBLE:
        counted_from = max(counted_from, loss_until + STABLE_S)
    record.add('from here on requests are judged', counted_from)
    stale = []
    for run_at, request_id, _, service, searcher in runs:
        sent_at, vm, status = sent.get(request_id, (0, 0, 0))
        record.add(
            f'{request_id} sent {run_at - sent_at:.3f} s before, run by '
            f'{searcher}, answered {status}',
            run_at,
        )
        if service == OLD and sent_at > counted_from:
            stale.append((sent_at, vm))
    judged = sum(sent_at > counted_from for sent_at, _, _ in sent.values())
    verdict = (
        f'CONFIG: {len(stale)} of {judged} judged requests were run by the '
        f'service that only older versions allow'
    )
    if stale:
        verdict += (
            f', by machine {sorted({vm for _, vm in stale})}, sent up to '
            f'{max(stale)[0] - acked_at:.1f} s after the acknowledgement'
        )
    return verdict, bool(stale)


run_case(play, '.')
