"""Replies without end, on every link that reads one.

The bytes that a link takes are counted where they are sent, so that a reply
that is kept in memory and one that is only read both show. Sockets on loopback
hold a few megabytes.
"""

from asyncio import get_running_loop, open_connection, run, sleep
from functools import partial
from time import monotonic
from zlib import compress

from testtools import TestCase

from sesametrack.contracts.exceptions import (
    PlatformUnavailableError,
    ProtocolError,
)
from sesametrack.contracts.router_settings import (
    RetrySettings,
    RouterSettings,
)
from sesametrack.links.caller_server import CallerServer
from sesametrack.links.http import HttpRequest, HttpResponse
from sesametrack.links.http_client import MAX_RESPONSE_BYTES, HttpConnection
from sesametrack.links.http_server import HttpServer
from sesametrack.links.reply_parser import ReplyMemory
from sesametrack.links.subgathers import decode_subgather_reply
from sesametrack.links.upstream_http import OutgoingRequest
from sesametrack.links.upstream_pool import (
    PendingSend,
    PoolOwner,
    UpstreamPool,
)
from sesametrack.platform.headers import parse_upstream_reply
from sesametrack.platform.store import RELAY_CODING, StoreConnection
from sesametrack.programs.router import Router
from sesametrack.routing.events import FailureKind
from standins.endless import REPLIES_BY_KIND, EndlessStandin
from standins.object_store import ObjectStoreStandin
from standins.searcher import SearcherStandin
from tests.test_router_path import CallerResponse

_HOST = '127.1.9.1'
_PORT = 9600
_ADDRESS = f'{_HOST}:{_PORT}'
_READ_LIMIT_BYTES = 40 * 1024 * 1024
_SHARED_BYTES = 1024 * 1024
_POLLS = 200
_POLL_INTERVAL_S = 0.02


class RecordingOwner(PoolOwner):
    """Records the failures that a pool reports."""

    def __init__(self) -> None:
        """Record nothing yet."""
        self.failures: list[tuple[FailureKind, str]] = []

    def on_failure(self, attempt_id: int, kind: FailureKind, why: str) -> None:
        """Record a failure."""
        self.failures.append((kind, why))


async def wait_for_any(collected: list) -> None:
    """Wait until a list has an item; raises AssertionError."""
    for _ in range(_POLLS):
        if collected:
            return
        await sleep(_POLL_INTERVAL_S)
    raise AssertionError('nothing was reported in time')


