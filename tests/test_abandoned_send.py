"""Requests that are given up must not arrive later."""

from asyncio import Event, get_running_loop, run, start_server, wait_for
from functools import partial
from time import monotonic

from testtools import TestCase

from sesametrack.links.upstream_http import OutgoingRequest, UpstreamConnection
from sesametrack.platform.headers import parse_upstream_reply

_HOST = '127.1.6.1'
_PORT = 9601


class AbandonedSendTest(TestCase):
    """A connection with a request on it is reset, not closed in order."""

    def test_reset(self) -> None:
        """The receiver sees a reset.

        Pattern: a path that is cut holds a request back; after its sender has
        gone on without it, the request must not come out of the cut, as it
        would with a connection that is closed in order.
        """
        run(self.give_up())

    async def give_up(self) -> None:
        """Send a request and give it up."""
        ends = []
        arrived, ended = Event(), Event()

        async def serve(reader, writer) -> None:
            await reader.readuntil(b'\r\n\r\n')
            arrived.set()
            try:
                ends.append(await reader.read())
            except ConnectionResetError:
                ends.append('reset')
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
        self.assertEqual(['reset'], ends)
        server.close()
