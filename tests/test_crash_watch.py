"""Tests of which closed connections count as the end of an upstream."""

from testtools import TestCase

from sesametrack.programs.crash_watch import CrashWatch, UnansweredSend
from sesametrack.routing.crash_ledger import CrashLedger
from sesametrack.routing.crash_records import Standing
from sesametrack.routing.directory import Upstream
from sesametrack.telemetry.metrics import Metrics
from tests.router_builders import make_record

_REQUEST = 'f' * 32


class CrashWatchTest(TestCase):
    """Upstreams end if they refuse connections, or show no sign of life."""

    def setUp(self) -> None:
        """Make a watch with an empty ledger."""
        super().setUp()
        self.ledger = CrashLedger()
        self.watch = CrashWatch(self.ledger, Metrics(None, ''))

    def close(self, upstream: Upstream, at: float, **details: bool) -> None:
        """Let an upstream close a connection with the request."""
        self.watch.record_unanswered(
            UnansweredSend(upstream, _REQUEST, 'r1', at - 0.01, at, **details)
        )

    def settle(self, at: float, *, is_alive: bool = False) -> None:
        """Let the time pass in which signs of life are seen."""
        self.watch.settle(lambda send: is_alive, at)

    def test_ended(self) -> None:
        """A closed connection and a refused one are an end."""
        upstream = Upstream(make_record('i-1', 's0'), 0)
        self.close(upstream, 1)
        self.watch.record_ended(upstream, 1.01)
        self.assertIs(Standing.suspect, self.ledger.standing(_REQUEST, 2))

    # Guards against suspects by connections that are reset or answered by
    # junk while the upstream goes on.
    def test_surviving_upstreams(self) -> None:
        """Connections that are closed beside others that stay are no end."""
        for number in range(5):
            upstream = Upstream(make_record(f'i-{number}', 's0'), 0)
            self.close(upstream, number)
            self.settle(number + 0.5, is_alive=True)
        self.assertIs(Standing.clear, self.ledger.standing(_REQUEST, 9))

    # Guards against requests that are sent without limit since the addresses
    # of the ended upstreams reset connections, are silent or refuse late.
    def test_presumed_ends(self) -> None:
        """Upstreams without a sign of life have ended, until one replies."""
        for number in range(2):
            upstream = Upstream(make_record(f'i-{number}', 's0'), 0)
            self.close(upstream, number, is_overdue=bool(number))
            self.settle(number + 0.1)
        self.assertIs(Standing.clear, self.ledger.standing(_REQUEST, 2))
        self.settle(2)
        self.assertIs(Standing.suspect, self.ledger.standing(_REQUEST, 2))
        self.assertFalse(self.ledger.may_retry(_REQUEST, 2))
        self.close(Upstream(make_record('i-3', 's0'), 0), 3)
        self.settle(4)
        self.assertIs(Standing.quarantined, self.ledger.standing(_REQUEST, 4))

    # Guards against requests that are never stopped as they end the upstreams
    # of one shard without a sign, while the other shards answer.
    def test_overdue_beside_answers(self) -> None:
        """Overdue sends of an answered request are evidence as well."""
        for number in range(3):
            upstream = Upstream(make_record(f'i-{number}', 's0'), 0)
            self.close(upstream, number, is_overdue=True)
            self.watch.record_success(_REQUEST, 's1', number)
            self.settle(number + 0.5)
        self.assertIs(
            Standing.quarantined, self.ledger.standing(_REQUEST, 3, 's0')
        )
        self.assertIs(Standing.clear, self.ledger.standing(_REQUEST, 3, 's1'))

    # Guards against suspects by one upstream that fails for other reasons.
    def test_one_presumed_end(self) -> None:
        """One send without a reply makes no suspect; a proven end does."""
        upstream = Upstream(make_record('i-1', 's0'), 0)
        self.close(upstream, 1)
        self.settle(1.5)
        self.assertIs(Standing.clear, self.ledger.standing(_REQUEST, 2))
        self.watch.record_ended(upstream, 1.9)
        self.assertIs(Standing.suspect, self.ledger.standing(_REQUEST, 2))

    # Guards against suspects among the requests that meet what has taken the
    # address of an ended upstream.
    def test_successor_at_the_address(self) -> None:
        """An upstream ends once, and again only after a sign of life."""
        upstreams = [
            Upstream(make_record(f'i-{number}', 's0'), 0) for number in range(3)
        ]
        for at, upstream in enumerate(upstreams):
            self.watch.record_unanswered(
                UnansweredSend(upstream, f'{at}' * 32, 'r0', at, at + 0.1)
            )
        self.settle(3)
        for at, upstream in enumerate(upstreams, 4):
            self.close(upstream, at)
        self.settle(9)
        self.assertIs(Standing.clear, self.ledger.standing(_REQUEST, 9))
        for at, upstream in enumerate(upstreams, 10):
            self.watch.record_alive(upstream)
            self.close(upstream, at)
        self.settle(15)
        self.assertIs(Standing.quarantined, self.ledger.standing(_REQUEST, 15))

    # Guards against suspects by upstreams that end later, or by others.
    def test_unrelated_ends(self) -> None:
        """A later end, and that of another incarnation, are no evidence."""
        upstream = Upstream(make_record('i-1', 's0'), 0)
        successor = Upstream(make_record('i-1', 's0', started_ms=2), 0)
        self.close(upstream, 1)
        self.watch.record_ended(successor, 1.01)
        self.settle(3)
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
