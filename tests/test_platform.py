"""Errors that the platform's client raises for writes, over real sockets."""

from asyncio import run

from testtools import TestCase

from sesametrack.contracts.exceptions import (
    ConflictError,
    PlatformError,
    PlatformLostReplyError,
    PlatformUnavailableError,
)
from sesametrack.links.http import HttpRequest, HttpResponse
from sesametrack.links.http_server import HttpServer
from sesametrack.links.platform import PlatformClient

_HOST = '127.9.3.1'
_PORT = 18300


class PlatformClientTest(TestCase):
    """Only a client error shows that a write had no effect."""

    def write(self, status: int) -> PlatformError:
        """Return the error raised by a write that gets this status."""
        return run(self._write(status))

    async def _write(self, status: int) -> PlatformError:
        async def handle(request: HttpRequest) -> HttpResponse:
            return HttpResponse(status, b'{}')

        server = HttpServer(_HOST, _PORT, handle)
        client = PlatformClient([f'{_HOST}:{_PORT}'])
        await server.start()
        try:
            await client.update('key', b'{}', 1)
        except PlatformError as error:
            return error
        finally:
            await client.close()
            await server.close()
        raise AssertionError('the write raised no error')

    def test_client_error(self) -> None:
        """A rate limit or a bad request means that nothing was written."""
        for status in (400, 429):
            self.assertIsInstance(self.write(status), PlatformUnavailableError)

    def test_server_error(self) -> None:
        """A server error may be raised after the write took effect."""
        for status in (500, 502, 503):
            self.assertIsInstance(self.write(status), PlatformLostReplyError)

    def test_conflict(self) -> None:
        """A version mismatch raises ConflictError."""
        self.assertIsInstance(self.write(412), ConflictError)

    def test_unreachable_platform(self) -> None:
        """If no connection can be opened, nothing was written."""
        client = PlatformClient([f'{_HOST}:{_PORT}'])
        self.assertRaises(
            PlatformUnavailableError,
            lambda: run(client.create('key', b'{}')),
        )
