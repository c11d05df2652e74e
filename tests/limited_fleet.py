"""Simulation of a fleet whose upstreams limit their request rate.

The routing decisions of all VMs run in virtual time. Each VM has a directory
and a call context of its own, and they share the lease of the coordinator.
VMs may be paused, restarted, or cut off from the others and from the lease.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

from sesametrack.contracts.permits import PermitReply, PermitRequest
from sesametrack.routing.admission import AdmissionExchange, admit
from sesametrack.routing.calls import CallContext
from sesametrack.routing.events import (
    Admit,
    Deliver,
    ReplyKind,
    RequestPermits,
    Send,
)
from sesametrack.routing.exchanges import (
    Exchange,
    GatherExchange,
    SingleExchange,
    gather_deadlines,
)
from sesametrack.routing.pacing import NO_COORDINATOR_DELAY, PERMIT_TIMEOUT
from sesametrack.routing.permits import MAX_PERMIT_WAIT, PermitIssuer
from sesametrack.routing.rate_limits import StatedRate
from sesametrack.vms.coordinator import (
    IDLE_TIME,
    RENEWAL_INTERVAL,
    CoordinatorLease,
    LeaseClaim,
    LeaseStep,
)
from tests.router_builders import (
    make_context,
    make_directory,
    make_reply,
    make_request,
    make_single_route,
)

_REPLY_TIME = 0.01
_HOP_TIME = 0.001
# Messages and writes that are late at all are late by up to this.
_MAX_LAG = 5
_MAX_REPLY_TIME = 0.1
# Watches show a new era of the store within this time.
_ERA_DELAY = 2.5
# Requests that are allowed in a window beyond 1.5 times the limit.
_WINDOW = 4
_EXCESS_FACTOR = 1.5
_EXCESS = 5
# A VM is bound by a limit this long after it heard of it.
_HEARING_TIME = 0.5


@dataclass(slots=True)
class SimulatedVm:
    """One VM, and when it first heard each upstream's limit.

    `coordinator` is the VM that it requests permits from. A paused VM
    handles its messages and timers when it wakes up.
    """

    name: str
    context: CallContext
    heard_at_by_upstream: dict[str, float] = field(default_factory=dict)
    lease: CoordinatorLease | None = None
    issuer: PermitIssuer | None = None
    coordinator: str | None = None
    silent_requests: int = 0
    is_seeking: bool = False
    used_at: float = float('-inf')
    paused_until: float = 0
    # No messages to and from other VMs, or the store, before these instants.
    cut_until: float = 0
    store_cut_until: float = 0
    is_stopped: bool = False
    # The era of the store that it knows, and since when.
    era: int = 1
    era_since: float = float('-inf')


class SimulatedStore:
    """The lease in the store, with conditional writes."""

    def __init__(self) -> None:
        """Start without a lease."""
        self.claim: LeaseClaim | None = None
        self.revision = 0
        self.era = 1

    def write(self, claim: LeaseClaim, revision: int) -> bool:
        """Write the claim if the lease is still at a revision."""
        if revision != self.revision:
            return False
        self.claim = claim
        self.revision += 1
        return True

    def restore(self, claim: LeaseClaim | None, revision: int) -> None:
        """Go back to a copy; its later revisions are given out again."""
        self.claim = claim
        self.revision = revision
        self.era += 1


@dataclass(slots=True)
class ActiveExchange:
    """An exchange of one VM, which may be replaced while it runs."""

    vm: SimulatedVm
    exchange: Exchange


class LimitedFleet:
    """Plays requests of callers to one service over a fleet of VMs."""

    def __init__(
        self,
        seed: int,
        vms: int,
        copies: int,
        per_s_by_upstream: dict[str, float],
        services: tuple[str, ...] = ('s0',),
    ) -> None:
        """Create the VMs; `per_s_by_upstream` has the upstreams' limits."""
        self.rng = Random(seed)
        self.now: float = 0
        self.per_s_by_upstream = per_s_by_upstream
        self.services: tuple[str, ...] = services
        self.route = replace(make_single_route(is_repeatable=True), timeout=1)
        self.answers: list = []
        # Times of the sends to each upstream by VMs that had heard its limit.
        self.bound_sends: dict[str, list[float]] = {}
        self.sends: dict[str, int] = {}
        self.store = SimulatedStore()
        self.loss_rate: float = 0
        self._copies = copies
        self._seed = seed
        self._request_ids = count(1)
        self._pending_by_id: dict[int, tuple] = {}
        self._events: list = []
        self._order = count()
        self.vm_by_name: dict[str, SimulatedVm] = {}
        for number in range(vms):
            self.start_vm(f'vm-{number}')

    @property
    def vms(self) -> list[SimulatedVm]:
        """Return the current process of each VM."""
        return list(self.vm_by_name.values())

    def start_vm(self, name: str) -> SimulatedVm:
        """Start a VM, in place of its former process."""
        if name in self.vm_by_name:
            self.vm_by_name[name].is_stopped = True
        self._seed += 1
        directory = make_directory(list(self.services), self._copies)
        vm = SimulatedVm(name, make_context(directory, seed=self._seed))
        vm.lease = CoordinatorLease(name, name)
        vm.era, vm.era_since = self.store.era, self.now
        self.vm_by_name[name] = vm
        return vm

    def play(self, duration: float, requests_per_s: float) -> None:
        """Play requests that arrive at random times at random VMs."""
        at = 0.0
        while at < duration:
            at += self.rng.expovariate(requests_per_s)
            name = self.rng.choice(sorted(self.vm_by_name))
            heappush(
                self._events, (at, next(self._order), partial(self.start, name))
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

    def schedule_at_vm(
        self, vm: SimulatedVm, pause: float, callback: Callable[[], None]
    ) -> None:
        """Call a callback of a VM, when it is awake."""
        self.schedule(pause, partial(self.run_at_vm, vm, callback))

    def run_at_vm(self, vm: SimulatedVm, callback: Callable[[], None]) -> None:
        """Run a callback of a VM unless it is paused or stopped."""
        if vm.is_stopped:
            return
        if self.now < vm.paused_until:
            self.schedule_at_vm(vm, vm.paused_until - self.now, callback)
            return
        callback()

    def start(self, name: str) -> None:
        """Start the exchange of one caller's request, if its VM is awake."""
        vm = self.vm_by_name[name]
        if self.now < vm.paused_until:
            return
        active = ActiveExchange(vm, self.create_exchange(vm))
        self.perform(active, active.exchange.start(self.now))

    def create_exchange(self, vm: SimulatedVm) -> Exchange:
        """Return the exchange of a request that arrives now."""
        request = make_request(arrived_at=self.now)
        if not self.route.shards:
            single = SingleExchange(request, self.route, 's0', vm.context)
            return admit(
                single, request, self.route, ('s0',), vm.context, self.now
            )
        gather = GatherExchange(
            request,
            self.route,
            vm.context,
            gather_deadlines(request, self.route),
        )
        return admit(
            gather,
            request,
            self.route,
            self.route.shards,
            vm.context,
            self.now,
        )

    def perform(self, active: ActiveExchange, actions: list) -> None:
        """Carry out the actions of an exchange."""
        for action in actions:
            self.execute(active, action)
        if not active.exchange.is_done:
            self.schedule_at_vm(
                active.vm,
                max(0, active.exchange.wake_at - self.now),
                partial(self.run_timer, active),
            )

    def execute(self, active: ActiveExchange, action: object) -> None:
        """Carry out one action."""
        if isinstance(action, Send):
            self.send(active, action)
        elif isinstance(action, Deliver):
            self.answers.append((self.now, action.answer))
        elif isinstance(action, RequestPermits):
            self.request_permits(active, action)
        elif isinstance(action, Admit):
            active.exchange = active.exchange.admitted
            self.perform(active, active.exchange.start(self.now))

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

    # Permits, as the permit exchange handles them.

    def request_permits(
        self, active: ActiveExchange, action: RequestPermits
    ) -> None:
        """Send a request for permits to the coordinator, if there is one."""
        vm = active.vm
        request_id = next(self._request_ids)
        pacer = vm.context.pacer
        needs = [
            [pacer.describe(upstream, self.now) for upstream in need]
            for need in action.needs
        ]
        message = PermitRequest(
            request_id, needs, action.min_permits, action.max_wait
        )
        admission = active if action.is_admission else None
        self._pending_by_id[request_id] = (vm, message, admission, self.now)
        self.schedule_at_vm(
            vm, PERMIT_TIMEOUT, partial(self.handle_timeout, request_id)
        )
        if vm.lease.is_held(self.now):
            self.issue(vm, vm, message)
        elif vm.coordinator is None:
            self.seek(vm)
        else:
            coordinator = self.vm_by_name[vm.coordinator]
            self.send_message(
                vm,
                coordinator,
                partial(self.issue, coordinator, vm, message),
            )

    def send_message(
        self,
        sender: SimulatedVm,
        receiver: SimulatedVm,
        callback: Callable[[], None],
    ) -> None:
        """Deliver a datagram, late or never at times."""
        is_cut = self.now < max(sender.cut_until, receiver.cut_until)
        if sender is not receiver:
            if is_cut or self.rng.random() < self.loss_rate:
                return
        delay = _HOP_TIME
        if self.rng.random() < self.loss_rate:
            delay = self.rng.random() * _MAX_LAG
        self.schedule_at_vm(receiver, delay, callback)

    def issue(
        self, coordinator: SimulatedVm, vm: SimulatedVm, message: PermitRequest
    ) -> None:
        """Answer a request for permits at the VM that got it."""
        reply = PermitReply(message.request_id, is_coordinator=False)
        if coordinator.lease.is_held(self.now):
            coordinator.used_at = self.now
            reply = coordinator.issuer.issue(message, self.now)
        self.send_message(coordinator, vm, partial(self.take_reply, vm, reply))

    def take_reply(self, vm: SimulatedVm, reply: PermitReply) -> None:
        """Apply the reply to a request for permits, unless it is late."""
        pending = self._pending_by_id.pop(reply.request_id, None)
        if pending is None or self.now > pending[3] + _MAX_REPLY_TIME:
            return
        _, message, admission, _ = pending
        vm.silent_requests = 0
        if not reply.is_coordinator:
            vm.coordinator = None
            self.seek(vm)
            self.deny(vm, message, admission)
            return
        pacer = vm.context.pacer
        for permit in reply.permits:
            pacer.add_permit(
                permit.upstream, permit.wait, permit.validity, self.now
            )
        for upstream_id, wait in reply.wait_by_upstream.items():
            pacer.record_denied(upstream_id, wait, self.now)
        wait = max((permit.wait for permit in reply.permits), default=None)
        self.admit(admission, wait, reply.retry_after)

    def handle_timeout(self, request_id: int) -> None:
        """Give up a request for permits that got no reply."""
        pending = self._pending_by_id.pop(request_id, None)
        if pending is None:
            return
        vm, message, admission, _ = pending
        vm.silent_requests += 1
        if vm.silent_requests >= 3:
            vm.coordinator = None
            self.seek(vm)
        self.deny(vm, message, admission)

    def deny(self, vm: SimulatedVm, message: PermitRequest, admission) -> None:
        """Record that there is no coordinator."""
        for need in message.needs:
            for upstream in need:
                vm.context.pacer.record_denied(
                    upstream.id, NO_COORDINATOR_DELAY, self.now
                )
        self.admit(admission, None, NO_COORDINATOR_DELAY)

    def admit(
        self, active: ActiveExchange | None, wait: float | None, after: float
    ) -> None:
        """Pass the result to an admission that waits for it."""
        if active is None or active.exchange.is_done:
            return
        if isinstance(active.exchange, AdmissionExchange):
            self.perform(
                active, active.exchange.on_permits(wait, after, self.now)
            )

    def restore_store(self, copy_age: float) -> None:
        """Let the store come back from a copy of its present state later."""
        claim, revision = self.store.claim, self.store.revision
        self.schedule(copy_age, partial(self.store.restore, claim, revision))
        for vm in self.vms:
            self.schedule_at_vm(
                vm,
                copy_age + self.rng.random() * _ERA_DELAY,
                partial(self.note_era, vm),
            )

    def note_era(self, vm: SimulatedVm) -> None:
        """Let a VM see the era of the store, unless it is cut off from it."""
        if vm.era != self.store.era and self.now >= vm.store_cut_until:
            vm.era, vm.era_since = self.store.era, self.now

    # The lease, as its keeper handles it.

    def seek(self, vm: SimulatedVm) -> None:
        """Look the coordinator up soon, unless that is under way."""
        if not vm.is_seeking:
            vm.is_seeking = True
            self.schedule_at_vm(
                vm, self.rng.random() * 0.05, partial(self.look_up, vm)
            )

    def look_up(self, vm: SimulatedVm) -> None:
        """Read the lease."""
        vm.is_seeking = False
        if vm.coordinator is not None or vm.lease.is_held(self.now):
            return
        if self.now < vm.store_cut_until:
            return
        claim, revision = self.store.claim, self.store.revision
        self.note_era(vm)
        self.schedule_at_vm(
            vm, self.call_time(), partial(self.decide, vm, claim, revision)
        )

    def decide(
        self, vm: SimulatedVm, claim: LeaseClaim | None, revision: int
    ) -> None:
        """Follow the holder of the lease that was read, or take the lease."""
        step = vm.lease.observe(claim, vm.era, vm.era_since, self.now)
        if step is LeaseStep.follow:
            vm.coordinator = claim.vm
        if step is not LeaseStep.take:
            return
        taken = vm.lease.make_claim(self.rng.getrandbits(60), vm.era)
        self.write(vm, taken, revision, is_first=claim is None)

    def write(
        self,
        vm: SimulatedVm,
        claim: LeaseClaim,
        revision: int,
        *,
        is_first: bool = False,
        is_renewal: bool = False,
    ) -> None:
        """Write the lease; the write or its reply may be lost or late."""
        started_at = self.now
        if self.now < vm.store_cut_until:
            return
        is_lost = self.rng.random() < self.loss_rate
        self.schedule(
            self.rng.random() * _MAX_LAG if is_lost else self.call_time(),
            partial(
                self.end_write,
                vm,
                claim,
                revision,
                started_at,
                is_first,
                is_renewal,
                is_lost,
            ),
        )

    def end_write(
        self,
        vm: SimulatedVm,
        claim: LeaseClaim,
        revision: int,
        started_at: float,
        is_first: bool,
        is_renewal: bool,
        is_lost: bool,
    ) -> None:
        """Apply a write at the store, and report it unless that is lost."""
        is_written = self.store.write(claim, revision)
        if is_lost:
            return
        self.note_era(vm)
        if is_written and self.store.era != claim.era:
            if is_renewal:
                self.schedule_at_vm(
                    vm, 0, partial(self.renew, vm, claim, revision)
                )
            return
        callback = partial(
            self.hold, vm, claim, started_at, is_first, is_renewal
        )
        if not is_written:
            callback = partial(self.lose, vm)
        self.schedule_at_vm(vm, self.call_time(), callback)

    def hold(
        self,
        vm: SimulatedVm,
        claim: LeaseClaim,
        started_at: float,
        is_first: bool,
        is_renewal: bool,
    ) -> None:
        """Hold the lease, tell the others, and renew it after a while."""
        vm.lease.record_written(claim, started_at)
        if not is_renewal:
            vm.issuer = PermitIssuer(
                self.now if is_first else self.now + MAX_PERMIT_WAIT
            )
        vm.coordinator = None
        for other in self.vms:
            if other is not vm:
                self.send_message(
                    vm, other, partial(self.take_notice, other, vm.name)
                )
        revision = self.store.revision
        self.schedule_at_vm(
            vm, RENEWAL_INTERVAL, partial(self.renew, vm, claim, revision)
        )

    def take_notice(self, vm: SimulatedVm, coordinator: str) -> None:
        """Follow another VM that says it is the coordinator."""
        if not vm.lease.is_held(self.now):
            vm.coordinator = coordinator

    def renew(self, vm: SimulatedVm, claim: LeaseClaim, revision: int) -> None:
        """Renew the lease if it is used, or release it."""
        if not vm.lease.is_claimed:
            return
        if vm.era != claim.era:
            if not vm.lease.is_held(self.now):
                vm.lease.record_lost()
                return
            revision = self.store.revision
        if self.now > vm.used_at + IDLE_TIME:
            released = vm.lease.make_release(vm.era)
            vm.lease.record_lost()
            self.store.write(released, revision)
            return
        renewed = vm.lease.make_renewal(vm.era)
        self.write(vm, renewed, revision, is_renewal=True)

    def lose(self, vm: SimulatedVm) -> None:
        """Stop issuing permits, as another VM has written the lease."""
        vm.lease.record_lost()

    def call_time(self) -> float:
        """Return the time of one way of a call to the store."""
        if self.rng.random() < self.loss_rate:
            return self.rng.random()
        return _HOP_TIME * 2

    @property
    def holders(self) -> list[str]:
        """Return the VMs that may issue permits now."""
        return [vm.name for vm in self.vms if vm.lease.is_held(self.now)]

    def excess(
        self,
        upstream_id: str,
        per_s: float,
        since: float = 0,
        until: float = 1e9,
    ) -> float:
        """Return by how many requests the worst window exceeds the bound."""
        times = [
            at
            for at in self.bound_sends.get(upstream_id, [])
            if since <= at < until
        ]
        allowed = _EXCESS_FACTOR * per_s * _WINDOW + _EXCESS
        most = max(
            (
                sum(1 for at in times if start <= at <= start + _WINDOW)
                for start in times
            ),
            default=0,
        )
        return most - allowed
