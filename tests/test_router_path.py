"""The router's whole path on loopback, against the platform's stand-ins."""

from asyncio import open_connection, run, sleep
from dataclasses import dataclass, field

from testtools import TestCase

from sesametrack.contracts.router_settings import (
    RetrySettings,
    RouterSettings,
)
from sesametrack.links.http import HttpRequest
from sesametrack.links.http_client import HttpConnection
from sesametrack.programs.router import Router
from sesametrack.routing.merge import RECORD_BYTES
from standins.object_store import ObjectStoreStandin
from standins.searcher import SearcherStandin

_HOST = '127.1.3.1'
_STORE_PORT = 9300
_CALLERS_PORT = 9301
_READY_PORT = 9302
_METRICS_PORT = 9303
_FIRST_SEARCHER_PORT = 9310
_SHARDS = ('part-a', 'part-b', 'part-c')
_WAIT_STEPS = 200
_STEP_S = 0.02


def make_state(version: int, shards: tuple[str, ...] = _SHARDS) -> dict:
    """Make a desired state with a gather and two kinds of single routes."""
    common = {
        'host': 'desk.example',
        'timeout_ms': 1500,
        'target_latency_ms': 700,
        'priority': 1,
        'max_attempts': 2,
    }
    return {
        'config_version': version,
        'routes': [
            {
                **common,
                'name': 'all',
                'path_prefix': '/all/',
                'route_kind': 'idempotent',
                'gather': list(shards),
                'top_k': 4,
                'min_share': 0.6,
            },
            {
                **common,
                'name': 'act',
                'path_prefix': '/act/',
                'route_kind': 'non_idempotent',
                'service': 'part-a',
            },
            {
                **common,
                'name': 'read',
                'path_prefix': '/read/',
                'route_kind': 'idempotent',
                'service': 'part-a',
            },
        ],
        'services': [
            {'name': shard, 'max_conns': 40, 'health_path': '/health'}
            for shard in _SHARDS
        ],
        'limits': {'max_body_bytes': 1000},
    }


@dataclass
class Site:
    """A store, searchers and one router."""

    store: ObjectStoreStandin = field(
        default_factory=lambda: ObjectStoreStandin(_HOST, _STORE_PORT)
    )
    searchers: list[SearcherStandin] = field(default_factory=list)
    router: Router | None = None
    _requests: int = 0

    async def start(self) -> None:
        """Start everything and wait until the router is ready."""
        await self.store.start()
        for number, shard in enumerate(_SHARDS * 2):
            searcher = SearcherStandin(
                _HOST, _FIRST_SEARCHER_PORT + number, f'i-{number}', shard
            )
            self.searchers.append(searcher)
            await searcher.start()
            await self.store.put('servers', searcher.id, searcher.entry)
        await self.store.put('servers', 'forged', {'service': 7})
        await self.store.put('config', 'main', make_state(1))
        settings = RouterSettings(
            'vm-1',
            'north',
            _HOST,
            f'{_HOST}:{_CALLERS_PORT}',
            f'{_HOST}:{_READY_PORT}',
            f'{_HOST}:{_STORE_PORT}',
            _METRICS_PORT,
            retries=RetrySettings(2, 10, 100),
        )
        self.router = Router(settings, 'none')
        await self.router.start()
        await self.wait(lambda: self.status(_READY_PORT, '/'), 200)

    async def close(self) -> None:
        """Stop everything."""
        await self.router.close()
        for searcher in self.searchers:
            await searcher.close()
        await self.store.close()

    async def status(self, port: int, path: str) -> int:
        """Return the status of a GET."""
        http = HttpConnection(f'{_HOST}:{port}')
        await http.start(1)
        reply = await http.exchange(HttpRequest('GET', path, {}), 1)
        http.abort()
        return reply.status

    async def wait(self, ask, wanted: object) -> None:
        """Ask until the answer is as wanted."""
        for _ in range(_WAIT_STEPS):
            if await ask() == wanted:
                return
            await sleep(_STEP_S)
        raise AssertionError(f'not reached: {wanted}')

    async def ask(self, path: str, method: str = 'GET', body: bytes = b''):
        """Send a request as a caller; returns its id and the reply."""
        self._requests += 1
        request_id = f'q{self._requests}'
        reader, writer = await open_connection(_HOST, _CALLERS_PORT)
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: desk.example\r\n'
            f'Request-Id: {request_id}\r\nRequest-Deadline: 1500\r\n'
            f'Connection: close\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        writer.write(head.encode() + body)
        raw = await reader.read()
        writer.close()
        return request_id, Answer(raw)

    def of(self, service: str) -> list[SearcherStandin]:
        """Return the searchers of a service."""
        return [one for one in self.searchers if one.service == service]

    def ran(self, request_id: str) -> int:
        """Count the searchers that ran a request."""
        return sum(one.ran.count(request_id) for one in self.searchers)


class Answer:
    """A caller's view of an answer."""

    def __init__(self, raw: bytes) -> None:
        """Split the bytes."""
        head, _, self.body = raw.partition(b'\r\n\r\n')
        first, *lines = head.decode().split('\r\n')
        self.status = int(first.split(' ')[1])
        self.headers = {
            line.partition(':')[0].lower(): line.partition(':')[2].strip()
            for line in lines
        }


