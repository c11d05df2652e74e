"""Calls: the sends, hedges and retries of one request to one service."""

from collections.abc import Callable
from dataclasses import dataclass, field

from sesametrack.contracts.types import (
    Fingerprint,
    Instant,
    Seconds,
    ServiceId,
    UpstreamId,
)
from sesametrack.routing.crash_ledger import CrashLedger
from sesametrack.routing.crash_records import Standing
from sesametrack.routing.desired_state import Route
from sesametrack.routing.directory import Upstream, UpstreamDirectory
from sesametrack.routing.events import (
    Action,
    AttemptLimit,
    BorrowExtraSend,
    FailureKind,
    LogEvent,
    ReplyKind,
    RequestPermits,
    Send,
    UpstreamReply,
)
from sesametrack.routing.leaving import latest_hedge_at
from sesametrack.routing.pacing import UpstreamPacer
from sesametrack.routing.retry_budget import RetryBudget
from sesametrack.routing.selection import Selector
from sesametrack.routing.timing import TimingTable

# Interval at which a request without a permit looks for one: the time of a
# round trip to the coordinator.
_PERMIT_POLL_INTERVAL: Seconds = 0.004
# Interval at which a request looks for the permit of a version on trial, and
# how long it waits for it: a round trip to the coordinator.
_TRIAL_POLL_INTERVAL: Seconds = 0.002
_MAX_TRIAL_WAIT: Seconds = 0.012
# How long permits are waited for that only a hedge, or a later request, uses.
_SPARE_PERMIT_WAIT: Seconds = 0.05
# Delay before the same upstreams are tried again. It doubles with each of them,
# up to a maximum: upstreams that reject a request are full for a while, and
# each further arrival costs a part of the retry budget.
_RETRY_DELAY: Seconds = 0.008
_MAX_RETRY_DELAY: Seconds = 0.128
# How long a request without any attempt left waits for further ones.
_GRANT_TIMEOUT: Seconds = 0.01
# Interval at which a call looks for the extra send that it has asked for, and
# how long it waits: two holders may be asked one after the other.
_BORROW_POLL_INTERVAL: Seconds = 0.002
_MAX_BORROW_WAIT: Seconds = 0.03
# Extra sends that hedges leave in the retry budget for retries.
_HEDGE_RESERVE = 0.25
_NEVER: Instant = float('inf')
# Reason of calls without an upstream that takes another request in time.
RATE_LIMITED = 'rate-limit'
# Reason of calls whose upstreams all want no request until it is too late.
PAUSED = 'paused'
# Reason of calls that end since upstreams end under the request.
CRASHING = 'crashing'
# Interval at which a call looks whether its retry is still held back.
_HELD_RETRY_INTERVAL: Seconds = 0.005


@dataclass(slots=True)
class CallContext:
    """Collaborators that all calls of a router share."""

    directory: UpstreamDirectory
    selector: Selector
    budget: RetryBudget
    pacer: UpstreamPacer
    timings: TimingTable
    next_attempt_id: Callable[[], int]
    max_outstanding: Callable[[ServiceId], int]
    ledger: CrashLedger = field(default_factory=CrashLedger)


@dataclass(slots=True)
class Attempt:
    """One send of the request to one upstream."""

    id: int
    upstream: Upstream
    sent_at: Instant
    is_pending: bool = True
    # False once the upstream is known not to have run the request.
    may_have_run: bool = True
    # False once the request is known not to have been written.
    may_have_been_sent: bool = True


