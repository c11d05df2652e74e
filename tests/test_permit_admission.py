"""Tests of requests that can only be answered with permits."""

from testtools import TestCase

from sesametrack.routing.admission import AdmissionExchange, admit
from sesametrack.routing.events import (
    Admit,
    Deliver,
    LogEvent,
    Refusal,
    RequestPermits,
)
from sesametrack.routing.exchanges import (
    Exchange,
    GatherExchange,
    SingleExchange,
    gather_deadlines,
)
from sesametrack.routing.pacing import PERMIT_TIMEOUT
from tests.router_builders import (
    make_context,
    make_directory,
    make_gather_route,
    make_request,
    make_single_route,
)


class AdmissionTest(TestCase):
    """What a request does while its upstreams limit their rate."""

    def setUp(self) -> None:
        """Create four services with two upstreams each."""
        super().setUp()
        self.services = ('s0', 's1', 's2', 's3')
        self.directory = make_directory(list(self.services), 2)
        self.context = make_context(self.directory)

    def limit(self, *upstream_ids: str) -> None:
        """Let upstreams limit their rate."""
        for upstream_id in upstream_ids:
            limit = self.directory.by_id[upstream_id].rate_limit
            limit.record_reply(2, 0, 0.5)

    def admit_single(self) -> Exchange:
        """Return the exchange of a single request to the first service."""
        request, route = make_request(1), make_single_route(is_repeatable=False)
        single = SingleExchange(request, route, 's0', self.context)
        return admit(single, request, route, ('s0',), self.context, 1)

    def admit_gather(self, min_share: float) -> Exchange:
        """Return the exchange of a gather over all services."""
        request, route = make_request(1), make_gather_route(4, min_share)
        deadlines = gather_deadlines(request, route)
        gather = GatherExchange(request, route, self.context, deadlines)
        return admit(gather, request, route, self.services, self.context, 1)

    def test_without_limits(self) -> None:
        """A request that can do without permits starts at once."""
        self.assertIsInstance(self.admit_single(), SingleExchange)
        self.limit('s0-0')
        self.assertIsInstance(self.admit_single(), SingleExchange)
        self.limit('s0-1')
        self.assertIsInstance(self.admit_gather(0.75), GatherExchange)

    def test_needs_of_a_gather(self) -> None:
        """A gather asks for as many permits as its least share needs."""
        self.limit('s0-0', 's0-1', 's1-0', 's1-1', 's2-0')
        admission = self.admit_gather(0.75)
        requested = admission.start(1)[0]
        self.assertIsInstance(requested, RequestPermits)
        self.assertEqual(1, requested.min_permits)
        needed = [{one.id for one in need} for need in requested.needs]
        self.assertEqual([{'s0-0', 's0-1'}, {'s1-0', 's1-1'}], needed)

    def test_delayed_permits(self) -> None:
        """The exchange starts when its permits are due."""
        self.limit('s0-0', 's0-1')
        admission = self.admit_single()
        admission.start(1)
        self.assertEqual([], admission.on_permits(0.1, 0, 1.01))
        self.assertEqual([], admission.on_timer(1.05))
        self.assertEqual([Admit()], admission.on_timer(1.12))
        self.assertIsInstance(admission.admitted, SingleExchange)

    def test_denied(self) -> None:
        """Without enough permits the caller is told when to come back."""
        self.limit('s0-0', 's0-1')
        admission = self.admit_single()
        admission.start(1)
        self.assert_refused(0.4, admission.on_permits(None, 0.4, 1.01))
        self.assertTrue(admission.is_done)

    def test_silent_coordinator(self) -> None:
        """The caller waits for a silent coordinator only for a short time."""
        self.limit('s0-0', 's0-1')
        admission = self.admit_single()
        admission.start(1)
        self.assertEqual(1 + PERMIT_TIMEOUT, admission.wake_at)
        self.assert_refused(0.25, admission.on_timer(1 + PERMIT_TIMEOUT))

    def test_known_to_be_late(self) -> None:
        """A request whose permits are known to come late is refused at once."""
        self.limit('s0-0', 's0-1')
        for upstream_id in ('s0-0', 's0-1'):
            self.context.pacer.record_denied(upstream_id, 0.5, 0.9)
        admission = self.admit_single()
        self.assert_refused(0.4, admission.start(1))

    def test_late_result(self) -> None:
        """A result after the refusal is ignored."""
        self.limit('s0-0', 's0-1')
        admission = self.admit_single()
        admission.start(1)
        admission.on_timer(1 + PERMIT_TIMEOUT)
        self.assertEqual([], admission.on_permits(0, 0, 1.05))
        self.assertIsInstance(admission, AdmissionExchange)

    def assert_refused(self, retry_after: float, actions: list) -> None:
        """Check that the actions log and deliver a refusal."""
        event, delivery = actions
        self.assertIsInstance(event, LogEvent)
        self.assertIsInstance(delivery, Deliver)
        refusal = delivery.answer
        self.assertIsInstance(refusal, Refusal)
        self.assertEqual('rate-limit', refusal.reason)
        self.assertAlmostEqual(retry_after, refusal.retry_after)
