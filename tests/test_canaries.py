"""Tests of trials of requests under which upstreams have ended."""

from testtools import TestCase

from sesametrack.routing.admission import AdmissionExchange
from sesametrack.routing.canaries import (
    is_trial,
    try_held_shards,
    try_suspect,
)
from sesametrack.routing.crash_records import Standing, UpstreamEnd
from sesametrack.routing.events import (
    Admit,
    Deliver,
    Failure,
    FailureKind,
    Refusal,
    RequestPermits,
    Send,
)
from sesametrack.routing.exchanges import GatherExchange, gather_deadlines
from tests.router_builders import (
    make_context,
    make_directory,
    make_gather_route,
    make_reply,
    make_request,
    make_single_route,
)

_REQUEST = 'f' * 32
_SHARDS = 3


def make_trial(
    replicas: int, *, is_gather: bool = False
) -> AdmissionExchange | Refusal:
    """Make the trial of a request to services with some replicas each."""
    services = [f's{number}' for number in range(_SHARDS)]
    context = make_context(make_directory(services, replicas))
    request = make_request()
    route = make_single_route(is_repeatable=True)
    admitted = None
    if is_gather:
        route = make_gather_route(_SHARDS)
        deadlines = gather_deadlines(request, route)
        admitted = GatherExchange(request, route, context, deadlines)
    return try_suspect(
        request, route, _REQUEST, route.services, admitted, context
    )


def sends(actions: list) -> list[Send]:
    """Return the sends among some actions."""
    return [one for one in actions if isinstance(one, Send)]


class TrialTest(TestCase):
    """A suspect runs at one upstream, with a permit, or not at all."""

    def test_permit_is_asked_for_first(self) -> None:
        """Nothing is sent before the coordinator permits it."""
        trial = make_trial(2)
        asked = trial.start(0)[0]
        self.assertIsInstance(asked, RequestPermits)
        self.assertTrue(is_trial(asked))
        refused = trial.on_permits(None, 3, 0.01)
        self.assertEqual(Refusal('suspect', 3), refused[-1].answer)

    # Guards against a suspect that ends the last replica of a service.
    def test_last_replica_is_spared(self) -> None:
        """There is no trial where only one replica is left."""
        self.assertIsInstance(make_trial(1), Refusal)
        self.assertIsInstance(make_trial(1, is_gather=True), Refusal)

    # Guards against a trial that hedges or retries, and ends two upstreams.
    def test_one_send(self) -> None:
        """A trial has one send, whatever comes of it."""
        trial = make_trial(3)
        trial.start(0)
        self.assertEqual([Admit()], trial.on_permits(0, 0, 0.01))
        single = trial.admitted
        send = sends(single.start(0.01))[0]
        self.assertEqual([], sends(single.on_timer(single.wake_at)))
        ended = single.on_failure(send.attempt_id, FailureKind.closed, 0.02)
        self.assertEqual([], sends(ended))
        self.assertIsInstance(ended[-1], Deliver)
        self.assertIsInstance(ended[-1].answer, Failure)

    def test_gather_follows_success(self) -> None:
        """A gather goes to one shard first, and to all after a success."""
        canary = make_trial(2, is_gather=True).admitted
        send = sends(canary.start(0))[0]
        replied = canary.on_reply(send.attempt_id, make_reply(), 0.01)
        self.assertEqual([Admit()], replied)
        self.assertEqual(_SHARDS, len(sends(canary.admitted.start(0.01))))

    def test_gather_ends_with_its_canary(self) -> None:
        """A gather is not scattered after its trial ended an upstream."""
        canary = make_trial(2, is_gather=True).admitted
        send = sends(canary.start(0))[0]
        ended = canary.on_failure(send.attempt_id, FailureKind.closed, 0.01)
        self.assertTrue(canary.is_done)
        self.assertIsInstance(ended[-1].answer, Failure)


