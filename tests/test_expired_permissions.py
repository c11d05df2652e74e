"""Permissions that run out while a process is paused or a request waits."""

from asyncio import get_running_loop, run, sleep, start_server

from testtools import TestCase

from sesametrack.links.upstream_http import OutgoingRequest
from sesametrack.links.upstream_pool import PendingSend, UpstreamPool
from sesametrack.routing.calls import Call
from sesametrack.routing.events import FailureKind, ReplyKind, UpstreamReply
from tests.router_builders import (
    make_context,
    make_directory,
    make_single_route,
)
from tests.test_queued_sends import RecordingOwner

_HOST = '127.1.10.2'
_PORT = 9651
_PERMIT_END = 1.5


class QueuedPermitTest(TestCase):
    """A request that needs a permit is not written after the permit's end."""

    def test_sent_with_permit(self) -> None:
        """A send tells until when its permit is valid, if it needs one."""
        context = make_context(make_directory(['s0'], 1))
        upstream = context.directory.by_id['s0-0']
        route = make_single_route(is_repeatable=True)
        unlimited = Call(context, route, 's0', 9, 9).start(1)[0]
        self.assertEqual(float('inf'), unlimited.write_by)
        upstream.rate_limit.record_reply(3, 0, 1)
        context.pacer.add_permit('s0-0', 0, _PERMIT_END - 1, 1)
        limited = Call(context, route, 's0', 9, 9).start(1.1)[0]
        self.assertEqual(_PERMIT_END, limited.write_by)

    def test_paused_before_writing(self) -> None:
        """The process is paused while the request waits for a connection.

        Guards against a request that reaches a cold or limited upstream
        seconds after the permit for it, beside those of later permits.
        """
        run(self.check_paused())

    async def check_paused(self) -> None:
        """Let the clock jump before the connection is open."""
        seen: list[bytes] = []

        async def serve(reader, writer) -> None:
            seen.append(await reader.read(4096))
            writer.close()

        clock = [1.0]
        server = await start_server(serve, _HOST, _PORT)
        owner = RecordingOwner()
        pool = UpstreamPool(
            'i-1',
            f'{_HOST}:{_PORT}',
            1,
            owner,
            get_running_loop(),
            lambda: clock[0],
        )
        pool.send(make_pending(_PERMIT_END))
        clock[0] = _PERMIT_END + 0.1
        await sleep(0.05)
        pool.close()
        server.close()
        await sleep(0.01)
        self.assertEqual([(1, FailureKind.not_sent)], owner.failures)
        self.assertEqual([b''], seen)


def make_pending(write_by: float) -> PendingSend:
    """Make a request that must be written in time."""
    request = OutgoingRequest(b'GET', b'/', [(b'host', b'h')], b'')
    reply = UpstreamReply(ReplyKind.succeeded, 200, [], b'')
    return PendingSend(
        1,
        lambda: request,
        lambda status, headers, body: reply,
        is_repeatable=True,
        write_by=write_by,
    )
