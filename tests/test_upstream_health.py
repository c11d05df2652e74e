"""What is learned of upstreams, and which one is chosen."""

from random import Random

from testtools import TestCase

from sesametrack.routing.desired_state import ServiceSpec
from sesametrack.routing.health import UpstreamHealth
from sesametrack.routing.pacing import ColdStartPacer
from sesametrack.routing.selection import Selector
from sesametrack.routing.shares import LimitShares
from tests.router_builders import make_directory, make_record

_USUAL = 0.01


class HealthTest(TestCase):
    """Slowness, failures and silence show in the expected time."""

    def test_silence(self) -> None:
        """One that opens connections but stays silent gets work later.

        Pattern: a VM whose process is stopped; its connections are taken,
        and each request to it would wait once more.
        """
        health = UpstreamHealth()
        health.record_unresponsive(1)
        health.record_reachable()
        self.assertTrue(health.is_ejected(1.4))
        self.assertFalse(health.is_ejected(1.6))
        health.record_unresponsive(2)
        self.assertTrue(health.is_ejected(2.9))
        self.exchange(health, 3, _USUAL)
        self.assertFalse(health.is_ejected(3.1))

    def exchange(self, health: UpstreamHealth, at: float, took: float) -> None:
        """Let one request be answered after a time."""
        health.start_attempt(1, at)
        health.record_reply(1, _USUAL, at + took)

    def test_slow_upstream(self) -> None:
        """A slow upstream looks slow after one reply, and less later."""
        health = UpstreamHealth()
        self.exchange(health, 0, 0.1)
        soon = health.expected_time(_USUAL, 2, 0.1)
        later = health.expected_time(_USUAL, 2, 20)
        self.assertGreater(soon, 2 * _USUAL)
        self.assertLess(later, 1.1 * _USUAL)

    def test_careful_estimate(self) -> None:
        """A request that cannot be hedged does not try a slow upstream.

        Pattern: one of four upstreams slow by eight for eight seconds, and
        seven VMs that each send it one request in a while.
        """
        health = UpstreamHealth()
        self.exchange(health, 0, 0.1)
        hedged = health.expected_time(_USUAL, 2, 6)
        careful = health.expected_time(_USUAL, 2, 6, is_conservative=True)
        self.assertLess(hedged, 1.5 * _USUAL)
        self.assertGreater(careful, 1.8 * _USUAL)

    def test_silent_upstream(self) -> None:
        """An overdue reply counts for as long as it is overdue."""
        health = UpstreamHealth()
        health.start_attempt(1, 0)
        self.assertGreaterEqual(health.expected_time(_USUAL, 2, 0.5), 0.5)

    def test_ejection_grows_and_ends(self) -> None:
        """Failures in a row eject, for longer each time."""
        health = UpstreamHealth()
        spans = []
        for now in (10, 20):
            for number in range(3):
                health.start_attempt(number, now)
                health.record_failure(number, now)
            spans.append(health.ejected_until - now)
        self.assertTrue(health.is_ejected(20.1))
        self.assertGreater(spans[1], spans[0])
        self.exchange(health, 30, 0.01)
        self.assertFalse(health.is_ejected(30.1))


class SelectorTest(TestCase):
    """The choice follows the expected time."""

    def setUp(self) -> None:
        """Make two replicas in two failure domains."""
        super().setUp()
        self.directory = make_directory(['s'], 1)
        self.directory.apply_record(
            make_record('far', 's', failure_domain='south'), 0
        )
        self.pacer = ColdStartPacer()
        self.selector = Selector('north', self.pacer, Random(1))

    def choose(self, now: float = 0, avoided: tuple = ()):
        """Return the id of the choice."""
        chosen = self.selector.choose(
            self.directory.usable('s'), set(avoided), _USUAL, 4, now
        )
        return None if chosen is None else chosen.id

    def test_own_domain_first(self) -> None:
        """Equal replicas: the near one."""
        self.assertEqual({'s-0'}, {self.choose() for _ in range(20)})

    def test_slow_near_replica(self) -> None:
        """A near replica that is overdue loses its place."""
        self.directory.by_id['s-0'].health.start_attempt(1, 0)
        self.assertEqual('far', self.choose(now=0.2))

    def test_ejected_is_the_last_resort(self) -> None:
        """An ejected replica gets work only when no other can."""
        health = self.directory.by_id['s-0'].health
        for number in range(3):
            health.record_failure(number, 1)
        self.assertEqual('far', self.choose(now=1.1))
        self.assertEqual('s-0', self.choose(1.1, ('far',)))

    def test_unreachable_gets_nothing(self) -> None:
        """No request goes where no connection opens."""
        self.directory.by_id['s-0'].health.record_unreachable(1)
        self.assertIsNone(self.choose(1.1, ('far',)))

    def test_full_share(self) -> None:
        """No more requests than this VM's share of connections."""
        for number in range(4):
            self.directory.by_id['s-0'].health.start_attempt(number, 0)
        self.assertEqual('far', self.choose())

    def test_cold_rate_over_the_fleet(self) -> None:
        """A cold upstream gets its stated rate from all VMs together.

        Ten VMs pace themselves with no message between them.
        """
        directory = make_directory([], 0)
        directory.apply_record(make_record('c', 's', cold_left=3), 0)
        upstream = directory.by_id['c']
        rate, vms = 20, 10
        pacers = [ColdStartPacer() for _ in range(vms)]
        sent = []
        for pacer in pacers:
            pacer.configure({'s': ServiceSpec('s', 25, 3, rate)})
            pacer.set_shares(LimitShares(vms))
        for step in range(3000):
            now = step / 1000
            for pacer in pacers:
                if pacer.allows(upstream, now):
                    pacer.record_send(upstream, now)
                    sent.append(now)
        for begin in range(20):
            at = begin / 10
            within = sum(1 for one in sent if at <= one < at + 1)
            self.assertLessEqual(within, rate * 1.5 + 5)
        self.assertTrue(pacers[0].allows(upstream, 3.1))