class FirstScatterTest(TestCase):
    """A gather whose first upstreams all end retries one shard."""

    # Guards against retries of all shards that end the last replicas.
    def test_one_retry(self) -> None:
        """The other retries wait, and are dropped if that one ends too."""
        gather, first = self.start_gather()
        retries = []
        for send in first:
            failed = gather.on_failure(
                send.attempt_id, FailureKind.closed, 0.01
            )
            retries.extend(sends(failed))
        self.assertEqual(1, len(retries))
        self.assertEqual([], sends(gather.on_timer(0.02)))
        ended = gather.on_failure(
            retries[0].attempt_id, FailureKind.closed, 0.03
        )
        self.assertEqual([], sends(ended))
        self.assertIsInstance(ended[-1].answer, Failure)

    # Guards against innocent gathers losing their retries to a wave of ends.
    def test_success_releases_retries(self) -> None:
        """All shards are retried once one has succeeded."""
        gather, first = self.start_gather()
        retries = []
        for send in first:
            failed = gather.on_failure(
                send.attempt_id, FailureKind.closed, 0.01
            )
            retries.extend(sends(failed))
        gather.on_reply(retries[0].attempt_id, make_reply(), 0.02)
        self.assertEqual(_SHARDS - 1, len(sends(gather.on_timer(0.02))))

    def start_gather(self) -> tuple[GatherExchange, list[Send]]:
        """Start a gather; return it and its first sends."""
        services = [f's{number}' for number in range(_SHARDS)]
        context = make_context(make_directory(services, 2))
        request = make_request()
        route = make_gather_route(_SHARDS)
        gather = GatherExchange(
            request, route, context, gather_deadlines(request, route)
        )
        return gather, sends(gather.start(0))


class HeldShardTest(TestCase):
    """A gather goes on without the shards that it ends."""

    def setUp(self) -> None:
        """Let upstreams of one shard end, while the others answer."""
        super().setUp()
        services = [f's{number}' for number in range(_SHARDS)]
        self.context = make_context(make_directory(services, 2))
        self.ledger = self.context.ledger
        self.request = make_request()
        self.route = make_gather_route(_SHARDS, 0.5)
        for number in range(2):
            end = UpstreamEnd(
                (f'i-{number}', 1), number - 2, number - 1.5, 's1'
            )
            self.ledger.record_end(_REQUEST, end, number - 1.5)
        self.ledger.record_success(_REQUEST, 's0', -1)

    def make_gather(self, *, is_trial: bool = False) -> GatherExchange:
        """Make the gather, or the one that tries the held shard as well."""
        return GatherExchange(
            self.request,
            self.route,
            self.context,
            gather_deadlines(self.request, self.route),
            fingerprint=_REQUEST,
            is_trial=is_trial,
        )

    def make_admission(self) -> AdmissionExchange:
        """Make what asks for a permit to try the held shard."""
        return try_held_shards(
            self.make_gather(is_trial=True),
            self.make_gather(),
            self.request,
            self.route,
            _REQUEST,
            ['s1'],
            self.context,
        )

    # Guards against a request that ends the searchers of one shard and is
    # cleared by the others.
    def test_success_elsewhere_clears_nothing(self) -> None:
        """The shard stays a suspect, and the others are clear."""
        self.assertIs(Standing.suspect, self.ledger.standing(_REQUEST, 0, 's1'))
        self.assertIs(Standing.clear, self.ledger.standing(_REQUEST, 0, 's2'))
        self.ledger.record_success(_REQUEST, 's1', 0)
        self.assertIs(Standing.clear, self.ledger.standing(_REQUEST, 0))

    # Guards against refusing all of a gather for the sake of one shard.
    def test_gather_without_held_shard(self) -> None:
        """Only the other shards are sent to, and the answer says so."""
        exchange = self.make_gather()
        started = sends(exchange.start(0))
        self.assertEqual({'s0', 's2'}, {one.service for one in started})
        self.assertEqual('suspect', exchange.missing_shards()['s1'])

    def test_trial_with_a_permit(self) -> None:
        """With a permit the held shard is tried, and not otherwise."""
        for wait, tried in ((0, {'s0', 's1', 's2'}), (None, {'s0', 's2'})):
            admission = self.make_admission()
            self.assertIsInstance(admission.start(0)[0], RequestPermits)
            self.assertIsInstance(admission.on_permits(wait, 1, 0)[0], Admit)
            started = sends(admission.admitted.start(0))
            self.assertEqual(tried, {one.service for one in started})

    # Guards against a request that is sent on to the shards of which nothing
    # is known, after it has ended upstreams of many.
    def test_many_shards(self) -> None:
        """Ends at many services hold all of them, whoever answers."""
        for number in range(2, 5):
            end = UpstreamEnd((f'i-{number}', 1), 3, 4, f's{number}')
            self.ledger.record_end(_REQUEST, end, 4)
        self.assertTrue(self.ledger.is_whole(_REQUEST, 4))
        self.assertEqual(
            {'s0', 's9'},
            self.ledger.held_services(_REQUEST, ['s0', 's9'], 4),
        )
