"""One caller's request from its arrival to its one answer."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import Protocol

from sesametrack.contracts.types import (
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
    CallerRequest,
    Deliver,
    Failure,
    FailureKind,
    ForwardReply,
    MergedAnswer,
    Refusal,
    UpstreamReply,
)
from sesametrack.routing.merge import merge_top_records

# Time kept back before the deadline to write the answer.
ANSWER_TIME: Seconds = 0.008
# Time that is left for the way back when a gather answers without its last
# shards: two round trips to a caller some milliseconds away, and a part of
# the target for what the caller's request waited before it was read.
_RETURN_TIME: Seconds = 0.008
_RETURN_PART = 0.06
# Part of the target after which a gather no longer waits for sends that it
# made in time; it exceeds the cut-off so that a gather which then lacks its
# least share can still take replies that are about to come.
_EARLY_PART = 1.5
# Late shards up to these numbers are stragglers and get their hedges.
_FEW_SHARDS = 3
_FEW_PART = 0.2
# Replies of a gather that this VM is still reading follow each other faster.
_FLOW_TIME: Seconds = 0.005
# Part of the time to the cut-off for which a gather without any reply waits
# before it hedges many shards.
_SILENT_PART = 0.6
# When a refused caller may come back: a connection attempt to a lost
# upstream is repeated about as often.
RETRY_AFTER: Seconds = 0.25
NEVER: Instant = float('inf')
_NOBODY: Mapping[ServiceId, Iterable[UpstreamId]] = MappingProxyType({})
# Shares are given in decimals, which binary fractions only come near to.
_ROUNDING = 1e-9


class Exchange(Protocol):
    """What both kinds of exchanges offer to their driver."""

    wake_at: Instant
    is_done: bool
    deadline: Instant

    def start(self, now: Instant) -> list[Action]:
        """Send what the request needs."""

    def on_reply(
        self, attempt_id: int, reply: UpstreamReply, now: Instant
    ) -> list[Action]:
        """Take a whole reply."""

    def on_failure(
        self, attempt_id: int, kind: FailureKind, now: Instant
    ) -> list[Action]:
        """Take the end of a send without a reply."""

    def on_timer(self, now: Instant) -> list[Action]:
        """Do what is due at `wake_at`."""


def exchange_deadline(request: CallerRequest, route: Route) -> Instant:
    """Return when the caller must have its answer."""
    allowed = route.timeout
    if request.caller_timeout is not None:
        allowed = min(allowed, request.caller_timeout)
    return request.arrived_at + allowed


def is_servable(
    route: Route, directory: UpstreamDirectory, now: Instant
) -> bool:
    """Tell whether enough services of a route have a reachable upstream."""
    reachable = sum(
        1
        for service in route.services
        if not directory.is_unreachable_from_peers(service, now)
        and any(
            not upstream.health.is_unreachable
            for upstream in directory.usable(service)
        )
    )
    return is_enough(route, reachable)


def is_listed_but_unreachable(
    route: Route, directory: UpstreamDirectory, now: Instant
) -> bool:
    """Tell whether a route's upstreams are listed, but not reachable.

    A route whose upstreams are not listed cannot be served by any VM.
    """
    if is_servable(route, directory, now):
        return False
    listed = sum(1 for service in route.services if directory.usable(service))
    return is_enough(route, listed)


def is_enough(route: Route, shards: int) -> bool:
    """Tell whether a route's answer may lack all but so many services."""
    if route.merge is None:
        return shards > 0
    least = route.merge.min_shard_share * len(route.shards)
    return shards > 0 and shards >= least - _ROUNDING


