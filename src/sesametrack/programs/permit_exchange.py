"""Requests permits from the coordinator, and issues them if this VM is it."""

from asyncio import AbstractEventLoop, TimerHandle
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from itertools import count
from logging import getLogger
from random import Random
from typing import Protocol

from sesametrack.contracts.permits import (
    CoordinatorNotice,
    PermitMessage,
    PermitReply,
    PermitRequest,
)
from sesametrack.contracts.rollouts import (
    RolloutNotice,
    RolloutReport,
    RolloutSpending,
)
from sesametrack.contracts.types import Address, Instant, Seconds, VmId
from sesametrack.links.datagrams import DatagramEndpoint
from sesametrack.platform.coordinator_lease import LeaseKeeper
from sesametrack.routing.events import RequestPermits
from sesametrack.routing.pacing import (
    NO_COORDINATOR_DELAY,
    PERMIT_TIMEOUT,
    UpstreamPacer,
)
from sesametrack.routing.permits import (
    MAX_PERMIT_WAIT,
    PermitIssuer,
    TrialPermits,
)
from sesametrack.telemetry.metrics import Metrics
from sesametrack.telemetry.structured_log import log_event

# A reply that took longer may be that of a coordinator that was paused.
_MAX_REPLY_TIME: Seconds = 0.1
# Unanswered requests in a row after which the coordinator is looked up again.
_MAX_SILENT_REQUESTS = 3

_log = getLogger('permits')

# Called with the time until all permits are due, None if there were not
# enough, and the time after which the request may be repeated.
PermitCallback = Callable[[Seconds | None, Seconds], None]


class RolloutPeer(TrialPermits, Protocol):
    """What judges roll-outs while this VM is the coordinator."""

    def on_report(self, report: RolloutReport) -> RolloutNotice:
        """Return the phase of a report's order."""

    def on_notice(self, notice: RolloutNotice) -> None:
        """Handle what the coordinator says of an order."""

    def on_lease_taken(
        self, rollouts: dict[str, RolloutSpending], *, is_known: bool
    ) -> None:
        """Go on after another judge."""

    def on_lease_renewed(self, rollouts: dict[str, RolloutSpending]) -> None:
        """Handle that this was written into the lease."""

    def get_rollouts(self) -> dict[str, RolloutSpending]:
        """Return what to write into the lease."""


@dataclass(slots=True)
class _PendingRequest:
    message: PermitRequest
    callback: PermitCallback | None
    asked_at: Instant
    timer: TimerHandle
    is_sent: bool = False


