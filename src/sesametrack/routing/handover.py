"""Handing requests on to VMs that reach upstreams which this one doesn't.

Callers on open connections stay with a VM that has lost its upstreams, and new
ones may be sent to it too. Their requests are handed on whole, once: a VM that
gets one answers it or refuses it.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from sesametrack.contracts.types import (
    FailureDomainId,
    Instant,
    Seconds,
    VmId,
)
from sesametrack.routing.aggregators import Aggregators
from sesametrack.routing.desired_state import Route
from sesametrack.routing.directory import Upstream
from sesametrack.routing.events import (
    Action,
    Answer,
    CallerRequest,
    Deliver,
    Failure,
    FailureKind,
    ForwardReply,
    LogEvent,
    Refusal,
    ReplyKind,
    Send,
    UpstreamReply,
)
from sesametrack.routing.exchanges import (
    ANSWER_RESERVE,
    NEVER,
    exchange_deadline,
)
from sesametrack.routing.hints import PeerReachability

# Other VMs that a request is offered to, one after the other.
_MAX_OFFERS = 3
# Reasons of failed calls whose upstreams another VM may reach.
UNREACHABLE_REASONS = frozenset(
    ('no-upstream', 'shards-unreachable', 'upstream-not-sent')
)
# A request with less time left can't be answered by another VM.
MIN_TIME_LEFT: Seconds = 0.02
# What the way back takes.
_RETURN_TIME: Seconds = 0.005
# Handed-on requests in flight that make a VM of the own failure domain as
# unattractive as one of another domain, whose traffic is billed.
_REMOTE_PENALTY = 2


class HandoverTargets:
    """Chooses the VMs to which requests are handed on."""

    def __init__(
        self,
        domain: FailureDomainId,
        aggregators: Aggregators,
        reachability: PeerReachability,
        rng: Random,
    ) -> None:
        """Set the VMs, and what they say of themselves."""
        self._domain = domain
        self._aggregators = aggregators
        self._reachability = reachability
        self._rng = rng

    def choose(
        self,
        route: Route,
        excluded: set[VmId],
        now: Instant,
        *,
        is_remote: bool = False,
    ) -> Upstream | None:
        """Return the least loaded VM that says it serves the route.

        With `is_remote` it is one of another failure domain.
        """
        ranked = [
            (self._rank(peer, now), self._rng.random(), peer)
            for vm in self._reachability.vms_serving([route.name], now)
            if vm not in excluded
            and (peer := self._aggregators.peer(vm)) is not None
            and not peer.health.is_unreachable
            and not (is_remote and self._is_near(peer))
        ]
        return min(ranked, key=lambda one: one[:2])[2] if ranked else None

    def _rank(self, peer: Upstream, now: Instant) -> tuple[bool, int]:
        penalty = 0 if self._is_near(peer) else _REMOTE_PENALTY
        return peer.health.is_ejected(now), peer.health.outstanding + penalty

    def _is_near(self, peer: Upstream) -> bool:
        return peer.record.failure_domain == self._domain


@dataclass(slots=True)
class _Offer:
    attempt_id: int
    peer: Upstream


class HandoverExchange:
    """Hands one request on, and answers with what the other VM answers.

    A request that another VM may have taken isn't offered to a third one: it
    may have been sent to as many upstreams as the route allows.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        targets: HandoverTargets,
        next_attempt_id: Callable[[], int],
        fallback: Refusal | Failure,
        attempts: int,
    ) -> None:
        """Prepare the handover; `fallback` is the answer if no VM takes it.

        The request may go to `attempts` further upstreams of each service.
        """
        self.deadline = exchange_deadline(request, route)
        self.is_done = False
        self.wake_at: Instant = NEVER
        self._route = route
        self._targets = targets
        self._next_attempt_id = next_attempt_id
        self._fallback = fallback
        self._attempts = attempts
        self._answer_deadline = self.deadline - ANSWER_RESERVE
        self._offered: set[VmId] = set()
        self._offer: _Offer | None = None

    def start(self, now: Instant) -> list[Action]:
        """Return the send to the first VM, or the fallback."""
        self.wake_at = self._answer_deadline
        return self._offer_to_next(now)

    def on_reply(
        self, attempt_id: int, reply: UpstreamReply, now: Instant
    ) -> list[Action]:
        """Deliver the other VM's answer, or try the next one."""
        if not self._is_current(attempt_id):
            return []
        if reply.kind is not ReplyKind.rejected:
            return self._deliver(ForwardReply(reply))
        return self._offer_to_next(now)

    def on_failure(
        self, attempt_id: int, kind: FailureKind, now: Instant
    ) -> list[Action]:
        """Try the next VM unless this one may have taken the request."""
        if not self._is_current(attempt_id):
            return []
        if kind is FailureKind.not_sent:
            return self._offer_to_next(now)
        return self._deliver(Failure('handover-broken'))

    def on_timer(self, now: Instant) -> list[Action]:
        """Fail at the deadline."""
        if self.is_done or now < self.wake_at:
            return []
        return self.give_up(now)

    def give_up(self, now: Instant) -> list[Action]:
        """Answer without the other VM's answer."""
        if self._offer is None:
            return self._deliver(self._fallback)
        return self._deliver(Failure('handover', now >= self._answer_deadline))

    @property
    def attempts_left(self) -> int:
        """Return 0: the other VM has them."""
        return 0

    def _is_current(self, attempt_id: int) -> bool:
        return (
            not self.is_done
            and self._offer is not None
            and self._offer.attempt_id == attempt_id
        )

    def _offer_to_next(self, now: Instant) -> list[Action]:
        self._offer = None
        peer = None
        has_time = now + MIN_TIME_LEFT < self._answer_deadline
        if has_time and len(self._offered) < _MAX_OFFERS:
            peer = self._targets.choose(self._route, self._offered, now)
        if peer is None:
            return self._deliver(self._fallback)
        self._offered.add(peer.id.removeprefix('vm/'))
        self._offer = _Offer(self._next_attempt_id(), peer)
        peer.health.start_attempt(self._offer.attempt_id, now)
        return [
            Send(
                self._offer.attempt_id,
                peer,
                self._answer_deadline - _RETURN_TIME,
                self._route.services[0],
                'handover',
                handover_attempts=self._attempts,
            )
        ]

    def _deliver(self, answer: Answer) -> list[Action]:
        self.is_done = True
        self.wake_at = NEVER
        event = LogEvent('handed-over', {'offers': len(self._offered)})
        return [event, Deliver(answer)]


def may_hand_over(
    answer: Answer, route: Route, deadline: Instant, now: Instant
) -> bool:
    """Return whether another VM may answer what this one failed to.

    It may if this VM did not reach the upstreams. Whether others do is for
    them to say.
    """
    reasons = getattr(answer, 'reason', '').split(',')
    if not UNREACHABLE_REASONS.intersection(reasons):
        return False
    if deadline - ANSWER_RESERVE - now <= MIN_TIME_LEFT:
        return False
    if isinstance(answer, Refusal):
        return True
    return isinstance(answer, Failure) and route.is_repeatable
