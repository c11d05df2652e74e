"""A small deployment: its searchers, its routers and its desired state."""

from asyncio import gather, sleep
from typing import Any

from rig.case import Case, Router
from rig.searcher import Searcher
from rig.store import Store

HOST = 'pupu76.example'
ZONES = ('pl-north', 'pl-harbour', 'pl-plaine')
# Machines of each zone, as in the first small site.
MACHINES = (3, 1, 2)
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 262144,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}
CHECK_IN_S = 1.2


class Deployment:
    """Searchers, a store and routers of one case."""

    def __init__(self, case: Case) -> None:
        self.case = case
        host = case.new_host()
        self.store = Store(host, case.free_ports(host))
        self.searchers: list[Searcher] = []
        self.routers: list[Router] = []
        self.version = 7
        self._restarts = 0

    def add_searcher(self, service: str, zone: str, **fields: Any) -> Searcher:
        host = self.case.new_host()
        port = self.case.free_ports(host)
        searcher = Searcher(
            host, port, f'i-{len(self.searchers):04x}', service, zone, **fields
        )
        self.searchers.append(searcher)
        return searcher

    def of(self, service: str) -> list[Searcher]:
        """Return the searchers of a service."""
        return [one for one in self.searchers if one.service == service]

    async def start_searchers(self) -> None:
        await self.store.start()
        for searcher in self.searchers:
            await searcher.start()
            await self.store.put('servers', searcher.id, searcher.entry)

    async def configure(
        self,
        routes: list[dict[str, Any]],
        tenants: list[dict[str, Any]] | None = None,
        max_conns: int = 25,
        cold_per_s: float = 0,
    ) -> None:
        """Write a version of the desired state, as the operator does."""
        self.version += 2
        services = sorted({one.service for one in self.searchers})
        state: dict[str, Any] = {
            'config_version': self.version,
            'routes': routes,
            'services': [
                {
                    'name': name,
                    'health_path': '/health',
                    'max_conns': max_conns,
                    'protocol': 'h1',
                    'tls': False,
                    'cold_s': 3.0,
                    'cold_per_s': cold_per_s,
                }
                for name in services
            ],
            'limits': LIMITS,
        }
        if tenants is not None:
            state['tenants'] = tenants
        await self.store.put('config', 'main', state)
        self.case.record(f'desired state {self.version} is acknowledged')

    async def start_routers(
        self, machines: tuple[int, ...] = MACHINES, **settings: Any
    ) -> None:
        self.routers = [
            self.case.start_router(
                f'front-{zone}-{number + 1}',
                zone,
                self.store.address,
                **settings,
            )
            for zone, count in zip(ZONES, machines, strict=True)
            for number in range(count)
        ]
        await gather(*(one.wait_until_ready() for one in self.routers))

    async def crash(self, searchers: list[Searcher], down_s: float) -> None:
        """Kill searchers; others take their places after `down_s`.

        Their entries go after three check-in intervals of silence.
        """
        for searcher in searchers:
            self.case.record(f'{searcher.id} of {searcher.service} is killed')
            await searcher.crash()
        gone_s = min(down_s, 3 * CHECK_IN_S)
        await sleep(gone_s)
        for searcher in searchers:
            await self.store.remove('servers', searcher.id)
        await sleep(down_s - gone_s)
        for searcher in searchers:
            self._restarts += 1
            searcher.id = f'i-r{self._restarts:03x}'
            searcher.born += 60_000
            await searcher.start()
            await self.store.put('servers', searcher.id, searcher.entry)
            self.case.record(f'{searcher.id} of {searcher.service} is up')

    def record_runs(self, request_ids: list[str]) -> None:
        """Record at how many searchers each of some requests has run."""
        runs = [run.request_id for one in self.searchers for run in one.runs]
        for request_id in request_ids:
            self.case.record(
                f'{request_id} has run at {runs.count(request_id)} searchers'
            )

    async def close(self) -> None:
        for searcher in self.searchers:
            await searcher.close()
        await self.store.close()


def gather_route(
    name: str, prefix: str, shards: list[str], **fields: Any
) -> dict[str, Any]:
    """Return a route whose requests go to all shards."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': prefix,
        'route_kind': 'idempotent',
        'timeout_ms': 800,
        'target_latency_ms': 92,
        'priority': 1,
        'gather': shards,
        'max_attempts': 2,
        'top_k': 20,
        'min_share': 0.89,
        **fields,
    }


def single_route(
    name: str, prefix: str, service: str, **fields: Any
) -> dict[str, Any]:
    """Return a route whose requests go to one searcher."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': prefix,
        'route_kind': 'idempotent',
        'timeout_ms': 2500,
        'target_latency_ms': 288,
        'priority': 2,
        'service': service,
        'max_attempts': 2,
        **fields,
    }
