"""Bytes of callers: limits, framing, leaving and pipelining."""

from asyncio import new_event_loop

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.links.caller_server import (
    CallerConnection,
    CallerServer,
    OutgoingResponse,
)
from sesametrack.routing.desired_state import ClientLimits
from tests.transports import FakeTransport

_GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
_POST = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody'


class CallerServerTest(TestCase):
    """Whole requests are passed on once, the rest is refused."""

    def setUp(self) -> None:
        """Make a server that does not listen."""
        super().setUp()
        self.now = 0.0
        self.requests = []
        self.left = []
        self.refused = []
        loop = new_event_loop()
        self.addCleanup(loop.close)
        self.server = CallerServer(
            '127.0.0.1',
            0,
            loop,
            lambda: self.now,
            lambda connection, request: self.requests.append(request),
            self.left.append,
            self.refused.append,
        )
        self.server.limits = ClientLimits(1000, 100, 3, 15)
        self.connect()

    def connect(self) -> None:
        """Open one more connection."""
        self.connection = CallerConnection(self.server)
        self.transport = FakeTransport(self.connection)

    def receive(self, chunk: bytes) -> None:
        """Take bytes unless the connection is closed."""
        if chunk and not self.transport.is_closed:
            self.connection.data_received(chunk)

    def respond(self, *, is_last: bool = False) -> bytes:
        """Answer the present request."""
        self.connection.respond(
            OutgoingResponse(200, [], b'ok'), is_last=is_last
        )
        return self.transport.take()

    @given(st.lists(st.integers(0, len(_POST)), max_size=5))
    def test_split_anywhere(self, cuts: list[int]) -> None:
        """A request in pieces is passed on once."""
        self.connect()
        self.requests.clear()
        edges = [0, *sorted(cuts), len(_POST)]
        for first, after in zip(edges, edges[1:], strict=False):
            if first < after:
                self.receive(_POST[first:after])
        self.assertEqual([b'body'], [one.body for one in self.requests])

    def test_kept_connection(self) -> None:
        """Requests follow one another on a connection."""
        for _ in range(3):
            self.receive(_GET)
            self.assertIn(b'200', self.respond())
        self.assertEqual(3, len(self.requests))

    def test_pipelined(self) -> None:
        """A second request waits for the first one's answer."""
        self.receive(_GET + _POST)
        self.assertEqual(1, len(self.requests))
        self.respond()
        self.assertEqual(2, len(self.requests))

    def test_caller_leaves(self) -> None:
        """A caller that closes before its answer has left."""
        self.receive(_GET)
        self.transport.peer_closes()
        self.assertEqual([self.connection], self.left)

    def test_last_answer(self) -> None:
        """A stopping router says that the connection ends."""
        self.receive(_GET)
        self.assertIn(b'connection: close', self.respond(is_last=True).lower())
        self.assertTrue(self.transport.is_closed)

    def test_large_body(self) -> None:
        """A body above the limit is refused before it is read."""
        self.receive(
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 999\r\n\r\n'
        )
        self.assertIn(b' 413 ', self.transport.take())
        self.assertEqual([], self.requests)

    def test_large_chunked_body(self) -> None:
        """A chunked body is counted as it comes."""
        self.receive(
            b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        for _ in range(3):
            self.receive(b'40\r\n' + b'x' * 64 + b'\r\n')
        self.assertIn(b' 413 ', self.transport.take())

    def test_large_head(self) -> None:
        """A head above the limit is refused."""
        self.receive(b'GET / HTTP/1.1\r\nHost: h\r\nX: ' + b'x' * 1200)
        self.assertIn(b' 431 ', self.transport.take())

    def test_two_framings(self) -> None:
        """A request with a length and chunks is refused."""
        self.receive(
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
        )
        self.assertIn(b' 400 ', self.transport.take())
        self.assertEqual([], self.requests)

    def test_slow_head(self) -> None:
        """A head that takes too long is refused."""
        self.receive(_GET[:-4])
        self.now = 3.5
        self.connection.check_time(self.now, self.server.limits)
        self.assertIn(b' 408 ', self.transport.take())

    def test_idle(self) -> None:
        """An idle connection lives as long as the limit allows."""
        self.receive(_GET)
        self.respond()
        self.now = 14
        self.connection.check_time(self.now, self.server.limits)
        self.assertFalse(self.transport.is_closed)
        self.now = 15.5
        self.connection.check_time(self.now, self.server.limits)
        self.assertTrue(self.transport.is_closed)

    def test_continue(self) -> None:
        """A caller that waits for it is told to go on."""
        self.receive(
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n'
            b'Expect: 100-continue\r\n\r\n'
        )
        self.assertIn(b' 100 ', self.transport.take())
        self.receive(b'body')
        self.assertEqual(1, len(self.requests))

    @given(st.lists(st.binary(max_size=30), max_size=6))
    def test_junk(self, chunks: list[bytes]) -> None:
        """No bytes crash the server."""
        self.connect()
        for chunk in chunks:
            self.receive(chunk)
        self.transport.peer_closes()
        self.assertTrue(self.transport.is_closed)
