"""Tests of upstream health, selection and cold start pacing."""

from random import Random

from testtools import TestCase

from sesametrack.routing.health import UpstreamHealth
from sesametrack.routing.pacing import UpstreamPacer
from sesametrack.routing.selection import Selector
from tests.router_builders import make_directory, make_record

_REFERENCE_TIME = 0.01


class HealthTest(TestCase):
    """Ejection and the expected time, from replies and failures."""

    def test_unresponsive_upstream(self) -> None:
        """An unresponsive upstream stays ejected when a connection opens.

        The kernel accepts connections for a stopped process, so every
        request sent to it would wait for its timeout.
        """
        health = UpstreamHealth()
        health.record_unresponsive(1)
        health.record_reachable()
        self.assertTrue(health.is_ejected(1.4))
        self.assertFalse(health.is_ejected(1.6))
        health.record_unresponsive(2)
        self.assertTrue(health.is_ejected(2.9))
        self.exchange(health, 3, _REFERENCE_TIME)
        self.assertFalse(health.is_ejected(3.1))

    def exchange(
        self, health: UpstreamHealth, at: float, elapsed: float
    ) -> None:
        """Record one request and its reply."""
        health.start_attempt(1, at)
        health.record_reply(1, _REFERENCE_TIME, at + elapsed)

    def test_slow_upstream(self) -> None:
        """One slow reply raises the expected time, which decays later."""
        health = UpstreamHealth()
        self.exchange(health, 0, 0.1)
        fresh = health.expected_time(_REFERENCE_TIME, 2, 0.1)
        decayed = health.expected_time(_REFERENCE_TIME, 2, 20)
        self.assertGreater(fresh, 2 * _REFERENCE_TIME)
        self.assertLess(decayed, 1.1 * _REFERENCE_TIME)

    def test_conservative_estimate(self) -> None:
        """Requests that cannot be hedged avoid a slow upstream for longer.

        Guards against failed requests when one of four upstreams is eight
        times slower for eight seconds and each of seven VMs tries it again
        from time to time.
        """
        health = UpstreamHealth()
        self.exchange(health, 0, 0.1)
        normal = health.expected_time(_REFERENCE_TIME, 2, 6)
        conservative = health.expected_time(
            _REFERENCE_TIME, 2, 6, is_conservative=True
        )
        self.assertLess(normal, 1.5 * _REFERENCE_TIME)
        self.assertGreater(conservative, 1.8 * _REFERENCE_TIME)

    def test_overdue_reply(self) -> None:
        """The age of an overdue request raises the expected time."""
        health = UpstreamHealth()
        health.start_attempt(1, 0)
        self.assertGreaterEqual(
            health.expected_time(_REFERENCE_TIME, 2, 0.5), 0.5
        )

    def test_ejection_grows_and_ends(self) -> None:
        """Consecutive failures eject, for longer each time."""
        health = UpstreamHealth()
        durations = []
        for now in (10, 20):
            for number in range(3):
                health.start_attempt(number, now)
                health.record_failure(number, now)
            durations.append(health.ejected_until - now)
        self.assertTrue(health.is_ejected(20.1))
        self.assertGreater(durations[1], durations[0])
        self.exchange(health, 30, 0.01)
        self.assertFalse(health.is_ejected(30.1))


class SelectorTest(TestCase):
    """Selection by the expected time."""

    def setUp(self) -> None:
        """Create two replicas in two failure domains."""
        super().setUp()
        self.directory = make_directory(['s'], 1)
        self.directory.apply_record(
            make_record('far', 's', failure_domain='south'), 0
        )
        self.pacer = UpstreamPacer()
        self.selector = Selector('north', self.pacer, Random(1))

    def choose(self, now: float = 0, excluded: tuple = ()):
        """Return the id of the selected upstream."""
        chosen = self.selector.choose(
            self.directory.usable('s'), set(excluded), _REFERENCE_TIME, 4, now
        )
        return None if chosen is None else chosen.id

    def test_own_domain_first(self) -> None:
        """Of equal replicas, the one in the own failure domain is chosen."""
        self.assertEqual({'s-0'}, {self.choose() for _ in range(20)})

    def test_overdue_local_replica(self) -> None:
        """A remote replica is preferred to a local one with late replies."""
        self.directory.by_id['s-0'].health.start_attempt(1, 0)
        self.assertEqual('far', self.choose(now=0.2))

    def test_ejected_is_the_last_resort(self) -> None:
        """An ejected replica is chosen only if there is no other."""
        health = self.directory.by_id['s-0'].health
        for number in range(3):
            health.record_failure(number, 1)
        self.assertEqual('far', self.choose(now=1.1))
        self.assertEqual('s-0', self.choose(1.1, ('far',)))

    def test_unreachable_is_not_chosen(self) -> None:
        """An unreachable upstream gets no requests."""
        self.directory.by_id['s-0'].health.record_unreachable(1)
        self.assertIsNone(self.choose(1.1, ('far',)))

    def test_outstanding_limit(self) -> None:
        """An upstream at the limit of outstanding requests is skipped."""
        for number in range(4):
            self.directory.by_id['s-0'].health.start_attempt(number, 0)
        self.assertEqual('far', self.choose())
