"""Tests of the hints that VMs exchange about upstreams.

They guard against each VM losing requests to every bad upstream, when one
in seven upstreams becomes slow or unreachable at the same time.
"""

from testtools import TestCase

from sesametrack.routing.directory import Upstream, UpstreamDirectory
from sesametrack.routing.hints import (
    HintMessage,
    PeerReachability,
    apply_hints,
    collect_hints,
)
from tests.router_builders import make_directory, make_record

_REFERENCE_TIME = 0.01


class HintsTest(TestCase):
    """Hints lower the ranking of an upstream before this VM tries it."""

    def setUp(self) -> None:
        """Create the directories of two VMs with the same upstreams."""
        super().setUp()
        self.changes: list[tuple] = []
        self.local = make_directory(['s'], 2)
        self.remote = make_directory(['s'], 2)

    def send_hints(
        self, now: float, peer_domain: str = 'north', own_domain: str = 'north'
    ) -> list[str]:
        """Send the hints of the remote VM to the local one."""
        message = HintMessage(
            'vm-2', peer_domain, collect_hints(self.remote, now)
        )
        return apply_hints(
            self.local,
            message,
            own_domain,
            now,
            lambda upstream, before: self.changes.append(
                (upstream.id, before, upstream.rate_limit.per_s)
            ),
        )

    def record_slow_reply(
        self, directory: UpstreamDirectory, now: float
    ) -> None:
        """Record one slow reply of s-0."""
        health = directory.by_id['s-0'].health
        health.start_attempt(1, now - 0.2)
        health.record_reply(1, _REFERENCE_TIME, now)

    def expected_time(self, now: float) -> float:
        """Return the local VM's expected reply time of s-0."""
        return self.upstream('s-0').health.expected_time(
            _REFERENCE_TIME, 2, now
        )

    def upstream(self, upstream_id: str) -> Upstream:
        """Return an upstream in the local VM's directory."""
        return self.local.by_id[upstream_id]

    def test_limit(self) -> None:
        """A VM hears of a limit, its change and its end from another one.

        Its estimate of the upstream's speed stays as it was.
        """
        limit = self.remote.by_id['s-0'].rate_limit
        expected = self.expected_time(1.1)
        limit.record_reply(3, 0.9, 1)
        self.assertEqual([], self.send_hints(1.1))
        self.assertEqual(expected, self.expected_time(1.1))
        limit.record_reply(2, 1.1, 1.2)
        self.send_hints(1.3)
        limit.record_reply(None, 1.4, 1.5)
        self.send_hints(1.6)
        self.assertEqual(
            [('s-0', None, 3), ('s-0', 3, 2), ('s-0', 2, None)], self.changes
        )
        self.assertEqual([], collect_hints(self.remote, 5))

    def test_older_news(self) -> None:
        """What this VM heard itself is not replaced by older news."""
        self.remote.by_id['s-0'].rate_limit.record_reply(3, 0.9, 1)
        self.upstream('s-0').rate_limit.record_reply(8, 1, 1.1)
        self.send_hints(1.2)
        self.assertEqual(8, self.upstream('s-0').rate_limit.per_s)

    def test_news_of_another_incarnation(self) -> None:
        """The limit of an upstream ends with its process."""
        self.remote.by_id['s-0'].rate_limit.record_reply(3, 0.9, 1)
        self.local.apply_record(make_record('s-0', 's', started_ms=2), 1)
        self.send_hints(1.1)
        self.assertEqual([], self.changes)

    def test_slow_upstream(self) -> None:
        """A hint raises the expected time of an upstream, then decays."""
        for now in (1, 1.2, 1.4):
            self.record_slow_reply(self.remote, now)
        self.assertEqual(['s-0'], self.send_hints(1.5))
        self.assertGreater(self.expected_time(1.5), 2.5 * _REFERENCE_TIME)
        self.assertLess(self.expected_time(12), 1.2 * _REFERENCE_TIME)

    def test_own_measurements_take_precedence(self) -> None:
        """A normal reply after a hint overrides it."""
        for now in (1, 1.2, 1.4):
            self.record_slow_reply(self.remote, now)
        self.send_hints(1.5)
        self.upstream('s-0').health.start_attempt(1, 1.6)
        self.upstream('s-0').health.record_reply(1, _REFERENCE_TIME, 1.61)
        self.assertLess(self.expected_time(1.7), 1.5 * _REFERENCE_TIME)

    def test_no_hints(self) -> None:
        """Healthy upstreams and old measurements yield no hints."""
        self.record_slow_reply(self.remote, 1)
        self.assertEqual([], collect_hints(self.remote, 3))

    def test_overdue_reply(self) -> None:
        """A long overdue reply yields a hint."""
        self.remote.by_id['s-0'].health.start_attempt(1, 1)
        self.assertEqual(['s-0'], self.send_hints(1.5))

    def test_partition_between_other_domains(self) -> None:
        """A hint that an upstream is unreachable may be due to a partition.

        This VM reaches both sides of the partition. It accepts the hint only
        from a peer in its own or in the upstream's failure domain.
        """
        self.remote.by_id['s-0'].health.record_unreachable(1)
        self.assertEqual(
            [], self.send_hints(1.1, peer_domain='south', own_domain='west')
        )
        self.assertEqual(
            ['s-0'], self.send_hints(1.1, peer_domain='west', own_domain='west')
        )
        self.assertEqual(
            [], self.send_hints(1.2, peer_domain='west', own_domain='west')
        )
        self.assertEqual(
            ['s-0'], self.send_hints(3, peer_domain='north', own_domain='west')
        )

    def test_routes_that_others_serve(self) -> None:
        """A VM serves a route if a recent message says so and it is ready.

        Guards against a VM that accepts callers without a reachable replica.
        Two failure domains cannot reach each other and a third is isolated:
        the VMs of one reach the store but no replica, others can serve.
        """
        reachability = PeerReachability()
        reachability.observe(HintMessage('a', 'north', [], True, ['r1']), 1)
        reachability.observe(HintMessage('b', 'north', [], False, []), 1)
        self.assertEqual([], reachability.vms_serving(['r1'], 1.5))
        self.assertEqual(['a'], reachability.vms_serving(['r2'], 1.5))
        reachability.observe(HintMessage('b', 'north', [], True, []), 2)
        self.assertEqual(['b'], reachability.vms_serving(['r1'], 2.5))
        self.assertEqual([], reachability.vms_serving(['r1'], 6))

    def test_other_incarnation(self) -> None:
        """A hint about an earlier incarnation is ignored."""
        self.remote.by_id['s-0'].health.record_unreachable(1)
        self.local.apply_record(make_record('s-0', 's', started_ms=9), 1)
        self.assertEqual([], self.send_hints(1.1))
