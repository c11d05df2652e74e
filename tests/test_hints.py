"""What VMs tell each other, and what they believe of it.

Load pattern: a seventh of all upstreams turns slow or dark at once, and each
VM would have to lose requests to each of them to find out by itself.
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

_USUAL = 0.01


class HintsTest(TestCase):
    """Hints make a bad upstream look bad before it is tried."""

    def setUp(self) -> None:
        """Make what two VMs know of the same upstreams."""
        super().setUp()
        self.here = make_directory(['s'], 2)
        self.there = make_directory(['s'], 2)

    def tell(
        self, now: float, domain: str = 'north', own: str = 'north'
    ) -> list[str]:
        """Let the other VM tell this one."""
        message = HintMessage('vm-2', domain, collect_hints(self.there, now))
        return apply_hints(self.here, message, own, now)

    def slow_reply(self, directory: UpstreamDirectory, now: float) -> None:
        """Let one slow reply of s-0 arrive."""
        health = directory.by_id['s-0'].health
        health.start_attempt(1, now - 0.2)
        health.record_reply(1, _USUAL, now)

    def expected(self, now: float) -> float:
        """Return what this VM expects of s-0."""
        return self.of('s-0').health.expected_time(_USUAL, 2, now)

    def of(self, upstream_id: str) -> Upstream:
        """Return this VM's view of an upstream."""
        return self.here.by_id[upstream_id]

    def test_slow_upstream(self) -> None:
        """A slow upstream is known before this VM has tried it."""
        for now in (1, 1.2, 1.4):
            self.slow_reply(self.there, now)
        self.assertEqual(['s-0'], self.tell(1.5))
        self.assertGreater(self.expected(1.5), 2.5 * _USUAL)
        self.assertLess(self.expected(12), 1.2 * _USUAL)

    def test_own_evidence_counts_more(self) -> None:
        """A good reply after the hint clears it."""
        for now in (1, 1.2, 1.4):
            self.slow_reply(self.there, now)
        self.tell(1.5)
        self.of('s-0').health.start_attempt(1, 1.6)
        self.of('s-0').health.record_reply(1, _USUAL, 1.61)
        self.assertLess(self.expected(1.7), 1.5 * _USUAL)

    def test_nothing_to_tell(self) -> None:
        """Sound upstreams, and old evidence, make no hints."""
        self.slow_reply(self.there, 1)
        self.assertEqual([], collect_hints(self.there, 3))

    def test_silence(self) -> None:
        """A reply that is long overdue is told."""
        self.there.by_id['s-0'].health.start_attempt(1, 1)
        self.assertEqual(['s-0'], self.tell(1.5))

    def test_cut_between_other_domains(self) -> None:
        """A peer on the far side of a cut does not convict upstreams.

        This VM reaches both sides; only a peer in the upstream's failure
        domain, or in this one, knows more of it.
        """
        self.there.by_id['s-0'].health.record_unreachable(1)
        self.assertEqual([], self.tell(1.1, domain='south', own='west'))
        self.assertEqual(['s-0'], self.tell(1.1, domain='west', own='west'))
        self.assertEqual([], self.tell(1.2, domain='west', own='west'))
        self.assertEqual(['s-0'], self.tell(3, domain='north', own='west'))

    def test_routes_that_others_serve(self) -> None:
        """A VM counts as serving while it says so, is ready and is heard.

        Pattern: two failure domains cannot reach each other and a third is
        cut off, so that the VMs of one find no replica, with the store in
        reach, while others do.
        """
        reach = PeerReachability()
        reach.observe(HintMessage('a', 'north', [], True, ['r1']), 1)
        reach.observe(HintMessage('b', 'north', [], False, []), 1)
        self.assertEqual([], reach.vms_serving(['r1'], 1.5))
        self.assertEqual(['a'], reach.vms_serving(['r2'], 1.5))
        reach.observe(HintMessage('b', 'north', [], True, []), 2)
        self.assertEqual(['b'], reach.vms_serving(['r1'], 2.5))
        self.assertEqual([], reach.vms_serving(['r1'], 6))

    def test_other_incarnation(self) -> None:
        """A hint about an earlier start says nothing of this one."""
        self.there.by_id['s-0'].health.record_unreachable(1)
        self.here.apply_record(make_record('s-0', 's', started_ms=9), 1)
        self.assertEqual([], self.tell(1.1))
