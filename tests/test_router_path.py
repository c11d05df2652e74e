"""End-to-end tests of one router on loopback, against stand-in services."""

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
_WAIT_ATTEMPTS = 200
_POLL_INTERVAL_S = 0.02


def make_state(version: int, shards: tuple[str, ...] = _SHARDS) -> dict:
    """Return a desired state with one gather route and two single routes."""
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
class Deployment:
    """An object store, two searchers for each shard and one router."""

    store: ObjectStoreStandin = field(
        default_factory=lambda: ObjectStoreStandin(_HOST, _STORE_PORT)
    )
    searchers: list[SearcherStandin] = field(default_factory=list)
    router: Router | None = None
    _request_count: int = 0

    async def start(self) -> None:
        """Start all services and wait until the router is ready."""
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
        await self.wait_until(lambda: self.get_status(_READY_PORT, '/'), 200)

    async def close(self) -> None:
        """Stop the router and all services."""
        await self.router.close()
        for searcher in self.searchers:
            await searcher.close()
        await self.store.close()

    async def get_status(self, port: int, path: str) -> int:
        """Return the status of the response to a GET request."""
        http = HttpConnection(f'{_HOST}:{port}')
        await http.start(1)
        reply = await http.exchange(HttpRequest('GET', path, {}), 1)
        http.abort()
        return reply.status

    async def wait_until(self, probe, expected: object) -> None:
        """Poll until `probe` returns the expected value.

        Raises AssertionError if it does not in time.
        """
        for _ in range(_WAIT_ATTEMPTS):
            if await probe() == expected:
                return
            await sleep(_POLL_INTERVAL_S)
        raise AssertionError(f'condition not reached: {expected}')

    async def send_request(
        self, path: str, method: str = 'GET', body: bytes = b''
    ):
        """Send a request as a caller; return its id and the response."""
        self._request_count += 1
        request_id = f'q{self._request_count}'
        reader, writer = await open_connection(_HOST, _CALLERS_PORT)
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: desk.example\r\n'
            f'Request-Id: {request_id}\r\nRequest-Deadline: 1500\r\n'
            f'Connection: close\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        writer.write(head.encode() + body)
        raw = await reader.read()
        writer.close()
        return request_id, CallerResponse(raw)

    def searchers_of(self, service: str) -> list[SearcherStandin]:
        """Return the searchers of a service."""
        return [one for one in self.searchers if one.service == service]

    def expected_body(self, path: str, request_id: str) -> bytes:
        """Return the whole answer of all shards, or of the first one."""
        shards = [self.searchers_of(shard)[0] for shard in _SHARDS]
        if path != '/all/x':
            return shards[0].part(request_id)
        records = b''.join(shard.part(request_id) for shard in shards)
        greatest = sorted(
            (
                records[start : start + RECORD_BYTES]
                for start in range(0, len(records), RECORD_BYTES)
            ),
            reverse=True,
        )
        return b''.join(greatest[:4])

    def run_count(self, request_id: str) -> int:
        """Return how often searchers ran a request."""
        return sum(one.ran.count(request_id) for one in self.searchers)


class CallerResponse:
    """The response that a caller received."""

    def __init__(self, raw: bytes) -> None:
        """Parse the bytes of a response."""
        head, _, self.body = raw.partition(b'\r\n\r\n')
        status_line, *header_lines = head.decode().split('\r\n')
        self.status = int(status_line.split(' ')[1])
        self.headers = {
            line.partition(':')[0].lower(): line.partition(':')[2].strip()
            for line in header_lines
        }


