"""One service's part in a request: its sends, hedges and retries."""

from collections.abc import Callable
from dataclasses import dataclass, field

from sesametrack.contracts.types import Instant, Seconds, ServiceId, UpstreamId
from sesametrack.routing.desired_state import Route
from sesametrack.routing.directory import Upstream, UpstreamDirectory
from sesametrack.routing.events import (
    Action,
    FailureKind,
    LogEvent,
    ReplyKind,
    Send,
    UpstreamReply,
)
from sesametrack.routing.pacing import ColdStartPacer
from sesametrack.routing.retry_budget import RetryBudget
from sesametrack.routing.selection import Selector
from sesametrack.routing.timing import TimingTable

# Pause before the same upstreams are tried again that had no room.
_RETRY_PAUSE: Seconds = 0.008
# Extra sends that hedges leave in the budget for retries after failures.
_HEDGE_RESERVE = 0.25
_NEVER: Instant = float('inf')
_MS = 1000


@dataclass(slots=True)
class CallContext:
    """What all calls of a router share."""

    directory: UpstreamDirectory
    selector: Selector
    budget: RetryBudget
    pacer: ColdStartPacer
    timings: TimingTable
    next_attempt_id: Callable[[], int]
    max_outstanding: Callable[[ServiceId], int]


@dataclass(slots=True)
class Attempt:
    """One send of the request to one upstream."""

    id: int
    upstream: Upstream
    sent_at: Instant
    is_pending: bool = True
    # False once it is known that the upstream did not run the request.
    may_have_run: bool = True


