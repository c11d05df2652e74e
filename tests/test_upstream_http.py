"""Bytes of upstreams: whole, split, strayed, extra, short and unframed."""

from functools import partial

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.links.upstream_http import (
    ConnectionState,
    OutgoingRequest,
    UpstreamConnection,
)
from sesametrack.platform.headers import parse_upstream_reply
from tests.transports import FakeTransport

_HEAD = b'HTTP/1.1 200 OK\r\nServer-Stamp: st\r\n'
_MINE = b'Request-Id: mine\r\n'
_OTHER = b'Request-Id: other\r\n'
_WHOLE = _HEAD + _MINE + b'Content-Length: 4\r\n\r\nbody'
_STRAY = _HEAD + _OTHER + b'Content-Length: 5\r\n\r\nstray'


class Exchange:
    """One connection that has sent the request 'mine'."""

    def __init__(self) -> None:
        """Connect and send."""
        self.replies = []
        self.ends = []
        self.interims = []
        self.connection = UpstreamConnection(
            int,
            lambda connection: None,
            lambda connection, reply: self.replies.append(reply),
            lambda connection, why: self.ends.append(why),
            lambda connection: self.interims.append(connection),
        )
        self.transport = FakeTransport(self.connection)
        self.send()

    def send(self, request_id: bytes = b'mine') -> None:
        """Send a request."""
        headers = [(b'host', b'h'), (b'request-id', request_id)]
        self.connection.send(
            1,
            OutgoingRequest(b'GET', b'/', headers, b''),
            partial(parse_upstream_reply, request_id),
        )

    def receive(self, chunk: bytes) -> None:
        """Take bytes unless the connection is closed."""
        if chunk and not self.transport.is_closed:
            self.connection.data_received(chunk)


class UpstreamHttpTest(TestCase):
    """A reply is taken only if it is whole and belongs to the request."""

    @given(st.lists(st.integers(0, len(_WHOLE)), max_size=6))
    def test_split_anywhere(self, cuts: list[int]) -> None:
        """A reply in pieces is the same reply."""
        exchange = Exchange()
        edges = [0, *sorted(cuts), len(_WHOLE)]
        for first, after in zip(edges, edges[1:], strict=False):
            exchange.receive(_WHOLE[first:after])
        self.assertEqual([b'body'], [one.body for one in exchange.replies])
        self.assertEqual(ConnectionState.idle, exchange.connection.state)

    def test_stray_reply_comes_first(self) -> None:
        """The reply to another request is passed over, not given out."""
        exchange = Exchange()
        exchange.receive(_STRAY + _WHOLE)
        self.assertEqual([b'body'], [one.body for one in exchange.replies])

    def test_stray_reply_comes_alone(self) -> None:
        """After a stray reply the right one may follow later."""
        exchange = Exchange()
        exchange.receive(_STRAY)
        self.assertEqual([], exchange.replies)
        exchange.receive(_WHOLE)
        self.assertEqual([b'body'], [one.body for one in exchange.replies])

    def test_extra_bytes_after_a_reply(self) -> None:
        """Bytes behind a whole reply end the connection."""
        exchange = Exchange()
        exchange.receive(_WHOLE + _STRAY)
        self.assertEqual([b'body'], [one.body for one in exchange.replies])
        self.assertTrue(exchange.transport.is_closed)

    def test_bytes_on_an_idle_connection(self) -> None:
        """Bytes that nobody asked for end the connection."""
        exchange = Exchange()
        exchange.receive(_WHOLE)
        exchange.receive(_STRAY)
        self.assertTrue(exchange.transport.is_closed)

    def test_short_reply(self) -> None:
        """A reply that breaks off is none."""
        exchange = Exchange()
        exchange.receive(_WHOLE[:-1])
        exchange.transport.peer_closes()
        self.assertEqual([], exchange.replies)
        self.assertEqual(1, len(exchange.ends))

    def test_unframed_reply(self) -> None:
        """A reply without length ends with its connection."""
        exchange = Exchange()
        exchange.receive(_HEAD + _MINE + b'\r\nbody')
        self.assertEqual([], exchange.replies)
        exchange.transport.peer_closes()
        self.assertEqual([b'body'], [one.body for one in exchange.replies])

    def test_unframed_reply_that_is_reset(self) -> None:
        """A reset does not end a reply without length."""
        exchange = Exchange()
        exchange.receive(_HEAD + _MINE + b'\r\nbody')
        exchange.transport.peer_closes(ConnectionResetError())
        self.assertEqual([], exchange.replies)

    def test_chunked_reply(self) -> None:
        """A chunked reply is whole with its last chunk."""
        exchange = Exchange()
        head = _HEAD + _MINE + b'Transfer-Encoding: chunked\r\n\r\n'
        exchange.receive(head + b'4\r\nbody\r\n')
        self.assertEqual([], exchange.replies)
        exchange.receive(b'0\r\n\r\n')
        self.assertEqual([b'body'], [one.body for one in exchange.replies])

    @given(st.lists(st.binary(max_size=40), max_size=6))
    def test_junk(self, chunks: list[bytes]) -> None:
        """No bytes crash the connection or make up a success."""
        exchange = Exchange()
        for chunk in chunks:
            exchange.receive(chunk)
        exchange.transport.peer_closes()
        self.assertEqual([], exchange.replies)
        self.assertEqual(1, len(exchange.ends))

    @given(st.integers(0, len(_WHOLE) - 1), st.binary(min_size=1, max_size=4))
    def test_spoiled_bytes(self, at: int, noise: bytes) -> None:
        """A spoiled reply never counts for another request."""
        exchange = Exchange()
        exchange.receive(_WHOLE[:at] + noise + _WHOLE[at + len(noise) :])
        exchange.transport.peer_closes()
        self.assertLessEqual(len(exchange.replies), 1)

    def test_reuse(self) -> None:
        """An idle connection serves the next request."""
        exchange = Exchange()
        exchange.receive(_WHOLE)
        exchange.send()
        exchange.receive(_WHOLE)
        self.assertEqual(2, len(exchange.replies))

    def test_close_header(self) -> None:
        """A connection that the upstream closes is not used again."""
        exchange = Exchange()
        exchange.receive(
            _HEAD + _MINE + b'Connection: close\r\nContent-Length: 1\r\n\r\nx'
        )
        self.assertEqual(1, len(exchange.replies))
        self.assertTrue(exchange.transport.is_closed)