class PermitExchange:
    """Owns the datagram link for permits, and the coordinator's lease."""

    def __init__(
        self,
        store: Address,
        vm: VmId,
        address: Address,
        pacer: UpstreamPacer,
        metrics: Metrics,
        loop: AbstractEventLoop,
        now: Callable[[], Instant],
        rng: Random,
    ) -> None:
        """Start without a coordinator; `start` opens the socket."""
        self._peers: list[Address] = []
        self._vm = vm
        self._address = address
        self._pacer = pacer
        self._metrics = metrics
        self._loop = loop
        self._now = now
        self._lease = LeaseKeeper(store, vm, address, self, now, rng)
        self._link = DatagramEndpoint(
            address,
            self._on_message,
            PermitMessage,
            metrics.traffic,
            'permit',
        )
        self._issuer = PermitIssuer(now())
        self._rollouts: RolloutPeer | None = None
        self._coordinator: Address | None = None
        self._silent_requests = 0
        self._request_ids = count(1)
        self._pending_by_id: dict[int, _PendingRequest] = {}

    async def start(self) -> None:
        """Open the socket; raises OSError if the address is in use."""
        await self._link.start()
        await self._lease.start()

    async def close(self) -> None:
        """Close the socket, and fail the pending requests."""
        for request_id in list(self._pending_by_id):
            self._finish(request_id, None)
        await self._lease.close()
        await self._link.close()

    def set_rollouts(self, rollouts: RolloutPeer) -> None:
        """Set what judges roll-outs; call this before `start`."""
        self._rollouts = rollouts
        self._lease.get_rollouts = rollouts.get_rollouts

    def keep_lease(self) -> None:
        """Keep the lease although no permits are requested."""
        self._lease.record_use()

    def renew_lease_soon(self) -> None:
        """Write the lease, as something has changed that it tells."""
        self._lease.renew_soon()

    def report(self, message: RolloutReport) -> bool:
        """Send a report to the coordinator; return whether there is one."""
        if self._lease.is_held:
            self._rollouts.on_report(message)
            return True
        if self._coordinator is None:
            self._lease.seek()
            return False
        self._link.send(self._coordinator, message)
        return True

    def announce(self, notice: RolloutNotice) -> None:
        """Tell all other VMs the phase of an order."""
        for peer in self._peers:
            self._link.send(peer, notice)

    def record_silence(self) -> None:
        """Look the coordinator up again, as it does not answer reports."""
        if self._coordinator is not None:
            self._forget_coordinator('silent')

    def set_peers(self, addresses: list[Address]) -> None:
        """Set where the other VMs receive these messages."""
        self._peers = addresses
        self._lease.fleet_size = len(addresses) + 1

    def stop(self) -> None:
        """Give up the lease, since this VM shuts down."""
        self._lease.stop()

    def observe_era(self, era: int) -> None:
        """Record the era of the store that a reply has shown."""
        self._lease.observe_era(era)

    @property
    def is_coordinator(self) -> bool:
        """Return whether this VM issues permits."""
        return self._lease.is_held

    @property
    def store_calls(self) -> int:
        """Number of calls made to the store."""
        return self._lease.calls

    def request(
        self, request: RequestPermits, callback: PermitCallback | None
    ) -> None:
        """Request permits; the pacer and the callback get the result."""
        now = self._now()
        request_id = next(self._request_ids)
        message = PermitRequest(
            request_id,
            [
                [
                    self._pacer.describe(upstream, now)
                    for upstream in need
                    if self._pacer.needs_permit(upstream, now)
                ]
                for need in request.needs
            ],
            request.min_permits,
            request.max_wait,
        )
        self._metrics.count('permits.requests')
        self._pending_by_id[request_id] = _PendingRequest(
            message,
            callback,
            now,
            self._loop.call_later(
                PERMIT_TIMEOUT, self._handle_timeout, request_id
            ),
        )
        self._send(request_id)

    def on_lease_taken(self, *, is_first: bool) -> None:
        """Issue permits once those of the former coordinator are due."""
        now = self._now()
        starts_at = now if is_first else now + MAX_PERMIT_WAIT
        self._issuer = PermitIssuer(starts_at, self._rollouts)
        if self._rollouts is not None:
            self._rollouts.on_lease_taken(
                self._lease.lease.rollouts,
                is_known=self._lease.is_spending_known,
            )
        self._coordinator = None
        self._notify_peers()
        self._send_unsent()

    def on_lease_renewed(self) -> None:
        """Tell VMs that may have missed it who the coordinator is."""
        if self._rollouts is not None:
            self._rollouts.on_lease_renewed(self._lease.lease.rollouts)
        self._notify_peers()

    def on_coordinator_found(self, address: Address) -> None:
        """Send further requests to another VM."""
        self._coordinator = address
        self._silent_requests = 0
        self._send_unsent()

    def _notify_peers(self) -> None:
        notice = CoordinatorNotice(self._vm, self._address)
        for peer in self._peers:
            self._link.send(peer, notice)

    def _send_unsent(self) -> None:
        for request_id, pending in list(self._pending_by_id.items()):
            if not pending.is_sent:
                self._send(request_id)

    def _send(self, request_id: int) -> None:
        pending = self._pending_by_id[request_id]
        if self._lease.is_held:
            pending.is_sent = True
            reply = self._issue(pending.message)
            self._loop.call_soon(self._finish, request_id, reply)
        elif self._coordinator is None:
            self._lease.seek()
        else:
            pending.is_sent = True
            self._link.send(self._coordinator, pending.message)

    def _issue(self, message: PermitRequest) -> PermitReply:
        self._lease.record_use()
        reply = self._issuer.issue(message, self._now())
        self._metrics.count('permits.issued', len(reply.permits))
        return reply

    def _on_message(self, message: PermitMessage, sender: Address) -> None:
        self._handle(message, sender)

    @singledispatchmethod
    def _handle(self, message: PermitMessage, sender: Address) -> None:
        raise TypeError(message)

    @_handle.register
    def _on_request(self, message: PermitRequest, sender: Address) -> None:
        if self._lease.is_held:
            self._link.send(sender, self._issue(message))
            return
        reply = PermitReply(message.request_id, is_coordinator=False)
        self._link.send(sender, reply)
        # The lease may still be that of this VM's former process.
        self._lease.seek()

    @_handle.register
    def _on_reply(self, reply: PermitReply, sender: Address) -> None:
        if sender != self._coordinator:
            return
        self._silent_requests = 0
        if not reply.is_coordinator:
            self._forget_coordinator('not-coordinator')
        self._finish(reply.request_id, reply)

    @_handle.register
    def _on_notice(self, notice: CoordinatorNotice, sender: Address) -> None:
        if self._lease.is_held:
            return
        if notice.address != self._coordinator:
            log_event(_log, 'coordinator', vm=notice.vm, address=notice.address)
        self._lease.stop_seeking()
        self.on_coordinator_found(notice.address)

    @_handle.register
    def _on_report(self, report: RolloutReport, sender: Address) -> None:
        if self._lease.is_held and self._rollouts is not None:
            self._link.send(sender, self._rollouts.on_report(report))
            return
        self._link.send(sender, PermitReply(0, is_coordinator=False))
        self._lease.seek()

    @_handle.register
    def _on_phase(self, notice: RolloutNotice, sender: Address) -> None:
        if self._rollouts is not None and sender == self._coordinator:
            self._rollouts.on_notice(notice)

    def _handle_timeout(self, request_id: int) -> None:
        pending = self._pending_by_id[request_id]
        if pending.is_sent:
            self._silent_requests += 1
            if self._silent_requests >= _MAX_SILENT_REQUESTS:
                self._forget_coordinator('silent')
        self._metrics.count('permits.timeouts')
        self._finish(request_id, None)

    def _forget_coordinator(self, reason: str) -> None:
        log_event(
            _log, 'coordinator-lost', 30, was=self._coordinator, reason=reason
        )
        self._coordinator = None
        self._silent_requests = 0
        self._lease.seek()

    def _finish(self, request_id: int, reply: PermitReply | None) -> None:
        """Apply a reply, None if the coordinator gave none."""
        pending = self._pending_by_id.pop(request_id, None)
        if pending is None:
            return
        pending.timer.cancel()
        now = self._now()
        if now > pending.asked_at + _MAX_REPLY_TIME:
            reply = None
        if reply is None or not reply.is_coordinator:
            self._deny_all(pending.message, now)
            if pending.callback is not None:
                pending.callback(None, NO_COORDINATOR_DELAY)
            return
        for permit in reply.permits:
            self._pacer.add_permit(
                permit.upstream, permit.wait, permit.validity, now
            )
        for upstream_id, wait in reply.wait_by_upstream.items():
            self._pacer.record_denied(upstream_id, wait, now)
        self._metrics.count('permits.received', len(reply.permits))
        self._metrics.count('permits.denied', len(reply.wait_by_upstream))
        if pending.callback is None:
            return
        wait = max((permit.wait for permit in reply.permits), default=None)
        pending.callback(wait, reply.retry_after)

    def _deny_all(self, message: PermitRequest, now: Instant) -> None:
        for need in message.needs:
            for upstream in need:
                self._pacer.record_denied(
                    upstream.id, NO_COORDINATOR_DELAY, now
                )