class SingleExchange:
    """Forwards a request to one upstream of one service."""

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        service: str,
        context: CallContext,
    ) -> None:
        """Bind the request to the service that was chosen for it."""
        self.deadline = exchange_deadline(request, route)
        self.is_done = False
        self.wake_at: Instant = NEVER
        self._latest = self.deadline - ANSWER_TIME
        self._call = Call(context, route, service, self.deadline, self._latest)

    def start(self, now: Instant) -> list[Action]:
        """Send the request for the first time."""
        if now >= self._latest:
            return self._deliver(Refusal('deadline', RETRY_AFTER))
        return self._settle(self._call.start(now), now)

    def on_reply(
        self, attempt_id: int, reply: UpstreamReply, now: Instant
    ) -> list[Action]:
        """Take a whole reply."""
        return self._settle(self._call.on_reply(attempt_id, reply, now), now)

    def on_failure(
        self, attempt_id: int, kind: FailureKind, now: Instant
    ) -> list[Action]:
        """Take the end of a send without a reply."""
        return self._settle(self._call.on_failure(attempt_id, kind, now), now)

    def on_timer(self, now: Instant) -> list[Action]:
        """Hedge, retry, or give up at the deadline."""
        return self._settle(self._call.on_timer(now), now)

    def _settle(self, actions: list[Action], now: Instant) -> list[Action]:
        if self.is_done:
            return actions
        call = self._call
        if not call.is_over and now < self._latest:
            self.wake_at = min(call.wake_at, self._latest)
            return actions
        return actions + self._deliver(self._answer(now))

    def _answer(self, now: Instant) -> Answer:
        call = self._call
        if call.reply is not None:
            return ForwardReply(call.reply)
        if call.failed_reply is not None:
            return ForwardReply(call.failed_reply)
        if not call.may_have_run:
            return Refusal(call.reason or 'deadline', RETRY_AFTER)
        is_late = now >= self._latest
        return Failure(call.reason or 'deadline', is_late)

    def _deliver(self, answer: Answer) -> list[Action]:
        self.is_done = True
        self.wake_at = NEVER
        return [Deliver(answer)]


@dataclass(frozen=True, slots=True)
class GatherDeadlines:
    """When a gather stops waiting, and until when its sends are bound.

    After `cutoff` the last shards are left out if the others suffice. Sends
    of before `early_send_deadline` carry it as their deadline.
    """

    cutoff: Instant
    early_send_deadline: Instant


def gather_deadlines(request: CallerRequest, route: Route) -> GatherDeadlines:
    """Return the times of a gather whose caller waits at this VM."""
    deadline = exchange_deadline(request, route)
    in_time = max(
        route.target / 2, route.target * (1 - _RETURN_PART) - _RETURN_TIME
    )
    return GatherDeadlines(
        min(deadline - ANSWER_TIME, request.arrived_at + in_time),
        min(deadline, request.arrived_at + route.target * _EARLY_PART),
    )


