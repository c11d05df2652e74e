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

_PATIENCE_S = 10


class Recorder:
    """Notes events and lets a test wait for them."""

    def __init__(self) -> None:
        """Start with none."""
        self.events: list[UpstreamEvent] = []
        self._arrived = Event()

    def take(self, event: UpstreamEvent) -> None:
        """Note an event."""
        self.events.append(event)
        self._arrived.set()

    async def wait(self, kind: type, count: int = 1) -> UpstreamEvent:
        """Wait for so many events of a kind; return the last."""
        while True:
            found = [one for one in self.events if isinstance(one, kind)]
            if len(found) >= count:
                return found[count - 1]
            self._arrived.clear()
            await wait_for(self._arrived.wait(), _PATIENCE_S)


class UpstreamLinkTest(TestCase):
    """What the connection reports."""

    def test_requests_probes_and_crash(self) -> None:
        """A connection outlives its replies, and tells of its end."""
        run(self._live())

    async def _live(self) -> None:
        upstream = Upstream(
            'u', 'find', 'north', '127.9.2.1:18200', 2, 25, FULL_KEY_RANGE
        )
        standin = UpstreamStandin(
            upstream, [Holding(SNAPSHOT, FULL_KEY_RANGE)], RunLog(), 1
        )
        standin.behaviour.restart_s = 60
        await standin.start()
        recorder = Recorder()
        connection = SubQueryConnection(1, upstream.address, recorder.take)
        connection.start()
        await recorder.wait(ConnectionOpened)
        await self._check_searches(connection, recorder)
        connection.probe()
        await recorder.wait(ProbeAnswered)
        control = ControlConnection(upstream.address, recorder.take)
        control.start()
        control.poll()
        report = await recorder.wait(LoadReported)
        self.assertEqual([Holding(SNAPSHOT, FULL_KEY_RANGE)], report.holdings)
        standin.holdings = [Holding(Snapshot(2, 'p1'), FULL_KEY_RANGE)]
        connection.search(make_sub_query(9), 1)
        gone = await recorder.wait(ResponseReceived, 3)
        self.assertEqual(ResponseKind.snapshot_gone, gone.response.kind)
        standin.crash()
        await recorder.wait(ConnectionEnded)
        control.close()
        await standin.close()

    async def _check_searches(
        self, connection: SubQueryConnection, recorder: Recorder
    ) -> None:
        """The next request may follow inside the event of a reply."""

        def search_again(event: UpstreamEvent) -> None:
            connection._on_event = recorder.take
            connection.search(make_sub_query(2), 1)
            recorder.take(event)

        connection._on_event = search_again
        connection.search(make_sub_query(1), 1)
        second = await recorder.wait(ResponseReceived, 2)
        self.assertEqual(ResponseKind.answered, second.response.kind)
        self.assertEqual(SNAPSHOT, second.response.snapshot)
