"""Tests of which closed connections count as the end of an upstream."""

from testtools import TestCase

from sesametrack.programs.crash_watch import ClosedSend, CrashWatch
from sesametrack.routing.crash_ledger import CrashLedger, Standing
from sesametrack.routing.directory import Upstream
from sesametrack.telemetry.metrics import Metrics
from tests.router_builders import make_record

_REQUEST = 'f' * 32


class CrashWatchTest(TestCase):
    """Only an upstream that refuses the next connection has ended."""

    def setUp(self) -> None:
        """Make a watch with an empty ledger."""
        super().setUp()
        self.ledger = CrashLedger()
        self.watch = CrashWatch(self.ledger, Metrics(None, ''))

    def close(self, upstream: Upstream, at: float) -> None:
        """Let an upstream close a connection with the request."""
        self.watch.record_closed(
            ClosedSend(upstream, _REQUEST, 'r1', at - 0.01, at)
        )

    def test_ended(self) -> None:
        """A closed connection and a refused one are an end."""
        upstream = Upstream(make_record('i-1', 's0'), 0)
        self.close(upstream, 1)
        self.watch.record_ended(upstream, 1.01)
        self.assertIs(Standing.suspect, self.ledger.standing(_REQUEST, 2))

    # Guards against suspects by connections that are reset or answered by
    # junk while the upstream goes on.
    def test_reset_connections(self) -> None:
        """Connections that are closed, however many, are no end."""
        for number in range(5):
            upstream = Upstream(make_record(f'i-{number}', 's0'), 0)
            self.close(upstream, number)
        self.assertIs(Standing.clear, self.ledger.standing(_REQUEST, 9))

    # Guards against suspects by upstreams that end later, or by others.
    def test_unrelated_ends(self) -> None:
        """A later end, and that of another incarnation, are no evidence."""
        upstream = Upstream(make_record('i-1', 's0'), 0)
        successor = Upstream(make_record('i-1', 's0', started_ms=2), 0)
        self.close(upstream, 1)
        self.watch.record_ended(successor, 1.01)
        self.watch.record_ended(upstream, 4)
        self.assertIs(Standing.clear, self.ledger.standing(_REQUEST, 5))

    def test_success_clears(self) -> None:
        """A success at any upstream clears what an end made a suspect."""
        upstream = Upstream(make_record('i-1', 's0'), 0)
        self.close(upstream, 1)
        self.watch.record_ended(upstream, 1.01)
        self.watch.record_success(_REQUEST, 's0', 2)
        self.assertIs(Standing.clear, self.ledger.standing(_REQUEST, 2))

    def test_lifted(self) -> None:
        """An operator's order ends a quarantine."""
        for number in range(3):
            upstream = Upstream(make_record(f'i-{number}', 's0'), 0)
            self.close(upstream, number + 1)
            self.watch.record_ended(upstream, number + 1.01)
        self.assertIs(Standing.quarantined, self.ledger.standing(_REQUEST, 5))
        self.watch.lift([_REQUEST], 6)
        self.assertIs(Standing.clear, self.ledger.standing(_REQUEST, 6))