class RouterPathTest(TestCase):
    """One router serves through changes and faults of its dependencies."""

    def test_whole_path(self) -> None:
        """Run all checks in sequence on one router."""
        run(self.run_checks(Deployment()))

    async def run_checks(self, deployment: Deployment) -> None:
        """Start the deployment, run the checks in order and stop it."""
        try:
            await deployment.start()
            await self.check_gather(deployment)
            await self.check_single(deployment)
            await self.check_faults(deployment)
            await self.check_non_repeatable(deployment)
            await self.check_desired_state(deployment)
            await self.check_drain_and_evacuation(deployment)
            await self.check_store_outage(deployment)
            await self.check_lost_shard(deployment)
            await self.check_metrics(deployment)
        finally:
            await deployment.close()

    async def check_gather(self, deployment: Deployment) -> None:
        """Check that a gather returns the top records with all digests."""
        request_id, response = await deployment.send_request('/all/x?y=1')
        self.assertEqual(200, response.status)
        shards = [deployment.searchers_of(shard)[0] for shard in _SHARDS]
        self.assertEqual(
            deployment.expected_body('/all/x', request_id), response.body
        )
        digests = response.headers['part-stamps'].split(', ')
        self.assertEqual(
            sorted(shard.digest(request_id) for shard in shards),
            sorted(digests),
        )
        self.assertEqual('0', response.headers['missing-parts'])

    async def check_single(self, deployment: Deployment) -> None:
        """Check that a single request and its reply are forwarded unchanged."""
        request_id, response = await deployment.send_request(
            '/act/a%20b?c=d', 'POST', b'body'
        )
        searcher = deployment.searchers_of('part-a')[0]
        self.assertEqual(searcher.part(request_id), response.body)
        self.assertEqual(
            searcher.digest(request_id), response.headers['server-stamp']
        )
        seen = next(
            seen
            for one in deployment.searchers_of('part-a')
            for seen in one.seen
            if seen.request_id == request_id
        )
        self.assertEqual(
            ('POST', '/act/a%20b?c=d', b'body'),
            (seen.method, seen.path, seen.body),
        )
        _, unknown = await deployment.send_request('/none/x')
        self.assertEqual(404, unknown.status)

    async def check_faults(self, deployment: Deployment) -> None:
        """Check that a fault of one replica is masked by the other one."""
        for fault in (
            'shed',
            'error',
            'reset',
            'extra',
            'cut',
            'cut-head',
            'lost-length',
            'unframed',
            'junk',
            'mute',
        ):
            for searcher in deployment.searchers[:3]:
                searcher.plan.fault = fault
                searcher.plan.faults_left = 1
            for path in ('/all/x', '/read/x', '/read/x'):
                request_id, response = await deployment.send_request(path)
                self.assertEqual(200, response.status, fault)
                expected = deployment.expected_body(path, request_id)
                self.assertEqual(expected, response.body, fault)
            for searcher in deployment.searchers:
                searcher.plan.fault = ''

    async def check_non_repeatable(self, deployment: Deployment) -> None:
        """Check that a non-repeatable request is never run twice.

        It is refused only if no searcher ran it, and otherwise fails.
        """
        for fault, status in (
            ('reset', 502),
            ('cut-head', 502),
            ('lost-length', 502),
            ('error', 500),
            ('shed', 503),
        ):
            for searcher in deployment.searchers_of('part-a'):
                searcher.plan.fault = fault
                searcher.plan.faults_left = None
            request_id, response = await deployment.send_request(
                '/act/x', 'POST', b'b'
            )
            self.assertEqual(status, response.status)
            self.assertEqual(
                0 if fault == 'shed' else 1, deployment.run_count(request_id)
            )
            for searcher in deployment.searchers_of('part-a'):
                searcher.plan.fault = ''
        self.assertIn('retry-after', response.headers)

    async def check_desired_state(self, deployment: Deployment) -> None:
        """Check that newer versions are applied and older ones ignored."""
        await deployment.store.put('config', 'main', make_state(5, _SHARDS[:2]))

        async def count_parts() -> int:
            _, response = await deployment.send_request('/all/x')
            return len(response.headers.get('part-stamps', '').split(','))

        await deployment.wait_until(count_parts, 2)
        await deployment.store.put('config', 'main', make_state(4))
        await sleep(0.5)
        self.assertEqual(2, await count_parts())
        await deployment.store.compact()
        await deployment.store.put('config', 'main', make_state(9))
        await deployment.wait_until(count_parts, 3)

    async def check_drain_and_evacuation(self, deployment: Deployment) -> None:
        """Check that draining searchers and evacuated domains get no work."""
        draining = deployment.searchers_of('part-a')[0]
        entry = {**draining.entry, 'state': 'draining', 'sequence': 2}
        await deployment.store.put('servers', draining.id, entry)

        async def is_used() -> bool:
            before = len(draining.seen)
            for _ in range(4):
                await deployment.send_request('/read/x')
            return len(draining.seen) > before

        await deployment.wait_until(is_used, expected=False)
        back = {**draining.entry, 'sequence': 3}
        await deployment.store.put('servers', draining.id, back)
        await deployment.store.put('evacuations', 'north', {})

        async def read_status() -> int:
            _, response = await deployment.send_request('/read/x')
            return response.status

        await deployment.wait_until(read_status, 503)
        await deployment.store.remove('evacuations', 'north')
        await deployment.wait_until(read_status, 200)

    async def check_store_outage(self, deployment: Deployment) -> None:
        """Check that requests are served from known state without a store."""
        deployment.store.refusal = 503
        await deployment.store.compact()
        await deployment.store.remove('servers', 'i-5')
        await sleep(0.3)
        for path in ('/all/x', '/read/x'):
            _, response = await deployment.send_request(path)
            self.assertEqual(200, response.status)
        deployment.store.refusal = None

    async def check_lost_shard(self, deployment: Deployment) -> None:
        """Check that a gather omits one lost shard and refuses with two."""
        for searcher in deployment.searchers_of('part-c'):
            await searcher.close()

        async def missing() -> str:
            _, response = await deployment.send_request('/all/x')
            return response.headers.get('missing-parts', '')

        await deployment.wait_until(missing, '1')
        for searcher in deployment.searchers_of('part-b'):
            await searcher.close()

        async def read_status() -> int:
            _, response = await deployment.send_request('/all/x')
            return response.status

        await deployment.wait_until(read_status, 503)

    async def check_metrics(self, deployment: Deployment) -> None:
        """Check that counters and histograms are served as text."""
        http = HttpConnection(f'{_HOST}:{_METRICS_PORT}')
        await http.start(1)
        reply = await http.exchange(HttpRequest('GET', '/metrics', {}), 1)
        http.abort()
        text = reply.body.decode()
        self.assertIn('answers_whole_total', text)
        self.assertIn('answers_whole_time_ms{quantile="0.99"}', text)
