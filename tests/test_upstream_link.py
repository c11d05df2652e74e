"""Connections of a gate to an upstream stand-in, over real sockets."""

from asyncio import Event, run, wait_for

from testtools import TestCase

from sesametrack.contracts.inventory import Upstream
from sesametrack.contracts.snapshots import Holding, Snapshot
from sesametrack.links.gate_upstream import (
    ControlConnection,
    SubQueryConnection,
)
from sesametrack.upstreams.events import (
    ConnectionEnded,
    ConnectionOpened,
    LoadReported,
    ProbeAnswered,
    ResponseKind,
    ResponseReceived,
    UpstreamEvent,
)
from standins.upstream import RunLog, UpstreamStandin
from tests.builders import FULL_KEY_RANGE, SNAPSHOT, make_sub_query

_TIMEOUT_S = 10


class Recorder:
    """Records events and lets a test wait for them."""

    def __init__(self) -> None:
        """Start without events."""
        self.events: list[UpstreamEvent] = []
        self._arrived = Event()

    def record(self, event: UpstreamEvent) -> None:
        """Record an event."""
        self.events.append(event)
        self._arrived.set()

    async def wait(self, kind: type, count: int = 1) -> UpstreamEvent:
        """Wait for `count` events of a type; return the last of these."""
        while True:
            matching = [
                event for event in self.events if isinstance(event, kind)
            ]
            if len(matching) >= count:
                return matching[count - 1]
            self._arrived.clear()
            await wait_for(self._arrived.wait(), _TIMEOUT_S)


class UpstreamLinkTest(TestCase):
    """Events that the connections report."""

    def test_requests_probes_and_crash(self) -> None:
        """A connection serves several requests and reports its end."""
        run(self._check_events())

    async def _check_events(self) -> None:
        upstream = Upstream(
            'u', 'find', 'north', '127.9.2.1:18200', 2, 25, FULL_KEY_RANGE
        )
        standin = UpstreamStandin(
            upstream, [Holding(SNAPSHOT, FULL_KEY_RANGE)], RunLog(), 1
        )
        standin.behaviour.restart_s = 60
        await standin.start()
        recorder = Recorder()
        connection = SubQueryConnection(1, upstream.address, recorder.record)
        connection.start()
        await recorder.wait(ConnectionOpened)
        await self._check_searches(connection, recorder)
        connection.probe()
        await recorder.wait(ProbeAnswered)
        control = ControlConnection(upstream.address, recorder.record)
        control.start()
        control.poll()
        load_report = await recorder.wait(LoadReported)
        self.assertEqual(
            [Holding(SNAPSHOT, FULL_KEY_RANGE)], load_report.holdings
        )
        standin.holdings = [Holding(Snapshot(2, 'p1'), FULL_KEY_RANGE)]
        connection.search(make_sub_query(9), 1)
        snapshot_reply = await recorder.wait(ResponseReceived, 3)
        self.assertEqual(
            ResponseKind.snapshot_gone, snapshot_reply.response.kind
        )
        standin.crash()
        await recorder.wait(ConnectionEnded)
        control.close()
        await standin.close()

    async def _check_searches(
        self, connection: SubQueryConnection, recorder: Recorder
    ) -> None:
        """The handler of a reply may send the next request immediately."""

        def search_again(event: UpstreamEvent) -> None:
            connection._on_event = recorder.record
            connection.search(make_sub_query(2), 1)
            recorder.record(event)

        connection._on_event = search_again
        connection.search(make_sub_query(1), 1)
        second_reply = await recorder.wait(ResponseReceived, 2)
        self.assertEqual(ResponseKind.answered, second_reply.response.kind)
        self.assertEqual(SNAPSHOT, second_reply.response.snapshot)
