"""Admission of requests that can only be answered with permits."""

from math import ceil

from sesametrack.contracts.types import Instant, Seconds, ServiceId
from sesametrack.routing.calls import RATE_LIMITED, CallContext
from sesametrack.routing.desired_state import Route
from sesametrack.routing.directory import Upstream
from sesametrack.routing.events import (
    Action,
    Admit,
    CallerRequest,
    Deliver,
    FailureKind,
    LogEvent,
    Refusal,
    RequestPermits,
    UpstreamReply,
)
from sesametrack.routing.exchanges import (
    NEVER,
    RETRY_AFTER,
    ROUNDING_TOLERANCE,
    Exchange,
    exchange_deadline,
    gather_deadlines,
)
from sesametrack.routing.pacing import PERMIT_TIMEOUT

# Multiple of the median reply time that is left for the upstreams' replies
# when permits have been waited for.
_REPLY_TIME_FACTOR = 1.5


class AdmissionExchange:
    """Obtains permits for a request before any of it is sent.

    All upstreams of some services limit their rate. Requests that each got
    only a part of the permits that they need would use up the limits without
    an answer, so a request gets enough of them or is refused at once.
    """

    def __init__(
        self,
        admitted: Exchange,
        permits: RequestPermits,
        ready_at: Instant,
        reason: str = RATE_LIMITED,
        fallback: Exchange | None = None,
    ) -> None:
        """Prepare to run the `admitted` exchange once it has permits.

        Enough of them can't be had before `ready_at`. Without them the
        `fallback` runs; if there is none, the request is refused with the
        `reason`.
        """
        self.deadline = admitted.deadline
        self.is_done = False
        self.wake_at: Instant = NEVER
        self.admitted = admitted
        self._permits = permits
        self._ready_at = ready_at
        self._reason = reason
        self._fallback = fallback
        self._is_admitted = False

    def start(self, now: Instant) -> list[Action]:
        """Request the permits, or refuse if they are known to come too late."""
        if self._ready_at > now + self._permits.max_wait:
            return self._do_without(self._ready_at - now)
        self.wake_at = now + PERMIT_TIMEOUT
        return [self._permits]

    def on_permits(
        self, wait: Seconds | None, retry_after: Seconds, now: Instant
    ) -> list[Action]:
        """Start the exchange once its permits are due, or refuse it.

        `wait` is the time until all permits are due, None if there were not
        enough of them.
        """
        if self.is_done or self._is_admitted:
            return []
        if wait is None:
            return self._do_without(retry_after or RETRY_AFTER)
        self._is_admitted = True
        self.wake_at = now + wait
        return self.on_timer(now)

    def on_reply(
        self, attempt_id: int, reply: UpstreamReply, now: Instant
    ) -> list[Action]:
        """Ignore replies: nothing has been sent."""
        return []

    def on_failure(
        self, attempt_id: int, kind: FailureKind, now: Instant
    ) -> list[Action]:
        """Ignore failures: nothing has been sent."""
        return []

    def on_timer(self, now: Instant) -> list[Action]:
        """Start the exchange, or refuse it if the coordinator is silent."""
        if self.is_done or now < self.wake_at:
            return []
        self.wake_at = NEVER
        if self._is_admitted:
            return [Admit()]
        return self._do_without(RETRY_AFTER)

    def give_up(self, now: Instant) -> list[Action]:
        """Refuse the request, of which nothing has been sent."""
        return self._refuse(RETRY_AFTER)

    @property
    def attempts_left(self) -> int:
        """Return 0: a request without permits stays here."""
        return 0

    def _do_without(self, retry_after: Seconds) -> list[Action]:
        if self._fallback is None:
            return self._refuse(retry_after)
        self.admitted = self._fallback
        self._is_admitted = True
        self.wake_at = NEVER
        return [Admit()]

    def _refuse(self, retry_after: Seconds) -> list[Action]:
        self.is_done = True
        self.wake_at = NEVER
        details = {
            'reason': self._reason,
            'needed': self._permits.min_permits,
            'of': len(self._permits.needs),
        }
        return [
            LogEvent('admission-refused', details),
            Deliver(Refusal(self._reason, retry_after)),
        ]


def admit(
    exchange: Exchange,
    request: CallerRequest,
    route: Route,
    services: tuple[ServiceId, ...],
    context: CallContext,
    now: Instant,
) -> Exchange:
    """Return the exchange itself, or its admission if it needs permits.

    `services` are those that the request is sent to: all shards of a gather,
    or the one service that was chosen for a single request.
    """
    needs = _services_needing_permits(services, context, now)
    needed = 1
    if route.merge is not None:
        share = route.merge.min_shard_share * len(services)
        needed = max(1, ceil(share - ROUNDING_TOLERANCE))
    min_permits = needed - (len(services) - len(needs))
    if not needs or min_permits <= 0:
        return exchange
    latest = request.arrived_at + route.target
    if route.merge is not None:
        latest = gather_deadlines(request, route).cutoff
    latest = min(latest, exchange_deadline(request, route))
    reply_time = context.timings.for_route(route).median(now)
    max_wait = max(0, latest - now - _REPLY_TIME_FACTOR * reply_time)
    permits = RequestPermits(needs, min_permits, max_wait, is_admission=True)
    earliest = sorted(
        context.pacer.earliest_send_at(need, now) for need in needs
    )
    return AdmissionExchange(exchange, permits, earliest[min_permits - 1])


def _services_needing_permits(
    services: tuple[ServiceId, ...], context: CallContext, now: Instant
) -> list[list[Upstream]]:
    """Return the upstreams of each service that has no unlimited one."""
    needs = []
    for service in services:
        reachable = [
            upstream
            for upstream in context.directory.usable(service)
            if upstream.health.accepts_requests(now)
        ]
        if reachable and not any(
            context.pacer.allows(upstream, now) for upstream in reachable
        ):
            needs.append(reachable)
    return needs
