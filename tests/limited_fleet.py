"""Simulation of a fleet whose upstreams limit their request rate.

The routing decisions of all VMs run in virtual time. Each VM has a directory
and a call context of its own.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

from sesametrack.routing.calls import CallContext
from sesametrack.routing.events import Deliver, ReplyKind, Send
from sesametrack.routing.exchanges import Exchange, SingleExchange
from sesametrack.routing.rate_limits import StatedRate
from tests.router_builders import (
    make_context,
    make_directory,
    make_reply,
    make_request,
    make_single_route,
)

_REPLY_TIME = 0.01
# Requests that are allowed in a window beyond 1.5 times the limit.
_WINDOW = 4
_EXCESS_FACTOR = 1.5
_EXCESS = 5
# A VM is bound by a limit this long after it heard of it.
_HEARING_TIME = 0.5


@dataclass(slots=True)
class SimulatedVm:
    """One VM, and when it first heard each upstream's limit."""

    name: str
    context: CallContext
    heard_at_by_upstream: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ActiveExchange:
    """An exchange of one VM, which may be replaced while it runs."""

    vm: SimulatedVm
    exchange: Exchange


class LimitedFleet:
    """Plays requests of callers to one service over a fleet of VMs."""

    def __init__(
        self, seed: int, vms: int, copies: int, per_s_by_upstream: dict
    ) -> None:
        """Create the VMs; `per_s_by_upstream` has the upstreams' limits."""
        self.rng = Random(seed)
        self.now: float = 0
        self.per_s_by_upstream = per_s_by_upstream
        self.route = replace(make_single_route(is_repeatable=True), timeout=1)
        self.answers: list = []
        # Times of the sends to each upstream by VMs that had heard its limit.
        self.bound_sends: dict[str, list[float]] = {}
        self.sends: dict[str, int] = {}
        self._events: list = []
        self._order = count()
        self.vms = [
            SimulatedVm(
                f'vm-{number}',
                make_context(
                    make_directory(['s0'], copies), seed=seed + number
                ),
            )
            for number in range(vms)
        ]

    def play(self, duration: float, requests_per_s: float) -> None:
        """Play requests that arrive at random times at random VMs."""
        at = 0.0
        while at < duration:
            at += self.rng.expovariate(requests_per_s)
            vm = self.rng.choice(self.vms)
            heappush(
                self._events, (at, next(self._order), partial(self.start, vm))
            )
        self.run_until(duration)

    def run_until(self, end: float) -> None:
        """Handle all events up to an instant."""
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heappop(self._events)
            callback()

    def schedule(self, pause: float, callback: Callable[[], None]) -> None:
        """Call a callback after a delay."""
        heappush(self._events, (self.now + pause, next(self._order), callback))

    def start(self, vm: SimulatedVm) -> None:
        """Start the exchange of one caller's request."""
        active = ActiveExchange(vm, self.create_exchange(vm))
        self.perform(active, active.exchange.start(self.now))

    def create_exchange(self, vm: SimulatedVm) -> Exchange:
        """Return the exchange of a request that arrives now."""
        request = make_request(arrived_at=self.now)
        return SingleExchange(request, self.route, 's0', vm.context)

    def perform(self, active: ActiveExchange, actions: list) -> None:
        """Carry out the actions of an exchange."""
        for action in actions:
            self.execute(active, action)
        if not active.exchange.is_done:
            self.schedule(
                max(0, active.exchange.wake_at - self.now),
                partial(self.run_timer, active),
            )

    def execute(self, active: ActiveExchange, action: object) -> None:
        """Carry out one action."""
        if isinstance(action, Send):
            self.send(active, action)
        elif isinstance(action, Deliver):
            self.answers.append((self.now, action.answer))

    def run_timer(self, active: ActiveExchange) -> None:
        """Run the timer of an exchange if it is due."""
        exchange = active.exchange
        if not exchange.is_done and exchange.wake_at <= self.now:
            self.perform(active, exchange.on_timer(self.now))

    def send(self, active: ActiveExchange, send: Send) -> None:
        """Count a send, and schedule its reply."""
        upstream_id = send.upstream.id
        heard_at = active.vm.heard_at_by_upstream.get(upstream_id, self.now)
        self.sends[upstream_id] = self.sends.get(upstream_id, 0) + 1
        if self.now >= heard_at + _HEARING_TIME:
            self.bound_sends.setdefault(upstream_id, []).append(self.now)
        self.schedule(_REPLY_TIME, partial(self.reply, active, send, self.now))

    def reply(self, active: ActiveExchange, send: Send, sent_at: float) -> None:
        """Deliver a reply that states the upstream's limit."""
        upstream = send.upstream
        per_s = self.per_s_by_upstream.get(upstream.id)
        if per_s is not None:
            active.vm.heard_at_by_upstream.setdefault(upstream.id, self.now)
        upstream.health.end_attempt(send.attempt_id)
        upstream.rate_limit.record_reply(per_s, sent_at, self.now)
        if not active.exchange.is_done:
            reply = replace(
                make_reply(ReplyKind.succeeded), stated_rate=StatedRate(per_s)
            )
            self.perform(
                active,
                active.exchange.on_reply(send.attempt_id, reply, self.now),
            )

    def excess(self, upstream_id: str, per_s: float) -> float:
        """Return by how many requests the worst window exceeds the bound."""
        times = self.bound_sends.get(upstream_id, [])
        allowed = _EXCESS_FACTOR * per_s * _WINDOW + _EXCESS
        most = max(
            (
                sum(1 for at in times if start <= at <= start + _WINDOW)
                for start in times
            ),
            default=0,
        )
        return most - allowed