@dataclass(slots=True)
class Call:
    """Obtains one service's reply within the limits of the route.

    `wake_at` is when `on_timer` is next due. A call finishes with a `reply`,
    or without one and with a `reason`.
    """

    context: CallContext
    route: Route
    service: ServiceId
    deadline: Instant
    # Hedges and retries are sent only before this instant.
    send_until: Instant
    # Sends made before this instant have it as their deadline: a later reply
    # would not be used, and the request would only delay others in the
    # upstream's queue that can still be answered in time.
    early_send_deadline: Instant = 0
    # Shared with the other calls of a gather.
    attempt_limit: AttemptLimit | None = None
    # Whether another VM may have sent the request to this service before.
    is_retry: bool = False
    # The upstreams that the other VM reported to have sent it to.
    tried_before: frozenset[UpstreamId] = frozenset()
    # Of the request, empty if nothing is known of its former runs.
    fingerprint: Fingerprint = ''
    # While set, upstreams may be ending under the request, and another of its
    # calls finds out.
    holds_retries: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    reply: UpstreamReply | None = None
    failed_reply: UpstreamReply | None = None
    is_finished: bool = False
    reason: str = ''
    wake_at: Instant = _NEVER
    # When an upstream takes a request again, if the call finished as none did:
    # for want of a permit, or since all had asked for a pause.
    next_send_at: Instant = 0
    # When the reply has to be there for the answer to be in time.
    wanted_by: Instant = _NEVER
    _may_have_arrived: bool = False
    # Whether a hedge or retry waits for further attempts.
    _is_awaiting_grant: bool = False
    # Since when a hedge or retry waits for an extra send of another VM.
    _borrowing_since: Instant | None = None
    # The upstream whose permit for a trial is waited for, and until when.
    _trial_upstream: UpstreamId = ''
    _trial_wait_until: Instant = 0

    def __post_init__(self) -> None:
        """Grant all attempts of the route unless there is another limit."""
        if self.attempt_limit is None:
            attempts = self.route.max_attempts
            self.attempt_limit = AttemptLimit(attempts, attempts)

    @property
    def may_have_run(self) -> bool:
        """Return whether an upstream may have run the request."""
        return any(attempt.may_have_run for attempt in self.attempts)

    @property
    def has_pending(self) -> bool:
        """Return whether a send is still pending."""
        return any(attempt.is_pending for attempt in self.attempts)

    @property
    def tried(self) -> list[UpstreamId]:
        """Return the upstreams that the request may have been sent to."""
        sent_to = {
            attempt.upstream.id
            for attempt in self.attempts
            if attempt.may_have_been_sent
        }
        return sorted(sent_to | self.tried_before)

    def start(self, now: Instant) -> list[Action]:
        """Return the first send of this call."""
        if self.is_retry:
            self._may_have_arrived = True
            return self._send('retry', now)
        self.context.budget.record_request(self.service, now)
        return self._send('first', now)

    def on_reply(
        self, attempt_id: int, reply: UpstreamReply, now: Instant
    ) -> list[Action]:
        """Handle a complete reply to one of the sends."""
        attempt = self._end_attempt(attempt_id)
        if attempt is None or self.is_finished:
            return []
        self._may_have_arrived = True
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
        """Handle a send that ended without a reply."""
        attempt = self._end_attempt(attempt_id)
        if attempt is None or self.is_finished:
            return []
        if kind is FailureKind.withdrawn:
            # It counts for nothing, so another upstream may be chosen.
            self.attempts.remove(attempt)
            attempt.may_have_run = False
        elif kind is FailureKind.not_sent:
            attempt.may_have_run = False
            attempt.may_have_been_sent = False
        else:
            self._may_have_arrived = True
        return self._retry(attempt, f'upstream-{kind.value}', now)

    def postpone(self, until: Instant) -> None:
        """Delay the next hedge or retry."""
        self.wake_at = until

    def on_attempts_granted(self, now: Instant) -> None:
        """Schedule the hedge or retry that waited for further attempts."""
        if self._is_awaiting_grant and not self.is_finished:
            self._is_awaiting_grant = False
            self.wake_at = now

    def on_timer(self, now: Instant) -> list[Action]:
        """Hedge or retry if that is due."""
        if self.is_finished or now < self.wake_at:
            return []
        self.wake_at = _NEVER
        if self._trial_upstream and not self.attempts:
            return self._send('first', now)
        if not self.has_pending:
            return self._send('retry', now)
        return self._hedge(now)

    def hold_back(self, reason: str) -> None:
        """Finish without any send."""
        self._finish(reason)

    def stop_crashing(self) -> None:
        """Finish without a retry unless a send is pending."""
        if not self.is_finished and not self.has_pending:
            self._finish(CRASHING)

    def _hedge(self, now: Instant) -> list[Action]:
        if not self.route.is_repeatable or now >= self.send_until:
            return []
        standing = self.context.ledger.standing(
            self.fingerprint, now, self.service
        )
        if standing is not Standing.clear:
            return []
        upstream = self._choose_upstream(now)
        if upstream is None:
            self._is_awaiting_grant = self.attempt_limit.may_grow
            requests = self._request_permits(now, has_alternative=False)
            if requests:
                self.wake_at = now + _PERMIT_POLL_INTERVAL
            return requests
        if upstream.health.is_ejected(now):
            return []
        if not self.context.selector.is_near(upstream):
            hedge_at = latest_hedge_at(
                self.wanted_by,
                self.context.timings.for_route(self.route).p90(now),
            )
            if now < hedge_at < _NEVER:
                self.wake_at = hedge_at
                return []
        if self.context.budget.spend(self.service, now, _HEDGE_RESERVE):
            return self._start_attempt(upstream, 'hedge', now)
        if self._may_wait_for_budget(now):
            return self._wait_for_budget(now)
        return [self._make_event('hedge-refused', 'budget', now)]

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
        if now >= self.send_until and self.attempts:
            self._finish(self.reason or 'late')
            return []
        if self.attempts:
            if self.holds_retries:
                self.wake_at = now + _HELD_RETRY_INTERVAL
                return []
            may_retry = self.context.ledger.may_retry(
                self.fingerprint, now, self.service
            )
            if not may_retry:
                self._finish(CRASHING)
                return [self._make_event('retry-refused', CRASHING, now)]
        elif self.context.directory.has_rollout(self.service):
            actions = self._ask_for_trial(now)
            if actions is not None:
                return actions
        upstream = self._choose_upstream(now)
        if upstream is None:
            return self._wait_for_capacity(now)
        # The budget limits how many requests arrive at a service, so a send
        # that follows only unsent ones costs nothing.
        is_extra = self._may_have_arrived
        if is_extra and not self.context.budget.spend(self.service, now):
            if self._may_wait_for_budget(now):
                return self._wait_for_budget(now)
            self._finish('retry-budget')
            return [self._make_event('retry-refused', 'budget', now)]
        return self._start_attempt(upstream, reason, now)

    def _ask_for_trial(self, now: Instant) -> list[Action] | None:
        """Ask once for a permit to send to a version on trial.

        Return None if there is nothing to wait for.
        """
        pacer = self.context.pacer
        if self._trial_upstream:
            is_over = now >= self._trial_wait_until
            if is_over or not pacer.is_requested(self._trial_upstream):
                return None
            self.wake_at = now + _TRIAL_POLL_INTERVAL
            return []
        trials = [
            upstream
            for upstream in self.context.directory.usable(self.service)
            if upstream.trial and not upstream.health.is_ejected(now)
        ]
        warm = [one for one in trials if now >= one.cold_until]
        if not warm or any(pacer.allows(one, now) for one in warm):
            return None
        chosen = pacer.start_trial_request(warm, now)
        if chosen is None:
            return None
        self._trial_upstream = chosen.id
        self._trial_wait_until = now + _MAX_TRIAL_WAIT
        self.wake_at = now + _TRIAL_POLL_INTERVAL
        return [RequestPermits([[chosen]], 0, 0)]

    def _may_wait_for_budget(self, now: Instant) -> bool:
        """Return whether another VM may still lend an extra send."""
        since = now if self._borrowing_since is None else self._borrowing_since
        return (
            now < since + _MAX_BORROW_WAIT
            and self.context.budget.may_borrow(self.service, now)
        )

    def _wait_for_budget(self, now: Instant) -> list[Action]:
        """Ask once, then look for the result again and again."""
        self.wake_at = now + _BORROW_POLL_INTERVAL
        if self._borrowing_since is not None:
            return []
        self._borrowing_since = now
        return [BorrowExtraSend(self.service)]

    def _wait_for_capacity(self, now: Instant) -> list[Action]:
        usable = self.context.directory.usable(self.service)
        if all(upstream.health.is_unreachable for upstream in usable):
            self._finish('no-upstream')
            return [self._make_event('call-over', 'no-upstream', now)]
        if not self._allowed_upstreams(usable):
            if self.attempt_limit.may_grow and not self._is_awaiting_grant:
                self._is_awaiting_grant = True
                self.wake_at = now + _GRANT_TIMEOUT
                return []
            self._finish(self.reason or 'max-attempts')
            return []
        reachable = [
            upstream
            for upstream in self._allowed_upstreams(usable)
            if not upstream.health.is_unreachable
        ]
        accepting = [one for one in reachable if not one.health.is_paused(now)]
        if reachable and not accepting:
            return self._wait_for_pause(reachable, now)
        pacer = self.context.pacer
        if accepting and not any(pacer.allows(one, now) for one in accepting):
            return self._wait_for_permit(accepting, now)
        self.wake_at = now + self._retry_delay
        self.reason = self.reason or 'no-room'
        return []

    def _wait_for_pause(
        self, upstreams: list[Upstream], now: Instant
    ) -> list[Action]:
        """Wait for the end of the first pause, or finish if it is too late."""
        self.next_send_at = min(one.health.paused_until for one in upstreams)
        if self.next_send_at >= (self.early_send_deadline or self.send_until):
            self._finish(PAUSED)
            return [self._make_event('call-over', PAUSED, now)]
        self.wake_at = self.next_send_at
        self.reason = self.reason or PAUSED
        return []

    def _wait_for_permit(
        self, upstreams: list[Upstream], now: Instant
    ) -> list[Action]:
        """Request permits, or finish if none can be had in time."""
        requests = self._request_permits(now, has_alternative=False)
        self.next_send_at = self.context.pacer.earliest_send_at(upstreams, now)
        if self.next_send_at >= (self.early_send_deadline or self.send_until):
            self._finish(RATE_LIMITED)
            return [self._make_event('call-over', RATE_LIMITED, now)]
        self.wake_at = max(self.next_send_at, now + _PERMIT_POLL_INTERVAL)
        self.reason = self.reason or RATE_LIMITED
        return requests

    def _request_permits(
        self, now: Instant, *, has_alternative: bool
    ) -> list[Action]:
        """Return a request for permits of the upstreams passed over."""
        wanted = self.context.pacer.take_requests(
            now, has_alternative=has_alternative
        )
        if not wanted:
            return []
        max_wait = _SPARE_PERMIT_WAIT
        if not has_alternative and not self.has_pending:
            max_wait = max(0, self.send_until - now)
        return [RequestPermits([[one] for one in wanted], 0, max_wait)]

    def _start_attempt(
        self, upstream: Upstream, reason: str, now: Instant
    ) -> list[Action]:
        attempt = Attempt(self.context.next_attempt_id(), upstream, now)
        self.attempts.append(attempt)
        upstream.health.start_attempt(attempt.id, now)
        write_by = self.context.pacer.record_send(upstream, now)
        self._borrowing_since = None
        self.wake_at = _NEVER
        if self.route.is_repeatable and reason != 'hedge':
            timing = self.context.timings.for_route(self.route)
            self.wake_at = now + timing.hedge_delay(self.route.target, now)
        is_early = now < self.early_send_deadline
        deadline = self.early_send_deadline if is_early else self.deadline
        return [
            Send(
                attempt.id,
                upstream,
                deadline,
                self.service,
                reason,
                write_by=write_by,
            ),
            *self._request_permits(now, has_alternative=True),
        ]

    def _choose_upstream(self, now: Instant) -> Upstream | None:
        usable = self.context.directory.usable(self.service)
        avoided = {attempt.upstream.id for attempt in self.attempts}
        if self.attempts and not self.has_pending:
            # Upstreams that rejected the request are tried again only if
            # there is no other.
            untried = self._select(
                self._allowed_upstreams(usable), avoided, now
            )
            if untried is not None:
                return untried
            avoided = {
                attempt.upstream.id
                for attempt in self.attempts
                if attempt.may_have_run
            }
            if self._is_retry_delayed(now):
                return None
        return self._select(self._allowed_upstreams(usable), avoided, now)

    def _select(
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
            time_left=self.wanted_by - now,
        )

    def _is_retry_delayed(self, now: Instant) -> bool:
        last_sent_at = max(attempt.sent_at for attempt in self.attempts)
        return now < last_sent_at + self._retry_delay

    @property
    def _retry_delay(self) -> Seconds:
        rejections = sum(
            1
            for attempt in self.attempts
            if attempt.may_have_been_sent and not attempt.may_have_run
        )
        return min(_MAX_RETRY_DELAY, _RETRY_DELAY * 2 ** max(0, rejections - 1))

    def _allowed_upstreams(self, usable: list[Upstream]) -> list[Upstream]:
        """Return the upstreams that the limit on attempts leaves."""
        used = {
            attempt.upstream.id: attempt.may_have_run or attempt.is_pending
            for attempt in self.attempts
        }
        if len(used.keys() | self.tried_before) < self.attempt_limit.granted:
            return [
                upstream
                for upstream in usable
                if not used.get(upstream.id, False)
            ]
        return [
            upstream
            for upstream in usable
            if not used.get(upstream.id, upstream.id not in self.tried_before)
        ]

    def _end_attempt(self, attempt_id: int) -> Attempt | None:
        for attempt in self.attempts:
            if attempt.id == attempt_id and attempt.is_pending:
                attempt.is_pending = False
                return attempt
        return None

    def _finish(self, reason: str) -> None:
        self.is_finished = True
        self.reason = reason
        self.wake_at = _NEVER

    def _make_event(self, event: str, reason: str, now: Instant) -> LogEvent:
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