@dataclass(slots=True)
class Call:
    """Gets one service's reply within the route's limits.

    `wake_at` is when `on_timer` is next due. A call is over with a `reply`,
    or without one and with a `reason`.
    """

    context: CallContext
    route: Route
    service: ServiceId
    deadline: Instant
    # Until then it pays to send once more.
    useful_until: Instant
    # Sends of before this instant are bound by it: a reply that comes later
    # would not be waited for, and in an upstream's queue the request would
    # only delay those that can still be answered in time.
    early_send_deadline: Instant = 0
    # Another VM may have sent the request to this service before.
    is_retry: bool = False
    # The upstreams that it was sent to then, as far as they are known.
    tried_before: frozenset[UpstreamId] = frozenset()
    attempts: list[Attempt] = field(default_factory=list)
    reply: UpstreamReply | None = None
    failed_reply: UpstreamReply | None = None
    is_over: bool = False
    reason: str = ''
    wake_at: Instant = _NEVER
    _has_arrival: bool = False

    @property
    def may_have_run(self) -> bool:
        """Tell whether an upstream may have begun to work."""
        return any(one.may_have_run for one in self.attempts)

    @property
    def has_pending(self) -> bool:
        """Tell whether a send has not ended."""
        return any(one.is_pending for one in self.attempts)

    @property
    def may_have_run_at(self) -> list[UpstreamId]:
        """Return the upstreams that may have begun to work."""
        ran = {one.upstream.id for one in self.attempts if one.may_have_run}
        return sorted(ran | self.tried_before)

    def start(self, now: Instant) -> list[Action]:
        """Send the request for the first time."""
        if self.is_retry:
            self._has_arrival = True
            return self._send('retry', now)
        self.context.budget.record_request(self.service, now)
        return self._send('first', now)

    def on_reply(
        self, attempt_id: int, reply: UpstreamReply, now: Instant
    ) -> list[Action]:
        """Take a whole reply of one of the sends."""
        attempt = self._end(attempt_id)
        if attempt is None or self.is_over:
            return []
        self._has_arrival = True
        if reply.kind is ReplyKind.succeeded:
            self.reply = reply
            self._finish('')
            return []
        attempt.may_have_run = reply.kind is ReplyKind.failed
        if reply.kind is ReplyKind.failed:
            self.failed_reply = reply
        return self._retry(attempt, f'upstream-{reply.kind.value}', now)

    def on_failure(
        self, attempt_id: int, kind: FailureKind, now: Instant
    ) -> list[Action]:
        """Take the end of a send without a reply."""
        attempt = self._end(attempt_id)
        if attempt is None or self.is_over:
            return []
        if kind is FailureKind.not_sent:
            attempt.may_have_run = False
        else:
            self._has_arrival = True
        return self._retry(attempt, f'upstream-{kind.value}', now)

    def postpone(self, until: Instant) -> None:
        """Let the next hedge or retry be due later."""
        self.wake_at = until

    def on_timer(self, now: Instant) -> list[Action]:
        """Hedge or retry if that is due."""
        if self.is_over or now < self.wake_at:
            return []
        self.wake_at = _NEVER
        if not self.has_pending:
            return self._send('retry', now)
        return self._hedge(now)

    def _hedge(self, now: Instant) -> list[Action]:
        if not self.route.is_repeatable or now >= self.useful_until:
            return []
        upstream = self._choose(now)
        if upstream is None or upstream.health.is_ejected(now):
            return []
        if not self.context.budget.spend(self.service, now, _HEDGE_RESERVE):
            return [self._note('hedge-refused', 'budget', now)]
        return self._begin(upstream, 'hedge', now)

    def _retry(
        self, attempt: Attempt, reason: str, now: Instant
    ) -> list[Action]:
        self.reason = reason
        if attempt.may_have_run and not self.route.is_repeatable:
            self._finish(reason)
            return []
        if self.has_pending:
            return []
        return self._send('retry', now)

    def _send(self, reason: str, now: Instant) -> list[Action]:
        if now >= self.useful_until and self.attempts:
            self._finish(self.reason or 'late')
            return []
        upstream = self._choose(now)
        if upstream is None:
            return self._wait_for_room(now)
        # A send that never arrived anywhere does not make the next one an
        # extra arrival.
        is_extra = self._has_arrival
        if is_extra and not self.context.budget.spend(self.service, now):
            self._finish('retry-budget')
            return [self._note('retry-refused', 'budget', now)]
        return self._begin(upstream, reason, now)

    def _wait_for_room(self, now: Instant) -> list[Action]:
        usable = self.context.directory.usable(self.service)
        if all(one.health.is_unreachable for one in usable):
            self._finish('no-upstream')
            return [self._note('call-over', 'no-upstream', now)]
        if not self._allowed(usable):
            self._finish(self.reason or 'max-attempts')
            return []
        self.wake_at = now + _RETRY_PAUSE
        self.reason = self.reason or 'no-room'
        return []

    def _begin(
        self, upstream: Upstream, reason: str, now: Instant
    ) -> list[Action]:
        attempt = Attempt(self.context.next_attempt_id(), upstream, now)
        self.attempts.append(attempt)
        upstream.health.start_attempt(attempt.id, now)
        self.context.pacer.record_send(upstream, now)
        self.wake_at = _NEVER
        if self.route.is_repeatable and reason != 'hedge':
            timing = self.context.timings.for_route(self.route)
            self.wake_at = now + timing.hedge_delay(self.route.target, now)
        is_early = now < self.early_send_deadline
        deadline = self.early_send_deadline if is_early else self.deadline
        return [Send(attempt.id, upstream, deadline, self.service, reason)]

    def _choose(self, now: Instant) -> Upstream | None:
        usable = self.context.directory.usable(self.service)
        avoided = {one.upstream.id for one in self.attempts}
        if self.attempts and not self.has_pending:
            # Upstreams that rejected the request are tried again only when
            # no other is left.
            fresh = self._pick(self._allowed(usable), avoided, now)
            if fresh is not None:
                return fresh
            avoided = {
                one.upstream.id for one in self.attempts if one.may_have_run
            }
            if self._is_pausing(now):
                return None
        return self._pick(self._allowed(usable), avoided, now)

    def _pick(
        self, usable: list[Upstream], avoided: set[UpstreamId], now: Instant
    ) -> Upstream | None:
        context = self.context
        return context.selector.choose(
            usable,
            avoided,
            context.timings.for_route(self.route).median(now),
            context.max_outstanding(self.service),
            now,
            is_conservative=not self.route.is_repeatable,
        )

    def _is_pausing(self, now: Instant) -> bool:
        latest = max(one.sent_at for one in self.attempts)
        return now < latest + _RETRY_PAUSE

    def _allowed(self, usable: list[Upstream]) -> list[Upstream]:
        """Keep to the number of upstreams that a request may be sent to."""
        used = {
            one.upstream.id: one.may_have_run or one.is_pending
            for one in self.attempts
        }
        if len(used.keys() | self.tried_before) < self.route.max_attempts:
            return [one for one in usable if not used.get(one.id, False)]
        return [
            one
            for one in usable
            if not used.get(one.id, one.id not in self.tried_before)
        ]

    def _end(self, attempt_id: int) -> Attempt | None:
        for attempt in self.attempts:
            if attempt.id == attempt_id and attempt.is_pending:
                attempt.is_pending = False
                return attempt
        return None

    def _finish(self, reason: str) -> None:
        self.is_over = True
        self.reason = reason
        self.wake_at = _NEVER

    def _note(self, event: str, reason: str, now: Instant) -> LogEvent:
        budget = self.context.budget.available(self.service, now)
        return LogEvent(
            event,
            {
                'service': self.service,
                'reason': reason,
                'budget_left': round(budget, 1),
                'sends': len(self.attempts),
            },
        )
