"""Exchanges: one caller request, from its arrival to its answer."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import Protocol

from sesametrack.contracts.types import (
    Fingerprint,
    Instant,
    Seconds,
    ServiceId,
    UpstreamId,
)
from sesametrack.routing.calls import Call, CallContext
from sesametrack.routing.desired_state import Route
from sesametrack.routing.directory import UpstreamDirectory
from sesametrack.routing.events import (
    Action,
    Answer,
    AttemptLimit,
    CallerRequest,
    Deliver,
    Failure,
    FailureKind,
    ForwardReply,
    MergedAnswer,
    Refusal,
    ReplyKind,
    UpstreamReply,
)
from sesametrack.routing.merge import merge_top_records

# Reserved before the caller's deadline to write the answer.
ANSWER_RESERVE: Seconds = 0.008
# Reserved when a gather answers without its last shards: what the network adds
# to the caller's wait, the time to read the request and to write the answer,
# and a fraction of the target for the time that a busy VM takes longer.
_DEFAULT_NETWORK_TIME: Seconds = 0.004
_HANDLING_TIME: Seconds = 0.004
_RETURN_FRACTION = 0.06
# Multiple of the target at which sends made before it expire. It lies after
# the cut-off so that a gather that has too few shards by then can still use
# replies that arrive shortly after.
_EARLY_SEND_FACTOR = 1.5
# Late shards up to the greater of this number and this fraction of the gather
# are stragglers, and are hedged.
_MAX_STRAGGLERS = 3
_MAX_STRAGGLER_FRACTION = 0.2
# While this VM reads a backlog of replies, the gaps between them are shorter.
_MAX_REPLY_GAP: Seconds = 0.005
# Fraction of the time to the cut-off for which a gather without any reply
# delays hedges to many shards.
_NO_REPLY_FRACTION = 0.6
# Retry delay for refused callers; about the interval at which connections to
# unreachable upstreams are retried.
RETRY_AFTER: Seconds = 0.25
NEVER: Instant = float('inf')
_NONE_TRIED: Mapping[ServiceId, Iterable[UpstreamId]] = MappingProxyType({})
# Decimal shares have no exact binary representation.
ROUNDING_TOLERANCE = 1e-9


class Exchange(Protocol):
    """Interface of all kinds of exchanges, as their driver uses it."""

    wake_at: Instant
    is_done: bool
    deadline: Instant

    def start(self, now: Instant) -> list[Action]:
        """Return the first sends of the request."""

    def on_reply(
        self, attempt_id: int, reply: UpstreamReply, now: Instant
    ) -> list[Action]:
        """Handle a complete reply."""

    def on_failure(
        self, attempt_id: int, kind: FailureKind, now: Instant
    ) -> list[Action]:
        """Handle a send that ended without a reply."""

    def on_timer(self, now: Instant) -> list[Action]:
        """Handle the timer that is due at `wake_at`."""

    def give_up(self, now: Instant) -> list[Action]:
        """Answer now with what there is; nothing more can be waited for."""

    @property
    def attempts_left(self) -> int:
        """Return to how many further upstreams of each service it may go."""


def exchange_deadline(request: CallerRequest, route: Route) -> Instant:
    """Return the instant by which the caller must have its answer."""
    allowed = route.timeout
    if request.caller_timeout is not None:
        allowed = min(allowed, request.caller_timeout)
    return request.arrived_at + allowed


def is_servable(
    route: Route, directory: UpstreamDirectory, now: Instant
) -> bool:
    """Return whether enough services of a route have a reachable upstream."""
    reachable = sum(
        1
        for service in route.services
        if not directory.is_unreachable_from_peers(service, now)
        and any(
            not upstream.health.is_unreachable
            for upstream in directory.usable(service)
        )
    )
    return has_enough_shards(route, reachable)


def is_listed_but_unreachable(
    route: Route, directory: UpstreamDirectory, now: Instant
) -> bool:
    """Return whether a route's upstreams are listed, but not reachable.

    A route whose upstreams are not listed cannot be served by any VM, so it
    says nothing about this VM's network paths.
    """
    if is_servable(route, directory, now):
        return False
    listed = sum(1 for service in route.services if directory.usable(service))
    return has_enough_shards(route, listed)


def has_enough_shards(route: Route, shards: int) -> bool:
    """Return whether replies of this many services make up an answer."""
    if route.merge is None:
        return shards > 0
    least = route.merge.min_shard_share * len(route.shards)
    return shards > 0 and shards >= least - ROUNDING_TOLERANCE


class SingleExchange:
    """Forwards a request to one upstream of one service."""

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        service: str,
        context: CallContext,
        fingerprint: Fingerprint = '',
    ) -> None:
        """Prepare a call to the service that was chosen for the request."""
        self.deadline = exchange_deadline(request, route)
        self.is_done = False
        self.wake_at: Instant = NEVER
        self._answer_deadline = self.deadline - ANSWER_RESERVE
        self._call = Call(
            context,
            route,
            service,
            self.deadline,
            self._answer_deadline,
            fingerprint=fingerprint,
            wanted_by=min(
                self._answer_deadline,
                request.arrived_at + route.target - ANSWER_RESERVE,
            ),
        )

    def start(self, now: Instant) -> list[Action]:
        """Return the first send, or a refusal past the deadline."""
        if now >= self._answer_deadline:
            return self._deliver(Refusal('deadline', RETRY_AFTER))
        return self._answer_if_done(self._call.start(now), now)

    def on_reply(
        self, attempt_id: int, reply: UpstreamReply, now: Instant
    ) -> list[Action]:
        """Handle a complete reply."""
        return self._answer_if_done(
            self._call.on_reply(attempt_id, reply, now), now
        )

    def on_failure(
        self, attempt_id: int, kind: FailureKind, now: Instant
    ) -> list[Action]:
        """Handle a send that ended without a reply."""
        return self._answer_if_done(
            self._call.on_failure(attempt_id, kind, now), now
        )

    def on_timer(self, now: Instant) -> list[Action]:
        """Hedge, retry, or fail at the deadline."""
        return self._answer_if_done(self._call.on_timer(now), now)

    def give_up(self, now: Instant) -> list[Action]:
        """Answer with the failure so far."""
        return self._deliver(self._answer(now))

    @property
    def attempts_left(self) -> int:
        """Return to how many further upstreams the request may go."""
        return max(0, self._call.route.max_attempts - len(self._call.tried))

    def _answer_if_done(
        self, actions: list[Action], now: Instant
    ) -> list[Action]:
        if self.is_done:
            return actions
        call = self._call
        if not call.is_finished and now < self._answer_deadline:
            self.wake_at = min(call.wake_at, self._answer_deadline)
            return actions
        return actions + self._deliver(self._answer(now))

    def _answer(self, now: Instant) -> Answer:
        call = self._call
        if call.reply is not None:
            return ForwardReply(call.reply)
        if call.failed_reply is not None:
            return ForwardReply(call.failed_reply)
        if not call.may_have_run:
            retry_after = max(RETRY_AFTER, call.next_send_at - now)
            return Refusal(call.reason or 'deadline', retry_after)
        is_late = now >= self._answer_deadline
        return Failure(call.reason or 'deadline', is_late)

    def _deliver(self, answer: Answer) -> list[Action]:
        self.is_done = True
        self.wake_at = NEVER
        return [Deliver(answer)]


@dataclass(frozen=True, slots=True)
class GatherDeadlines:
    """Deadlines of a gather and of its early sends.

    After `cutoff` the gather answers without its last shards if the others
    are enough. Sends made before `early_send_deadline` have it as their
    deadline.
    """

    cutoff: Instant
    early_send_deadline: Instant


def gather_deadlines(request: CallerRequest, route: Route) -> GatherDeadlines:
    """Return the deadlines of a gather whose caller is connected to this VM."""
    deadline = exchange_deadline(request, route)
    network_time = request.network_time
    if network_time is None:
        network_time = _DEFAULT_NETWORK_TIME
    time_to_cutoff = max(
        route.target / 2,
        route.target * (1 - _RETURN_FRACTION) - _HANDLING_TIME - network_time,
    )
    return GatherDeadlines(
        min(deadline - ANSWER_RESERVE, request.arrived_at + time_to_cutoff),
        min(deadline, request.arrived_at + route.target * _EARLY_SEND_FACTOR),
    )


class GatherExchange:
    """Scatters a request to all shards of a route and merges the replies.

    The shards are those of the desired state that was current when the
    request arrived. The answer is sent when all calls have finished. Near
    the route's target latency it is sent without the last shards if the
    replies cover at least the route's minimum share, since a late answer is
    worth less to the caller than the missing shards.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        context: CallContext,
        deadlines: GatherDeadlines,
        *,
        attempts: AttemptLimit | None = None,
        is_retry: bool = False,
        tried_by_shard: Mapping[ServiceId, Iterable[UpstreamId]] = _NONE_TRIED,
        fingerprint: Fingerprint = '',
        is_trial: bool = False,
    ) -> None:
        """Prepare a call to each shard of the route.

        `attempts` replaces the route's limit on the upstreams of each shard.
        Shards whose upstreams have ended under the request are left out,
        unless it `is_trial`.
        """
        self.deadline = exchange_deadline(request, route)
        self.is_done = False
        self.wake_at: Instant = NEVER
        self._route = route
        self._context = context
        self._fingerprint = fingerprint
        self._is_trial = is_trial
        self._answer_deadline = self.deadline - ANSWER_RESERVE
        self._cutoff = min(self._answer_deadline, deadlines.cutoff)
        self._attempt_limit = attempts or AttemptLimit(
            route.max_attempts, route.max_attempts
        )
        self._calls = [
            Call(
                context,
                route,
                service,
                self.deadline,
                self._answer_deadline,
                deadlines.early_send_deadline,
                self._attempt_limit,
                is_retry,
                frozenset(tried_by_shard.get(service, ())),
                fingerprint,
                wanted_by=self._cutoff,
            )
            for service in route.shards
        ]
        self._call_by_attempt: dict[int, Call] = {}
        # The one retry that finds out whether upstreams end under the request.
        self._trial_attempt: int | None = None
        self._open_shards = set(route.shards)
        self._reply_count = 0
        self._last_reply_at = request.arrived_at
        self._hedge_hold_until = (
            request.arrived_at
            + (self._cutoff - request.arrived_at) * _NO_REPLY_FRACTION
        )

    def start(self, now: Instant) -> list[Action]:
        """Return a send to one upstream of each shard, or a refusal."""
        refused = self._refuse_unservable(now)
        if refused is not None:
            return self._deliver(refused)
        self._hold_suspected_shards(now)
        if not self._has_enough_shards(len(self._open_shards)):
            return self._deliver(self._answer_failure(now))
        actions: list[Action] = []
        for call in self._calls:
            if not call.is_finished:
                actions.extend(self._record_progress(call, call.start(now)))
        self._schedule(now)
        return self._answer_if_done(actions, now)

    def on_reply(
        self, attempt_id: int, reply: UpstreamReply, now: Instant
    ) -> list[Action]:
        """Handle a complete reply of one shard."""
        call = self._call_by_attempt[attempt_id]
        self._last_reply_at = now
        if reply.kind is ReplyKind.succeeded:
            self._release_retries(now)
        actions = self._record_progress(
            call, call.on_reply(attempt_id, reply, now)
        )
        return self._answer_if_done(actions, now)

    def on_failure(
        self, attempt_id: int, kind: FailureKind, now: Instant
    ) -> list[Action]:
        """Handle a send that ended without a reply."""
        call = self._call_by_attempt[attempt_id]
        is_crash = kind is FailureKind.closed and not self._reply_count
        call.holds_retries = is_crash and self._trial_attempt is not None
        actions = self._record_progress(
            call, call.on_failure(attempt_id, kind, now)
        )
        if is_crash and attempt_id == self._trial_attempt:
            self._stop_retries()
        elif is_crash and self._trial_attempt is None and call.has_pending:
            self._trial_attempt = call.attempts[-1].id
        return self._answer_if_done(actions, now)

    def on_timer(self, now: Instant) -> list[Action]:
        """Hedge, retry, answer at the cut-off or fail at the deadline."""
        actions: list[Action] = []
        if now < self._cutoff or not self._has_enough_shards(self._reply_count):
            due = [call for call in self._calls if call.wake_at <= now]
            if self._is_reply_backlog(len(due), now):
                for call in due:
                    call.postpone(now + _MAX_REPLY_GAP)
                due = []
            for call in due:
                actions.extend(self._record_progress(call, call.on_timer(now)))
        self._schedule(now)
        return self._answer_if_done(actions, now)

    def give_up(self, now: Instant) -> list[Action]:
        """Answer with the replies so far, if they are enough."""
        if self._has_enough_shards(self._reply_count):
            return self._deliver(self.partial_answer())
        return self._deliver(self._answer_failure(now))

    def on_attempts_granted(
        self, max_attempts: int, now: Instant
    ) -> list[Action]:
        """Raise the limit on attempts; start hedges that waited for it."""
        self._attempt_limit.granted = max(
            self._attempt_limit.granted,
            min(max_attempts, self._attempt_limit.maximum),
        )
        for call in self._calls:
            call.on_attempts_granted(now)
        return self.on_timer(now)

    def _hold_suspected_shards(self, now: Instant) -> None:
        if self._is_trial:
            return
        ledger = self._context.ledger
        held = ledger.held_services(self._fingerprint, self._open_shards, now)
        reason = ledger.standing(self._fingerprint, now).value
        for call in self._calls:
            if call.service in held:
                call.hold_back(reason)
                self._record_progress(call, [])

    def _release_retries(self, now: Instant) -> None:
        """Send what was held back: no request that crashes upstreams succeeds.

        Otherwise, if the first upstreams of all shards end under a request,
        their retries would end the last ones.
        """
        for call in self._calls:
            if call.holds_retries:
                call.holds_retries = False
                call.wake_at = now

    def _stop_retries(self) -> None:
        for call in self._calls:
            call.stop_crashing()
            self._record_progress(call, [])

    def _is_reply_backlog(self, due: int, now: Instant) -> bool:
        """Return whether many shards are late only because of this VM.

        While replies are read one after the other, the rest probably waits
        in this VM's socket buffers. Hedging all of it would use up the retry
        budget of every shard and double the load.
        """
        is_many = due > max(
            _MAX_STRAGGLERS, len(self._calls) * _MAX_STRAGGLER_FRACTION
        )
        if not self._reply_count:
            # Without any reply, this VM may still be opening connections,
            # or all of its network paths are slow.
            return is_many and now < self._hedge_hold_until
        return is_many and now - self._last_reply_at < _MAX_REPLY_GAP

    def tried_upstreams(self) -> dict[ServiceId, list[UpstreamId]]:
        """Return the upstreams that shards without a reply were sent to."""
        return {
            call.service: call.tried
            for call in self._calls
            if call.reply is None
        }

    @property
    def attempts_left(self) -> int:
        """Return to how many further upstreams of each shard it may go."""
        tried = max(len(call.tried) for call in self._calls)
        return max(0, self._route.max_attempts - tried)

    @property
    def may_have_run(self) -> bool:
        """Return whether an upstream may have run the request."""
        return any(call.may_have_run for call in self._calls)

    def missing_shards(self) -> dict[str, str]:
        """Return the shards without a reply, each with the reason."""
        return {
            call.service: call.reason or 'pending'
            for call in self._calls
            if call.reply is None
        }

    def _refuse_unservable(self, now: Instant) -> Refusal | None:
        if now >= self._answer_deadline:
            return Refusal('deadline', RETRY_AFTER)
        if is_servable(self._route, self._context.directory, now):
            return None
        return Refusal('shards-unreachable', RETRY_AFTER)

    def _answer_if_done(
        self, actions: list[Action], now: Instant
    ) -> list[Action]:
        if self.is_done:
            return actions
        has_enough = self._has_enough_shards(self._reply_count)
        is_finished = (
            not self._open_shards
            or now >= self._answer_deadline
            or (has_enough and now >= self._cutoff)
            or not self._has_enough_shards(
                self._reply_count + len(self._open_shards)
            )
        )
        if not is_finished:
            return actions
        if has_enough:
            return actions + self._deliver(self.partial_answer())
        return actions + self._deliver(self._answer_failure(now))

    def _schedule(self, now: Instant) -> None:
        wake_at = min(call.wake_at for call in self._calls)
        if now < self._cutoff:
            wake_at = min(wake_at, self._cutoff)
        self.wake_at = min(wake_at, self._answer_deadline)

    @property
    def reply_count(self) -> int:
        """Return the number of shards that have replied."""
        return self._reply_count

    def partial_answer(self) -> MergedAnswer:
        """Return an answer from the replies that have arrived."""
        replies = [call.reply for call in self._calls if call.reply is not None]
        return MergedAnswer(
            {
                call.service: call.reply.digest
                for call in self._calls
                if call.reply is not None
            },
            self.missing_shards(),
            merge_top_records(
                (reply.body for reply in replies), self._route.merge.count
            ),
            self.tried_upstreams(),
        )

    def _answer_failure(self, now: Instant) -> Answer:
        reasons = sorted(
            {
                call.reason or 'pending'
                for call in self._calls
                if call.reply is None
            }
        )
        reason = ','.join(reasons)
        if not self.may_have_run:
            return Refusal(reason, RETRY_AFTER)
        return Failure(reason, now >= self._answer_deadline)

    def _has_enough_shards(self, shards: int) -> bool:
        return has_enough_shards(self._route, shards)

    def _record_progress(
        self, call: Call, actions: list[Action]
    ) -> list[Action]:
        """Update the gather's totals after an event of one call.

        Only that call is inspected: a gather over many shards gets at least
        as many events, and a scan of all calls for each would be quadratic.
        """
        if call.attempts:
            latest = call.attempts[-1]
            if latest.is_pending:
                self._call_by_attempt[latest.id] = call
        if call.is_finished and call.service in self._open_shards:
            self._open_shards.discard(call.service)
            if call.reply is not None:
                self._reply_count += 1
        self.wake_at = min(self.wake_at, call.wake_at)
        return actions

    def _deliver(self, answer: Answer) -> list[Action]:
        self.is_done = True
        self.wake_at = NEVER
        return [Deliver(answer)]


def to_merged_answer(answer: Answer, exchange: GatherExchange) -> MergedAnswer:
    """Return a gather's final answer as a possibly empty MergedAnswer.

    A gather that failed because too few shards replied keeps their replies.
    """
    if isinstance(answer, MergedAnswer):
        return answer
    gathered = exchange.partial_answer()
    if isinstance(answer, Refusal):
        missing = dict.fromkeys(gathered.missing, answer.reason)
        return replace(gathered, missing=missing)
    return gathered