class RouterPathTest(TestCase):
    """One site lives through what the platform and its searchers do."""

    def test_whole_path(self) -> None:
        """Run all checks on one router."""
        run(self.live(Site()))

    async def live(self, site: Site) -> None:
        """Start the site, live through faults, and stop it."""
        try:
            await site.start()
            await self.check_gather(site)
            await self.check_single(site)
            await self.check_faults(site)
            await self.check_unrepeatable(site)
            await self.check_desired_state(site)
            await self.check_drain_and_evacuation(site)
            await self.check_store_outage(site)
            await self.check_lost_shard(site)
            await self.check_metrics(site)
        finally:
            await site.close()

    async def check_gather(self, site: Site) -> None:
        """The greatest records of all shards come with true digests."""
        request_id, answer = await site.ask('/all/x?y=1')
        self.assertEqual(200, answer.status)
        shards = [site.of(shard)[0] for shard in _SHARDS]
        parts = b''.join(shard.part(request_id) for shard in shards)
        records = sorted(
            (
                parts[start : start + RECORD_BYTES]
                for start in range(0, len(parts), RECORD_BYTES)
            ),
            reverse=True,
        )
        self.assertEqual(b''.join(records[:4]), answer.body)
        digests = answer.headers['part-stamps'].split(', ')
        self.assertEqual(
            sorted(shard.digest(request_id) for shard in shards),
            sorted(digests),
        )
        self.assertEqual('0', answer.headers['missing-parts'])

    async def check_single(self, site: Site) -> None:
        """A request reaches a searcher unchanged, and so does its answer."""
        request_id, answer = await site.ask('/act/a%20b?c=d', 'POST', b'body')
        searcher = site.of('part-a')[0]
        self.assertEqual(searcher.part(request_id), answer.body)
        self.assertEqual(
            searcher.digest(request_id), answer.headers['server-stamp']
        )
        seen = next(
            seen
            for one in site.of('part-a')
            for seen in one.seen
            if seen.request_id == request_id
        )
        self.assertEqual(
            ('POST', '/act/a%20b?c=d', b'body'),
            (seen.method, seen.path, seen.body),
        )
        _, unknown = await site.ask('/none/x')
        self.assertEqual(404, unknown.status)

    async def check_faults(self, site: Site) -> None:
        """Each fault of one replica is mended by the other one."""
        for fault in (
            'shed',
            'error',
            'reset',
            'extra',
            'cut',
            'unframed',
            'junk',
            'mute',
        ):
            for searcher in site.searchers[:3]:
                searcher.plan.fault = fault
                searcher.plan.faults_left = 1
            for path in ('/all/x', '/read/x', '/read/x'):
                _, answer = await site.ask(path)
                self.assertEqual(200, answer.status, fault)
            for searcher in site.searchers:
                searcher.plan.fault = ''

    async def check_unrepeatable(self, site: Site) -> None:
        """A request that may not be repeated is refused only if it is true."""
        for fault, status in (('reset', 502), ('error', 500), ('shed', 503)):
            for searcher in site.of('part-a'):
                searcher.plan.fault = fault
                searcher.plan.faults_left = None
            request_id, answer = await site.ask('/act/x', 'POST', b'b')
            self.assertEqual(status, answer.status)
            self.assertEqual(0 if fault == 'shed' else 1, site.ran(request_id))
            for searcher in site.of('part-a'):
                searcher.plan.fault = ''
        self.assertIn('retry-after', answer.headers)

    async def check_desired_state(self, site: Site) -> None:
        """A new version is in force soon; an older one never again."""
        await site.store.put('config', 'main', make_state(5, _SHARDS[:2]))

        async def parts() -> int:
            _, answer = await site.ask('/all/x')
            return len(answer.headers.get('part-stamps', '').split(','))

        await site.wait(parts, 2)
        await site.store.put('config', 'main', make_state(4))
        await sleep(0.5)
        self.assertEqual(2, await parts())
        await site.store.compact()
        await site.store.put('config', 'main', make_state(9))
        await site.wait(parts, 3)

    async def check_drain_and_evacuation(self, site: Site) -> None:
        """A searcher that drains and a domain that is out get no work."""
        draining = site.of('part-a')[0]
        entry = {**draining.entry, 'state': 'draining', 'sequence': 2}
        await site.store.put('servers', draining.id, entry)

        async def is_used() -> bool:
            before = len(draining.seen)
            for _ in range(4):
                await site.ask('/read/x')
            return len(draining.seen) > before

        await site.wait(is_used, wanted=False)
        back = {**draining.entry, 'sequence': 3}
        await site.store.put('servers', draining.id, back)
        await site.store.put('evacuations', 'north', {})

        async def status() -> int:
            _, answer = await site.ask('/read/x')
            return answer.status

        await site.wait(status, 503)
        await site.store.remove('evacuations', 'north')
        await site.wait(status, 200)

    async def check_store_outage(self, site: Site) -> None:
        """Without the store, requests are served from what is known."""
        site.store.refusal = 503
        await site.store.compact()
        await site.store.remove('servers', 'i-5')
        await sleep(0.3)
        for path in ('/all/x', '/read/x'):
            _, answer = await site.ask(path)
            self.assertEqual(200, answer.status)
        site.store.refusal = None

    async def check_lost_shard(self, site: Site) -> None:
        """A lost shard is left out and counted; too many are refused."""
        for searcher in site.of('part-c'):
            await searcher.close()

        async def missing() -> str:
            _, answer = await site.ask('/all/x')
            return answer.headers.get('missing-parts', '')

        await site.wait(missing, '1')
        for searcher in site.of('part-b'):
            await searcher.close()

        async def status() -> int:
            _, answer = await site.ask('/all/x')
            return answer.status

        await site.wait(status, 503)

    async def check_metrics(self, site: Site) -> None:
        """Counters and histograms are served as text."""
        http = HttpConnection(f'{_HOST}:{_METRICS_PORT}')
        await http.start(1)
        reply = await http.exchange(HttpRequest('GET', '/metrics', {}), 1)
        http.abort()
        text = reply.body.decode()
        self.assertIn('answers_whole_total', text)
        self.assertIn('answers_whole_time_ms{quantile="0.99"}', text)
