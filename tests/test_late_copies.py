"""Second copies of answers that arrive late, on a connection in use again."""

from asyncio import get_running_loop, run, sleep, start_server
from functools import partial
from time import monotonic

from testtools import TestCase

from sesametrack.links.upstream_http import OutgoingRequest
from sesametrack.links.upstream_pool import PendingSend, UpstreamPool
from sesametrack.platform.headers import parse_upstream_reply
from sesametrack.routing.events import FailureKind, ReplyKind, UpstreamReply
from tests.test_queued_sends import RecordingOwner
from tests.test_upstream_http import Exchange

_HOST = '127.1.3.8'
_PORT = 9391
_SUCCESS = (
    b'HTTP/1.1 200 OK\r\nServer-Stamp: st\r\nRequest-Id: %b\r\n'
    b'Content-Length: 4\r\n\r\n%b'
)
_NOT_RUN = (
    b'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n%bContent-Length: 0\r\n\r\n'
)
_MISDIRECTED = b'HTTP/1.1 421 Other\r\n%bContent-Length: 0\r\n\r\n'
_ID = b'Request-Id: %b\r\n'


def make_used_connection() -> Exchange:
    """Return a connection that had a reply and has sent another request."""
    exchange = Exchange()
    exchange.receive(_SUCCESS % (b'mine', b'body'))
    exchange.replies.clear()
    exchange.send(b'next')
    return exchange


class LateCopyTest(TestCase):
    """A copy of an earlier answer says nothing about the present request."""

    def check_ignored(self, copy: bytes) -> None:
        """Check that a copy is skipped and the real answer is taken."""
        exchange = make_used_connection()
        exchange.receive(copy)
        self.assertEqual([], exchange.replies)
        exchange.receive(_SUCCESS % (b'next', b'real'))
        self.assertEqual([b'real'], [reply.body for reply in exchange.replies])

    def test_success(self) -> None:
        """A copy of a success, before the answer or together with it."""
        self.check_ignored(_SUCCESS % (b'mine', b'body'))

    def test_rejections(self) -> None:
        """A copy that says that the earlier request did not run."""
        earlier = _ID % b'mine'
        self.check_ignored(_NOT_RUN % earlier)
        self.check_ignored(_MISDIRECTED % earlier)

    def test_without_id(self) -> None:
        """An answer without an id counts only as the first one.

        Otherwise the request would be reported as not run, although it may
        run: the connection is closed, and nothing is known of the request.
        """
        for answer in (_NOT_RUN % b'', _MISDIRECTED % b''):
            exchange = make_used_connection()
            exchange.receive(answer)
            self.assertEqual([], exchange.replies)
            self.assertEqual(1, len(exchange.end_reasons))
            first = Exchange()
            first.receive(answer)
            self.assertEqual(1, len(first.replies))


class RepeatedRequestTest(TestCase):
    """A request is not sent twice on one connection.

    A copy of the first answer would have the right id.
    """

    def test_retry(self) -> None:
        """Retry a rejected request at the same upstream."""
        for limit in (1, 2):
            run(self.check_retry(limit))

    async def check_retry(self, limit: int) -> None:
        """Reject each first request of a connection, then send a copy."""
        is_busy = True

        async def serve(reader, writer) -> None:
            nonlocal is_busy
            while await reader.read(4096):
                if is_busy:
                    is_busy = False
                    writer.write(_NOT_RUN % (_ID % b'mine'))
                    await sleep(0.02)
                    writer.write(_NOT_RUN % (_ID % b'mine'))
                else:
                    await sleep(0.04)
                    writer.write(_SUCCESS % (b'mine', b'real'))
            writer.close()

        server = await start_server(serve, _HOST, _PORT)
        owner = RetryingOwner()
        pool = UpstreamPool(
            'i-1',
            f'{_HOST}:{_PORT}',
            limit,
            owner,
            get_running_loop(),
            monotonic,
        )
        owner.pool = pool
        pool.send(make_pending(1))
        await sleep(0.2)
        pool.close()
        server.close()
        await sleep(0.01)
        self.assertEqual([ReplyKind.rejected, ReplyKind.succeeded], owner.kinds)
        self.assertEqual([], owner.failures)


def make_pending(attempt_id: int) -> PendingSend:
    """Make an attempt of the same request."""
    headers = [(b'host', b'h'), (b'request-id', b'mine')]
    request = OutgoingRequest(b'POST', b'/act', headers, b'')
    return PendingSend(
        attempt_id,
        lambda: request,
        partial(parse_upstream_reply, b'mine'),
        is_repeatable=False,
        write_by=monotonic() + 1,
        request_id='mine',
    )


class RetryingOwner(RecordingOwner):
    """Sends a rejected request again."""

    def __init__(self) -> None:
        """Start without a pool."""
        super().__init__()
        self.pool: UpstreamPool | None = None
        self.kinds: list[ReplyKind] = []
        self.failures: list[tuple[int, FailureKind]] = []

    def on_reply(self, attempt_id: int, reply: UpstreamReply) -> None:
        """Record a reply, and retry after a rejection."""
        self.kinds.append(reply.kind)
        if reply.kind is ReplyKind.rejected and len(self.kinds) == 1:
            self.pool.send(make_pending(attempt_id + 1))
