"""Replies that break off at any byte, at every reader of replies."""

from asyncio import StreamReader, StreamWriter, run, start_server

from testtools import TestCase

from sesametrack.contracts.exceptions import ProtocolError
from sesametrack.links.http import HttpRequest, HttpResponse
from sesametrack.links.http_client import HttpConnection
from tests.test_upstream_http import Exchange

_HOST = '127.1.3.7'
_PORT = 9390
_BODY = b'0123456789abcdef'
_HEAD = (
    b'HTTP/1.1 200 OK\r\nServer-Stamp: st\r\nRequest-Id: mine\r\n'
    b'Keep-Alive: timeout=10\r\n'
)
_BY_LENGTH = _HEAD + b'Content-Length: 16\r\n\r\n' + _BODY
_BY_CHUNKS = (
    _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
    b'8\r\n01234567\r\n8\r\n89abcdef\r\n0\r\n\r\n'
)
_BY_CLOSE = _HEAD + b'Connection: close\r\n\r\n' + _BODY
# What is left of a reply when the line with its length was lost.
_UNANNOUNCED = _HEAD + b'\r\n' + _BODY
_END_OF_HEAD = b'\r\n\r\n'


def read_upstream(raw: bytes) -> list[bytes]:
    """Return the bodies that a connection to an upstream reports."""
    exchange = Exchange()
    exchange.receive(raw)
    exchange.transport.peer_closes()
    return [reply.body for reply in exchange.replies]


class ClosingServer:
    """Answers each request with the same bytes and closes."""

    def __init__(self) -> None:
        """Answer with nothing."""
        self.raw = b''

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Answer one request."""
        await reader.readuntil(_END_OF_HEAD)
        writer.write(self.raw)
        await writer.drain()
        writer.close()

    async def read_reply(self, raw: bytes) -> HttpResponse | None:
        """Return what the HTTP client makes of these bytes, None if nothing."""
        self.raw = raw
        connection = HttpConnection(f'{_HOST}:{_PORT}')
        await connection.start(1)
        try:
            return await connection.exchange(HttpRequest('GET', '/', {}), 1)
        except (OSError, EOFError, ProtocolError):
            return None
        finally:
            connection.abort()


class UpstreamReplyTest(TestCase):
    """The reader of upstreams' replies reports whole replies only."""

    def test_cut_anywhere(self) -> None:
        """No beginning of a framed reply counts as a reply."""
        for raw in (_BY_LENGTH, _BY_CHUNKS):
            self.assertEqual([_BODY], read_upstream(raw))
            for end in range(len(raw)):
                self.assertEqual([], read_upstream(raw[:end]), raw[:end])

    def test_cut_head_without_framing(self) -> None:
        """No part of a head counts as a reply."""
        for raw in (_BY_CLOSE, _UNANNOUNCED):
            for end in range(raw.index(_END_OF_HEAD) + len(_END_OF_HEAD)):
                self.assertEqual([], read_upstream(raw[:end]), raw[:end])

    def test_delimited_by_close(self) -> None:
        """A reply that announces the end of its connection ends with it."""
        self.assertEqual([_BODY], read_upstream(_BY_CLOSE))
        http_1_0 = _UNANNOUNCED.replace(b'HTTP/1.1', b'HTTP/1.0')
        self.assertEqual([_BODY], read_upstream(http_1_0))

    def test_head_that_lost_its_length(self) -> None:
        """A reply without framing or announcement is never a whole one."""
        first = _UNANNOUNCED.index(_END_OF_HEAD) + len(_END_OF_HEAD)
        for end in range(first, len(_UNANNOUNCED) + 1):
            self.assertEqual([], read_upstream(_UNANNOUNCED[:end]))


class HttpClientTest(TestCase):
    """The client of the store, relays, gates and VMs does the same."""

    def test_truncated(self) -> None:
        """Read every beginning of every kind of reply."""
        run(self.check_all())

    async def check_all(self) -> None:
        """Check whole replies and all that break off."""
        closing = ClosingServer()
        server = await start_server(closing.serve, _HOST, _PORT)
        try:
            for whole in (_BY_LENGTH, _BY_CHUNKS, _BY_CLOSE):
                reply = await closing.read_reply(whole)
                self.assertEqual(_BODY, reply.body)
            for framed in (_BY_LENGTH, _BY_CHUNKS):
                for end in range(len(framed)):
                    reply = await closing.read_reply(framed[:end])
                    self.assertIsNone(reply, framed[:end])
            for end in range(len(_UNANNOUNCED) + 1):
                reply = await closing.read_reply(_UNANNOUNCED[:end])
                self.assertIsNone(reply, _UNANNOUNCED[:end])
        finally:
            server.close()
