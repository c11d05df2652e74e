"""Tests of how one VM keeps to the limits of upstreams."""

from testtools import TestCase

from sesametrack.contracts.permits import PermitRequest
from sesametrack.routing.desired_state import ServiceSpec
from sesametrack.routing.directory import Upstream
from sesametrack.routing.pacing import PERMIT_TIMEOUT, UpstreamPacer
from sesametrack.routing.permits import PermitIssuer
from tests.router_builders import make_directory, make_record


class UpstreamPacerTest(TestCase):
    """Permits for one limited upstream."""

    def setUp(self) -> None:
        """Create an upstream that has stated a limit."""
        super().setUp()
        self.upstream = make_directory(['s'], 1).by_id['s-0']
        self.upstream.rate_limit.record_reply(3, 0, 1)
        self.pacer = UpstreamPacer()

    def request(self, now: float, *, has_alternative: bool = False) -> int:
        """Pass the upstream over; return how many permits to request."""
        self.pacer.record_passed_over(self.upstream)
        return len(
            self.pacer.take_requests(now, has_alternative=has_alternative)
        )

    def test_permit(self) -> None:
        """A permit allows one send, in its time."""
        self.assertFalse(self.pacer.allows(self.upstream, 1))
        self.pacer.add_permit('s-0', 0.2, 0.5, 1)
        self.assertFalse(self.pacer.allows(self.upstream, 1.1))
        self.assertTrue(self.pacer.allows(self.upstream, 1.3))
        self.pacer.record_send(self.upstream, 1.3)
        self.assertFalse(self.pacer.allows(self.upstream, 1.3))
        self.pacer.add_permit('s-0', 0, 0.5, 2)
        self.assertFalse(self.pacer.allows(self.upstream, 2.6))

    def test_no_limit(self) -> None:
        """Without a limit, or after its end, no permit is needed."""
        self.upstream.rate_limit.record_reply(None, 1.5, 2)
        self.assertTrue(self.pacer.allows(self.upstream, 2))
        self.pacer.record_send(self.upstream, 2)

    def test_requests(self) -> None:
        """One request for permits is pending at a time, until its timeout."""
        self.assertEqual(1, self.request(1))
        self.assertEqual(0, self.request(1.01))
        self.assertEqual(1, self.request(1.01 + PERMIT_TIMEOUT))
        self.pacer.record_denied('s-0', 0.4, 1.05)
        self.assertEqual(0, self.request(1.4))
        self.assertEqual(1, self.request(1.46))

    def test_spare_requests(self) -> None:
        """Requests that have an alternative ask less often."""
        self.assertEqual(1, self.request(1, has_alternative=True))
        self.pacer.record_denied('s-0', 0, 1.01)
        self.assertEqual(0, self.request(1.1, has_alternative=True))
        self.assertEqual(1, self.request(1.1))
        self.pacer.record_denied('s-0', 0, 1.11)
        self.assertEqual(1, self.request(1.4, has_alternative=True))

    def test_lower_of_two_limits(self) -> None:
        """While an upstream is cold, the lower limit holds."""
        self.pacer.configure({'s': ServiceSpec('s', 25, 3, 2)})
        self.upstream.cold_until = 5
        self.assertEqual(2, self.pacer.limit(self.upstream, 4))
        self.assertTrue(self.pacer.describe(self.upstream, 4).is_cold)
        self.assertEqual(3, self.pacer.limit(self.upstream, 5))
        self.assertFalse(self.pacer.describe(self.upstream, 5).is_cold)

    def make_cold_upstream(self) -> Upstream:
        """Return an upstream that is cold for 3 s."""
        directory = make_directory([], 0)
        directory.apply_record(make_record('c', 's', cold_left=3), 0)
        return directory.by_id['c']

    def test_cold_rate_over_the_fleet(self) -> None:
        """The sends of all VMs to a cold upstream stay near its rate.

        Ten VMs ask one issuer, each whenever it has no permit.
        """
        upstream = self.make_cold_upstream()
        rate, vms = 20, 10
        pacers = [UpstreamPacer() for _ in range(vms)]
        issuer = PermitIssuer(0)
        sent = []
        for pacer in pacers:
            pacer.configure({'s': ServiceSpec('s', 25, 3, rate)})
        for step in range(3000):
            now = step / 1000
            for pacer in pacers:
                if pacer.allows(upstream, now):
                    pacer.record_send(upstream, now)
                    sent.append(now)
                    continue
                pacer.record_passed_over(upstream)
                if not pacer.take_requests(now, has_alternative=False):
                    continue
                ask_issuer(issuer, pacer, upstream, now)
        for start in range(20):
            at = start / 10
            within = sum(1 for one in sent if at <= one < at + 1)
            self.assertLessEqual(within, rate * 1.5 + 5)
        self.assertGreater(len(sent), 0.8 * rate * 3)
        self.assertTrue(pacers[0].allows(upstream, 3.1))


def ask_issuer(
    issuer: PermitIssuer, pacer: UpstreamPacer, upstream: Upstream, now: float
) -> None:
    """Pass a request for one permit to an issuer, and its reply back."""
    needs = [[pacer.describe(upstream, now)]]
    reply = issuer.issue(PermitRequest(1, needs, 0, 0.05), now)
    for permit in reply.permits:
        pacer.add_permit(upstream.id, permit.wait, permit.validity, now)
    for wait in reply.wait_by_upstream.values():
        pacer.record_denied(upstream.id, wait, now)
