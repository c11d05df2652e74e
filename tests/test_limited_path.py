"""End-to-end test of limited upstreams with three routers, on loopback."""

from asyncio import create_task, gather, get_running_loop, run, sleep
from dataclasses import dataclass, field
from random import Random

from msgspec import to_builtins
from testtools import TestCase

from sesametrack.contracts.router_settings import (
    RetrySettings,
    RouterSettings,
)
from sesametrack.programs.router import Router
from sesametrack.vms.coordinator import LeaseClaim
from standins.object_store import ObjectStoreStandin
from standins.searcher import SearcherStandin
from tests.test_wide_path import send_request

_HOST = '127.1.6.100'
_STORE_PORT = 9600
_CALLERS_PORT = 9601
_READY_PORT = 9602
_METRICS_PORT = 9603
_FIRST_SEARCHER_PORT = 9620
_VM_COUNT = 3
_WAIT_ATTEMPTS = 300
_POLL_INTERVAL_S = 0.02
_LIMIT_PER_S = 5
_WINDOW_S = 4
_LOAD_PER_S = 60


def make_state() -> dict:
    """Return a desired state with one route to two searchers."""
    return {
        'config_version': 1,
        'routes': [
            {
                'name': 'read',
                'host': 'desk.example',
                'path_prefix': '/read/',
                'route_kind': 'idempotent',
                'timeout_ms': 1500,
                'target_latency_ms': 300,
                'max_attempts': 2,
                'service': 'ledger',
            }
        ],
        'services': [{'name': 'ledger', 'max_conns': 40}],
    }


@dataclass
class Fleet:
    """An object store, two searchers and three routers."""

    store: ObjectStoreStandin = field(
        default_factory=lambda: ObjectStoreStandin(_HOST, _STORE_PORT)
    )
    searchers: list[SearcherStandin] = field(default_factory=list)
    routers: list[Router] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    rng: Random = field(default_factory=lambda: Random(6))

    async def start(self) -> None:
        """Start all services; raise AssertionError if not ready in time."""
        await self.store.start()
        for number in range(2):
            searcher = SearcherStandin(
                _HOST, _FIRST_SEARCHER_PORT + number, f'i-{number}', 'ledger'
            )
            self.searchers.append(searcher)
            await searcher.start()
            await self.store.put('servers', searcher.id, searcher.entry)
        await self.store.put('config', 'main', make_state())
        # Without a former lease the first coordinator would wait until the
        # store can't have lost one in a restore.
        released = LeaseClaim(
            'vm-0', 'x:1', 1, is_released=True, era=self.store.era
        )
        await self.store.put(
            'sesametrack-coordinators', 'upstream-rates', to_builtins(released)
        )
        for number in range(_VM_COUNT):
            address = self.address_of(number)
            settings = RouterSettings(
                f'vm-{number}',
                'north',
                address,
                f'{address}:{_CALLERS_PORT}',
                f'{address}:{_READY_PORT}',
                f'{_HOST}:{_STORE_PORT}',
                _METRICS_PORT,
                retries=RetrySettings(2, 10, 1000),
            )
            self.routers.append(Router(settings, 'none'))
        await gather(*(router.start() for router in self.routers))
        for _ in range(_WAIT_ATTEMPTS):
            if all(router.is_ready for router in self.routers):
                return
            await sleep(_POLL_INTERVAL_S)
        raise AssertionError('routers were not ready in time')

    async def close(self) -> None:
        """Stop the routers and all services."""
        for router in self.routers:
            await router.close()
        for searcher in self.searchers:
            await searcher.close()
        await self.store.close()

    def address_of(self, number: int) -> str:
        """Return the address of a VM."""
        return f'127.1.6.{number + 1}'

    async def send_requests(self, duration_s: float) -> None:
        """Send requests to random routers, and keep the statuses."""
        loop = get_running_loop()
        until = loop.time() + duration_s
        tasks = []
        while loop.time() < until:
            tasks.append(create_task(self.send_one(len(self.statuses))))
            await sleep(self.rng.expovariate(_LOAD_PER_S))
        await gather(*tasks)

    async def send_one(self, number: int) -> None:
        """Send one request."""
        address = self.address_of(self.rng.randrange(_VM_COUNT))
        request_id = f'p{number}-{self.rng.randrange(1 << 30)}'
        response = await send_request(
            address, _CALLERS_PORT, '/read/x', request_id
        )
        self.statuses.append(response.status)

    def seen_counts(self) -> list[int]:
        """Return how many requests each searcher has received."""
        return [len(searcher.seen) for searcher in self.searchers]


class LimitedPathTest(TestCase):
    """Routers keep to a limit that a searcher states in its replies."""

    # Guards against routers that send on as if no limit had been stated.
    def test_whole_path(self) -> None:
        """Run all checks in sequence on one fleet."""
        run(self.run_checks(Fleet()))

    async def run_checks(self, fleet: Fleet) -> None:
        """Start the fleet, run the checks in order and stop it."""
        try:
            await fleet.start()
            await self.check_one_limited(fleet)
            await self.check_both_limited(fleet)
            await self.check_end(fleet)
        finally:
            await fleet.close()

    async def check_one_limited(self, fleet: Fleet) -> None:
        """Check that the other searcher takes the rest, without errors."""
        fleet.searchers[0].plan.limit_per_s = _LIMIT_PER_S
        await fleet.send_requests(1)
        fleet.statuses.clear()
        before = fleet.seen_counts()
        await fleet.send_requests(_WINDOW_S)
        after = fleet.seen_counts()
        self.assertLessEqual(after[0] - before[0], _allowed())
        self.assertEqual({200}, set(fleet.statuses))

    async def check_both_limited(self, fleet: Fleet) -> None:
        """Check that both get what they take, and the rest is refused."""
        fleet.searchers[1].plan.limit_per_s = _LIMIT_PER_S
        await fleet.send_requests(1)
        fleet.statuses.clear()
        before = fleet.seen_counts()
        await fleet.send_requests(_WINDOW_S)
        after = fleet.seen_counts()
        for count_before, count_after in zip(before, after, strict=True):
            self.assertLessEqual(count_after - count_before, _allowed())
        self.assertEqual({200, 503}, set(fleet.statuses))
        served = fleet.statuses.count(200)
        self.assertGreater(served, _LIMIT_PER_S * _WINDOW_S)

    async def check_end(self, fleet: Fleet) -> None:
        """Check that the searchers get all requests after the limit's end."""
        for searcher in fleet.searchers:
            searcher.plan.limit_per_s = None
        await fleet.send_requests(2)
        fleet.statuses.clear()
        await fleet.send_requests(1)
        self.assertEqual({200}, set(fleet.statuses))


def _allowed() -> float:
    return 1.5 * _LIMIT_PER_S * _WINDOW_S + 5
