"""What the platform's client says of writes, over real sockets."""

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
    """Only a refusal proves that nothing was written."""

    def write(self, status: int) -> PlatformError:
        """Return the error that a write answered with a status raises."""
        return run(self._write(status))

    async def _write(self, status: int) -> PlatformError:
        async def answer(request: HttpRequest) -> HttpResponse:
            return HttpResponse(status, b'{}')

        server = HttpServer(_HOST, _PORT, answer)
        client = PlatformClient([f'{_HOST}:{_PORT}'])
        await server.start()
        try:
            await client.update('key', b'{}', 1)
        except PlatformError as error:
            return error
        finally:
            await client.close()
            await server.close()
        raise AssertionError('the write raised nothing')

    def test_refused_write_was_not_made(self) -> None:
        """A rate limit or a wrong request is a refusal."""
        for status in (400, 429):
            self.assertIsInstance(self.write(status), PlatformUnavailableError)

    def test_failed_write_may_have_been_made(self) -> None:
        """A server error may come after the write took effect."""
        for status in (500, 502, 503):
            self.assertIsInstance(self.write(status), PlatformLostReplyError)

    def test_conflict(self) -> None:
        """Another version is told as such."""
        self.assertIsInstance(self.write(412), ConflictError)

    def test_unreachable_platform(self) -> None:
        """Without a connection nothing was sent."""
        client = PlatformClient([f'{_HOST}:{_PORT}'])
        self.assertRaises(
            PlatformUnavailableError,
            lambda: run(client.create('key', b'{}')),
        )