class GatherExchange:
    """Scatters a request to all shards of a route and merges the replies.

    The shards are those of the desired state that was in force when the
    request came. The answer goes out when all shards have settled; near
    the route's target it goes out without the last ones if at least the
    stated share is there, since a late answer is worth less than the
    share that is missing.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        context: CallContext,
        times: GatherDeadlines,
        *,
        is_retry: bool = False,
        tried_by_shard: Mapping[ServiceId, Iterable[UpstreamId]] = _NOBODY,
    ) -> None:
        """Bind the request to the shards of the route."""
        self.deadline = exchange_deadline(request, route)
        self.is_done = False
        self.wake_at: Instant = NEVER
        self._route = route
        self._context = context
        self._latest = self.deadline - ANSWER_TIME
        self._cutoff = min(self._latest, times.cutoff)
        self._calls = [
            Call(
                context,
                route,
                service,
                self.deadline,
                self._latest,
                times.early_send_deadline,
                is_retry,
                frozenset(tried_by_shard.get(service, ())),
            )
            for service in route.shards
        ]
        self._call_by_attempt: dict[int, Call] = {}
        self._open = set(route.shards)
        self._answered = 0
        self._replied_at = request.arrived_at
        self._silent_until = (
            request.arrived_at
            + (self._cutoff - request.arrived_at) * _SILENT_PART
        )

    def start(self, now: Instant) -> list[Action]:
        """Send the request to one upstream of each shard."""
        refused = self._refuse_hopeless(now)
        if refused is not None:
            return self._deliver(refused)
        actions: list[Action] = []
        for call in self._calls:
            actions.extend(self._track(call, call.start(now)))
        self._schedule(now)
        return self._settle(actions, now)

    def on_reply(
        self, attempt_id: int, reply: UpstreamReply, now: Instant
    ) -> list[Action]:
        """Take a whole reply of one shard."""
        call = self._call_by_attempt[attempt_id]
        self._replied_at = now
        actions = self._track(call, call.on_reply(attempt_id, reply, now))
        return self._settle(actions, now)

    def on_failure(
        self, attempt_id: int, kind: FailureKind, now: Instant
    ) -> list[Action]:
        """Take the end of a send without a reply."""
        call = self._call_by_attempt[attempt_id]
        actions = self._track(call, call.on_failure(attempt_id, kind, now))
        return self._settle(actions, now)

    def on_timer(self, now: Instant) -> list[Action]:
        """Hedge, retry, cut off or give up."""
        actions: list[Action] = []
        if now < self._cutoff or not self._suffices(self._answered):
            due = [call for call in self._calls if call.wake_at <= now]
            if self._is_flowing(len(due), now):
                for call in due:
                    call.postpone(now + _FLOW_TIME)
                due = []
            for call in due:
                actions.extend(self._track(call, call.on_timer(now)))
        self._schedule(now)
        return self._settle(actions, now)

    def _is_flowing(self, due: int, now: Instant) -> bool:
        """Tell whether many shards are late only because of this VM.

        While replies come one after the other, the rest is likely to wait
        in this VM's sockets; hedges for all of it would spend the budget
        of every shard and double the work.
        """
        is_many = due > max(_FEW_SHARDS, len(self._calls) * _FEW_PART)
        if not self._answered:
            # Nothing at all has come back yet: this VM may still be opening
            # connections, or all of its paths are slow.
            return is_many and now < self._silent_until
        return is_many and now - self._replied_at < _FLOW_TIME

    def tried_upstreams(self) -> dict[ServiceId, list[UpstreamId]]:
        """Return who may have run the request for shards without a reply."""
        return {
            call.service: call.may_have_run_at
            for call in self._calls
            if call.reply is None
        }

    @property
    def may_have_run(self) -> bool:
        """Tell whether an upstream may have begun to work."""
        return any(call.may_have_run for call in self._calls)

    def missing_shards(self) -> dict[str, str]:
        """Return the shards without a reply and why, for the log."""
        return {
            call.service: call.reason or 'pending'
            for call in self._calls
            if call.reply is None
        }

    def _refuse_hopeless(self, now: Instant) -> Refusal | None:
        if now >= self._latest:
            return Refusal('deadline', RETRY_AFTER)
        if is_servable(self._route, self._context.directory, now):
            return None
        return Refusal('shards-unreachable', RETRY_AFTER)

    def _settle(self, actions: list[Action], now: Instant) -> list[Action]:
        if self.is_done:
            return actions
        suffices = self._suffices(self._answered)
        is_over = (
            not self._open
            or now >= self._latest
            or (suffices and now >= self._cutoff)
            or not self._suffices(self._answered + len(self._open))
        )
        if not is_over:
            return actions
        if suffices:
            return actions + self._deliver(self.gathered())
        return actions + self._deliver(self._give_up(now))

    def _schedule(self, now: Instant) -> None:
        wake_at = min(call.wake_at for call in self._calls)
        if now < self._cutoff:
            wake_at = min(wake_at, self._cutoff)
        self.wake_at = min(wake_at, self._latest)

    @property
    def answered(self) -> int:
        """Number of shards whose reply is there."""
        return self._answered

    def gathered(self) -> MergedAnswer:
        """Return the answer as far as it is there."""
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

    def _give_up(self, now: Instant) -> Answer:
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
        return Failure(reason, now >= self._latest)

    def _suffices(self, shards: int) -> bool:
        return is_enough(self._route, shards)

    def _track(self, call: Call, actions: list[Action]) -> list[Action]:
        """Take over what an event changed in one call.

        Only that call is looked at: a gather over many shards gets as many
        events.
        """
        if call.attempts:
            latest = call.attempts[-1]
            if latest.is_pending:
                self._call_by_attempt[latest.id] = call
        if call.is_over and call.service in self._open:
            self._open.discard(call.service)
            if call.reply is not None:
                self._answered += 1
        self.wake_at = min(self.wake_at, call.wake_at)
        return actions

    def _deliver(self, answer: Answer) -> list[Action]:
        self.is_done = True
        self.wake_at = NEVER
        return [Deliver(answer)]


def to_merged_answer(answer: Answer, exchange: GatherExchange) -> MergedAnswer:
    """Return a gather's answer as what it got, which may be nothing.

    One that failed for want of shards has the replies of the others.
    """
    if isinstance(answer, MergedAnswer):
        return answer
    gathered = exchange.gathered()
    if isinstance(answer, Refusal):
        missing = dict.fromkeys(gathered.missing, answer.reason)
        return replace(gathered, missing=missing)
    return gathered
