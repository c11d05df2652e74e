"""Trials of suspect requests, one at a time over all VMs.

A request under which an upstream has ended runs again only with a permit of
the coordinator, at one upstream, without hedges and retries. If it succeeds it
is no suspect any more.
"""

from collections.abc import Iterable
from dataclasses import replace

from sesametrack.contracts.types import (
    Fingerprint,
    Instant,
    Seconds,
    ServiceId,
)
from sesametrack.routing.admission import AdmissionExchange
from sesametrack.routing.calls import CallContext
from sesametrack.routing.desired_state import Route, WeightedService
from sesametrack.routing.directory import Upstream, UpstreamRecord
from sesametrack.routing.events import (
    Action,
    Admit,
    CallerRequest,
    Deliver,
    FailureKind,
    ForwardReply,
    Refusal,
    ReplyKind,
    RequestPermits,
    UpstreamReply,
)
from sesametrack.routing.exchanges import NEVER, Exchange, SingleExchange
from sesametrack.routing.rate_limits import RateLimit

# Least time between trials of one request over all VMs, and by how much it
# exceeds the longest time that a trial may take: its result has to be known.
_MIN_TRIAL_INTERVAL: Seconds = 4
_RESULT_TIME: Seconds = 1.5
# Suspects never go to the last replica of a service, which others need.
_MIN_REPLICAS = 2
_NO_REPLICA_DELAY: Seconds = 1
SUSPECT = 'suspect'
QUARANTINED = 'quarantined'
# Service id of suspect requests, whose trials get permits like upstreams.
SUSPECT_SERVICE = 'suspects'


def try_suspect(
    request: CallerRequest,
    route: Route,
    fingerprint: Fingerprint,
    services: Iterable[ServiceId],
    admitted: Exchange | None,
    context: CallContext,
) -> Exchange | Refusal:
    """Return the trial of a suspect, or refuse it for want of spare replicas.

    A gather runs on one of its shards first; `admitted` is the whole gather,
    which follows a success. The trial of a single request is all of it.
    """
    service = _choose_service(services, context)
    if service is None:
        return Refusal(SUSPECT, _NO_REPLICA_DELAY)
    trial_route = replace(
        route,
        max_attempts=1,
        weighted_services=(WeightedService(service),),
        shards=(),
        merge=None,
    )
    trial = SingleExchange(request, trial_route, service, context, fingerprint)
    if admitted is not None:
        trial = GatherCanary(trial, admitted)
    target = _make_permit_target(fingerprint, route, request.arrived_at)
    permits = RequestPermits([[target]], 1, 0, is_admission=True)
    return AdmissionExchange(trial, permits, request.arrived_at, SUSPECT)


def try_held_shards(
    trial: Exchange,
    rest: Exchange,
    request: CallerRequest,
    route: Route,
    fingerprint: Fingerprint,
    held: Iterable[ServiceId],
    context: CallContext,
) -> Exchange:
    """Return a gather that includes held shards if the coordinator permits it.

    `trial` is the gather over all shards, `rest` the one without those under
    which upstreams have ended. Shards without spare replicas stay out.
    """
    if _choose_service(held, context) is None:
        return rest
    target = _make_permit_target(fingerprint, route, request.arrived_at)
    permits = RequestPermits([[target]], 1, 0, is_admission=True)
    return AdmissionExchange(trial, permits, request.arrived_at, SUSPECT, rest)


def is_trial(request: RequestPermits) -> bool:
    """Return whether permits are requested for the trial of a suspect."""
    return any(
        target.record.service == SUSPECT_SERVICE
        for need in request.needs
        for target in need
    )


class GatherCanary:
    """Runs a gather's request on one shard, and all of it after a success."""

    def __init__(self, trial: SingleExchange, admitted: Exchange) -> None:
        """Prepare the trial of a gather."""
        self.admitted = admitted
        self.deadline = trial.deadline
        self.is_done = False
        self._trial = trial

    @property
    def wake_at(self) -> Instant:
        """Return when the timer is due."""
        return NEVER if self.is_done else self._trial.wake_at

    def start(self, now: Instant) -> list[Action]:
        """Return the send of the trial."""
        return self._process(self._trial.start(now))

    def on_reply(
        self, attempt_id: int, reply: UpstreamReply, now: Instant
    ) -> list[Action]:
        """Handle the reply to the trial."""
        return self._process(self._trial.on_reply(attempt_id, reply, now))

    def on_failure(
        self, attempt_id: int, kind: FailureKind, now: Instant
    ) -> list[Action]:
        """Handle the failure of the trial."""
        return self._process(self._trial.on_failure(attempt_id, kind, now))

    def on_timer(self, now: Instant) -> list[Action]:
        """Handle the timer of the trial."""
        return self._process(self._trial.on_timer(now))

    def give_up(self, now: Instant) -> list[Action]:
        """Answer with the failure so far."""
        return self._process(self._trial.give_up(now))

    @property
    def attempts_left(self) -> int:
        """Return 0: a suspect has one attempt."""
        return 0

    def _process(self, actions: list[Action]) -> list[Action]:
        """Replace the answer of a successful trial by the gather."""
        processed: list[Action] = []
        for action in actions:
            if isinstance(action, Deliver) and _is_success(action):
                processed.append(Admit())
            else:
                self.is_done = self.is_done or isinstance(action, Deliver)
                processed.append(action)
        return processed


def _is_success(action: Deliver) -> bool:
    answer = action.answer
    return (
        isinstance(answer, ForwardReply)
        and answer.reply.kind is ReplyKind.succeeded
    )


def _choose_service(
    services: Iterable[ServiceId], context: CallContext
) -> ServiceId | None:
    """Return the service with the most replicas, None if each has too few."""
    count_by_service = {
        service: sum(
            not upstream.health.is_unreachable
            for upstream in context.directory.usable(service)
        )
        for service in services
    }
    best = max(count_by_service, key=count_by_service.get)
    return best if count_by_service[best] >= _MIN_REPLICAS else None


def _make_permit_target(
    fingerprint: Fingerprint, route: Route, heard_at: Instant
) -> Upstream:
    """Return what permits for trials of a request are issued for."""
    interval = max(_MIN_TRIAL_INTERVAL, route.timeout + _RESULT_TIME)
    record = UpstreamRecord(
        id=f'request/{fingerprint}',
        service=SUSPECT_SERVICE,
        address='',
        failure_domain='',
        slots=1,
        is_draining=False,
        cold_left=0,
        sequence=0,
        started_ms=0,
    )
    return Upstream(
        record,
        cold_until=float('-inf'),
        rate_limit=RateLimit(1 / interval, heard_at),
    )