class EndlessRepliesTest(TestCase):
    """Each link closes a connection whose reply never ends."""

    def test_upstream_pool(self) -> None:
        """Upstreams and aggregators: the attempt fails, memory is limited.

        Failure: an upstream that sends a header without end made a router's
        memory grow until the send was overdue.
        """
        readers = (partial(parse_upstream_reply, b'r'), decode_subgather_reply)
        for kind in REPLIES_BY_KIND:
            for read_reply in readers:
                run(self.check_pool(kind, read_reply))

    async def check_pool(self, kind: str, read_reply) -> None:
        """Send one request to an endless server through a pool."""
        server = EndlessStandin(_HOST, _PORT, kind)
        await server.start()
        owner = RecordingOwner()
        memory = ReplyMemory(_SHARED_BYTES)
        pool = UpstreamPool(
            'i-1', _ADDRESS, 1, owner, get_running_loop(), monotonic, memory
        )
        request = OutgoingRequest(b'GET', b'/', [(b'host', b'h')], b'')
        try:
            pool.send(
                PendingSend(
                    1, lambda: request, read_reply, True, monotonic() + 9
                )
            )
            await wait_for_any(owner.failures)
            await server.wait_until_closed(1)
        finally:
            pool.close()
            await server.close()
        self.assertEqual(FailureKind.broken, owner.failures[0][0], kind)
        self.assertIn('not a reply', owner.failures[0][1], kind)
        self.assertLess(server.sent_bytes, _READ_LIMIT_BYTES, kind)
        self.assertEqual(0, memory.used_bytes, kind)

    def test_http_client(self) -> None:
        """The client of the store, of relays and of the platform gives up."""
        for kind in REPLIES_BY_KIND:
            run(self.check_client(kind))

    async def check_client(self, kind: str) -> None:
        """Read one response of an endless server."""
        server = EndlessStandin(_HOST, _PORT, kind)
        await server.start()
        http = HttpConnection(_ADDRESS)
        started_at = monotonic()
        try:
            await http.start(1)
            error = await self.read_error(http)
            self.assertIsInstance(error, (ProtocolError, TimeoutError), kind)
            http.abort()
            await server.wait_until_closed(1)
        finally:
            http.abort()
            await server.close()
        self.assertLess(monotonic() - started_at, 4, kind)
        self.assertLess(server.sent_bytes, _READ_LIMIT_BYTES, kind)

    async def read_error(self, http: HttpConnection) -> Exception | None:
        """Return the error with which a response ends."""
        try:
            await http.exchange(HttpRequest('GET', '/', {}), 2)
        except (ProtocolError, TimeoutError, EOFError) as error:
            return error
        return None

    def test_store(self) -> None:
        """Listings and watches fail as if the store were unavailable."""
        for kind in ('body', 'header-value', 'chunks', 'interim'):
            run(self.check_store(kind))

    async def check_store(self, kind: str) -> None:
        """List and watch at an endless store."""
        server = EndlessStandin(_HOST, _PORT, kind)
        await server.start()
        connection = StoreConnection(_ADDRESS)
        try:
            for call in (
                connection.list_objects('servers'),
                connection.watch('servers', 1, 20),
            ):
                started_at = monotonic()
                error = await self.store_error(call)
                self.assertIsInstance(error, PlatformUnavailableError, kind)
                self.assertLess(monotonic() - started_at, 4, kind)
        finally:
            connection.close()
            await server.close()
        self.assertLess(server.sent_bytes, 2 * _READ_LIMIT_BYTES, kind)

    async def store_error(self, call) -> Exception | None:
        """Return the error of a call."""
        try:
            await call
        except PlatformUnavailableError as error:
            return error
        return None

    def test_callers_and_peers(self) -> None:
        """A server closes a connection that sends on during its request."""
        run(self.check_server())

    async def check_server(self) -> None:
        """Send bytes without end after a request that gets no response."""
        disconnected = []
        server = CallerServer(
            _HOST,
            _PORT,
            get_running_loop(),
            monotonic,
            lambda connection, request: None,
            disconnected.append,
            lambda status: None,
        )
        await server.start()
        sent_bytes = 0
        _, writer = await open_connection(_HOST, _PORT)
        try:
            writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
            with self.assertRaises(OSError):
                while sent_bytes < _READ_LIMIT_BYTES:
                    writer.write(bytes(65536))
                    await writer.drain()
                    sent_bytes += 65536
            await wait_for_any(disconnected)
        finally:
            writer.transport.abort()
            await server.close()

    def test_router(self) -> None:
        """A caller is answered in time by the other upstream.

        The upstream whose reply never ends counts as failed.
        """
        for kind in ('header-value', 'body'):
            run(self.check_router(kind))

    async def check_router(self, kind: str) -> None:
        """Send requests to a service with one endless upstream of two."""
        store = ObjectStoreStandin(_HOST, _PORT + 1)
        sound = SearcherStandin(_HOST, _PORT + 2, 'i-sound', 'cards')
        entry = {**sound.entry, 'address': _ADDRESS}
        server = EndlessStandin(_HOST, _PORT, kind)
        await store.start()
        await sound.start()
        await server.start()
        await store.put('servers', sound.id, sound.entry)
        await store.put('servers', 'i-endless', entry)
        await store.put('config', 'main', make_state())
        settings = RouterSettings(
            'vm-1',
            'north',
            _HOST,
            f'{_HOST}:{_PORT + 3}',
            f'{_HOST}:{_PORT + 4}',
            f'{_HOST}:{_PORT + 1}',
            _PORT + 5,
            (_PORT + 6, _PORT + 9),
            retries=RetrySettings(2, 10, 1000),
        )
        router = Router(settings, 'none')
        await router.start()
        try:
            await wait_until_ready(router)
            while not server.connections:
                response, elapsed_s = await ask(_PORT + 3)
                self.assertEqual(200, response.status, kind)
                self.assertLess(elapsed_s, 1.5, kind)
            await server.wait_until_closed(2)
            metrics = await read_metrics(_PORT + 5)
            self.assertIn('sends_failed_total', metrics)
        finally:
            for part in (router, server, sound, store):
                await part.close()
        self.assertLess(server.sent_bytes, 2 * _READ_LIMIT_BYTES, kind)

    def test_compressed_body(self) -> None:
        """A relay's reply that grows beyond the limit is refused."""
        run(self.check_compressed_body())

    async def check_compressed_body(self) -> None:
        """Read a body of zeros, compressed to a thousandth."""
        body = compress(bytes(MAX_RESPONSE_BYTES + 1), 9)
        headers = {'content-encoding': RELAY_CODING}

        async def handle(request: HttpRequest) -> HttpResponse:
            return HttpResponse(200, body, headers)

        server = HttpServer(_HOST, _PORT, handle)
        await server.start()
        connection = StoreConnection('')
        connection.set_address(_ADDRESS, is_relay=True)
        try:
            error = await self.store_error(connection.list_objects('servers'))
            self.assertIsInstance(error, PlatformUnavailableError)
        finally:
            connection.close()
            await server.close()


def make_state() -> dict:
    """Return a desired state with one route."""
    return {
        'config_version': 1,
        'routes': [
            {
                'name': 'cards',
                'host': 'desk.example',
                'path_prefix': '/cards/',
                'route_kind': 'idempotent',
                'timeout_ms': 2000,
                'target_latency_ms': 300,
                'max_attempts': 2,
                'service': 'cards',
            }
        ],
        'services': [{'name': 'cards', 'max_conns': 40}],
    }


async def wait_until_ready(router: Router) -> None:
    """Wait for a router to be ready; raises AssertionError."""
    for _ in range(_POLLS):
        if router.is_ready:
            return
        await sleep(_POLL_INTERVAL_S)
    raise AssertionError('the router is not ready')


async def ask(port: int) -> tuple[CallerResponse, float]:
    """Return the response to one request, and the time that it took."""
    started_at = monotonic()
    reader, writer = await open_connection(_HOST, port)
    writer.write(
        b'GET /cards/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r1\r\n'
        b'Request-Deadline: 2000\r\nConnection: close\r\n\r\n'
    )
    raw = await reader.read()
    writer.close()
    return CallerResponse(raw), monotonic() - started_at


async def read_metrics(port: int) -> str:
    """Return a router's metrics page."""
    http = HttpConnection(f'{_HOST}:{port}')
    await http.start(1)
    reply = await http.exchange(HttpRequest('GET', '/metrics', {}), 1)
    http.abort()
    return reply.body.decode()
