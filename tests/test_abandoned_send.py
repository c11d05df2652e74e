"""An abandoned request must not reach the upstream later."""

from asyncio import Event, get_running_loop, run, start_server, wait_for
from functools import partial
from time import monotonic

from testtools import TestCase

from sesametrack.links.upstream_http import OutgoingRequest, UpstreamConnection
from sesametrack.platform.headers import parse_upstream_reply

_HOST = '127.1.6.1'
_PORT = 9601


class AbandonedSendTest(TestCase):
    """Aborting a connection with a request in progress resets it."""

    def test_reset(self) -> None:
        """The receiver sees a reset instead of an orderly close.

        Guards against a request that a broken path delays and that runs after
        its sender has abandoned it: after an orderly close the kernel still
        delivers the data once the path recovers.
        """
        run(self.abandon_request())

    async def abandon_request(self) -> None:
        """Send a request and abort its connection."""
        received_ends = []
        arrived, ended = Event(), Event()

        async def serve(reader, writer) -> None:
            await reader.readuntil(b'\r\n\r\n')
            arrived.set()
            try:
                received_ends.append(await reader.read())
            except ConnectionResetError:
                received_ends.append('reset')
            writer.close()
            ended.set()

        server = await start_server(serve, _HOST, _PORT)
        connection = UpstreamConnection(
            monotonic,
            lambda idle: None,
            lambda replied, reply: None,
            lambda closed, why: None,
            lambda replied: None,
        )
        await get_running_loop().create_connection(
            lambda: connection, _HOST, _PORT
        )
        connection.send(
            1,
            OutgoingRequest(b'GET', b'/', [(b'host', b'h')], b''),
            partial(parse_upstream_reply, b'mine'),
        )
        await wait_for(arrived.wait(), 2)
        connection.abort('not needed')
        await wait_for(ended.wait(), 2)
        self.assertEqual(['reset'], received_ends)
        server.close()
