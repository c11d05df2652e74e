"""The HTTP server refuses what breaks its limits, over real sockets."""

from asyncio import StreamReader, open_connection, run, sleep

from testtools import TestCase

from sesametrack.contracts.settings import CallerLimits
from sesametrack.links.http import HttpRequest, HttpResponse
from sesametrack.links.http_server import HttpServer

_HOST = '127.9.0.1'
_PORT = 18080
_LIMITS = CallerLimits(
    max_body_bytes=100, max_header_bytes=400, read_timeout_s=0.2
)


class HttpServerTest(TestCase):
    """Limits and errors."""

    def exchange(self, *chunks: bytes, pause: float = 0) -> bytes:
        """Send chunks to a server and read until it closes."""
        return run(self._exchange(chunks, pause))

    async def _exchange(self, chunks: tuple[bytes, ...], pause: float) -> bytes:
        server = HttpServer(_HOST, _PORT, self.answer, _LIMITS)
        await server.start()
        try:
            reader, writer = await open_connection(_HOST, _PORT)
            for chunk in chunks:
                if self.replied(reader):
                    break
                writer.write(chunk)
                await sleep(pause)
            reply = await reader.read(65536)
            writer.close()
            return reply
        finally:
            await server.close()

    def replied(self, reader: StreamReader) -> bool:
        """Tell whether the server has answered already."""
        return bool(reader._buffer)

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Echo the body."""
        return HttpResponse(200, request.body)

    def test_answers_a_request(self) -> None:
        """An ordinary request is answered."""
        reply = self.exchange(
            b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nhi'
        )
        self.assertTrue(reply.startswith(b'HTTP/1.1 200'))
        self.assertTrue(reply.endswith(b'hi'))

    def test_large_body(self) -> None:
        """A body above the limit gets 413."""
        reply = self.exchange(
            b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 200\r\n\r\n',
            b'x' * 200,
        )
        self.assertTrue(reply.startswith(b'HTTP/1.1 413'))

    def test_large_headers(self) -> None:
        """Headers above the limit get 431."""
        reply = self.exchange(b'GET / HTTP/1.1\r\nhost: ' + b'x' * 1000)
        self.assertTrue(reply.startswith(b'HTTP/1.1 431'))

    def test_malformed_request(self) -> None:
        """What is not HTTP gets 400."""
        reply = self.exchange(b'nonsense\r\n\r\n')
        self.assertTrue(reply.startswith(b'HTTP/1.1 400'))

    def test_slow_request(self) -> None:
        """A request that drips in gets 408, however often it sends."""
        head = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n'
        reply = self.exchange(head, b'a', b'b', b'c', b'd', pause=0.07)
        self.assertTrue(reply.startswith(b'HTTP/1.1 408'))
