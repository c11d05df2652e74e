"""Requests that wait for a connection to an upstream."""

from asyncio import get_running_loop, run, sleep, start_server
from time import monotonic

from testtools import TestCase

from sesametrack.links.upstream_http import OutgoingRequest
from sesametrack.links.upstream_pool import (
    PendingSend,
    PoolOwner,
    UpstreamPool,
)
from sesametrack.routing.events import FailureKind, ReplyKind, UpstreamReply

_HOST = '127.1.10.1'
_PORT = 9650
_REPLY_S = 0.15
_REPLY = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


class RecordingOwner(PoolOwner):
    """Records how attempts end."""

    def __init__(self) -> None:
        """Record nothing yet."""
        self.replied: list[int] = []
        self.failures: list[tuple[int, FailureKind]] = []

    def on_reply(self, attempt_id: int, reply: UpstreamReply) -> None:
        """Record a reply."""
        self.replied.append(attempt_id)

    def on_failure(self, attempt_id: int, kind: FailureKind, why: str) -> None:
        """Record a failure."""
        self.failures.append((attempt_id, kind))


def make_pending(attempt_id: int, wait_s: float) -> PendingSend:
    """Make a request with its attempt's id as path."""
    target = str(attempt_id).encode()
    request = OutgoingRequest(b'GET', b'/' + target, [(b'host', b'h')], b'')
    reply = UpstreamReply(ReplyKind.succeeded, 200, [], b'')
    return PendingSend(
        attempt_id,
        lambda: request,
        lambda status, headers, body: reply,
        is_repeatable=True,
        write_by=monotonic() + wait_s,
    )


class QueuedSendsTest(TestCase):
    """A queued request is written in time, or reported as not sent."""

    def test_expired(self) -> None:
        """A request is not written after its deadline.

        Failure: an upstream at its limit of connections got requests up to
        half a second after their deadline, with a millisecond left.
        """
        run(self.check_expired())

    async def check_expired(self) -> None:
        """Queue requests behind a slow one on the only connection."""
        seen: list[bytes] = []

        async def serve(reader, writer) -> None:
            while head := await reader.read(4096):
                seen.append(head.split(b' ')[1])
                await sleep(_REPLY_S)
                writer.write(_REPLY)
            writer.close()

        server = await start_server(serve, _HOST, _PORT)
        owner = RecordingOwner()
        pool = UpstreamPool(
            'i-1', f'{_HOST}:{_PORT}', 1, owner, get_running_loop(), monotonic
        )
        for attempt_id, wait_s in ((1, 2), (2, 0.05), (3, 2), (4, 2)):
            pool.send(make_pending(attempt_id, wait_s))
        await sleep(0.05)
        pool.abort(4, 'overdue')
        await sleep(3 * _REPLY_S)
        pool.close()
        server.close()
        await sleep(0.05)
        self.assertEqual([b'/1', b'/3'], seen)
        self.assertEqual([1, 3], owner.replied)
        self.assertEqual(
            [(4, FailureKind.not_sent), (2, FailureKind.not_sent)],
            owner.failures,
        )
