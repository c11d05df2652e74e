"""Asks coordinators for requests within quotas; grants them if it is one."""

from asyncio import AbstractEventLoop, TimerHandle
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from itertools import count
from logging import getLogger
from random import Random

from sesametrack.contracts.quotas import (
    QuotaAsk,
    QuotaGrant,
    QuotaMessage,
    QuotaNotice,
    QuotaReply,
    QuotaRequest,
)
from sesametrack.contracts.types import (
    Address,
    FailureDomainId,
    Instant,
    Seconds,
)
from sesametrack.links.datagrams import DatagramEndpoint
from sesametrack.platform.coordinator_lease import LeaseKeeper
from sesametrack.programs.quota_pursuits import (
    Pursuit,
    QuotaCallback,
    Unanswered,
    log_refusal,
    make_refusal,
)
from sesametrack.routing.quota_coordinators import (
    QuotaCoordinators,
    is_lease_candidate,
)
from sesametrack.routing.quotas import (
    MAX_REPLY_TIME,
    Allowances,
    QuotaIssuer,
    QuotaRule,
)
from sesametrack.routing.workspaces import Workspace
from sesametrack.telemetry.metrics import Metrics
from sesametrack.telemetry.structured_log import log_event
from sesametrack.vms.watchers import FleetVm

_LEASE_PREFIX = 'quotas-'
# A coordinator of the same region replies within some milliseconds.
_REPLY_TIMEOUT: Seconds = 0.02
_TEND_INTERVAL: Seconds = 1

_log = getLogger('quotas')


class QuotaExchange:
    """Owns the datagram link for quotas, and this domain's lease."""

    def __init__(
        self,
        store: Address,
        own_vm: FleetVm,
        rule: QuotaRule,
        metrics: Metrics,
        loop: AbstractEventLoop,
        now: Callable[[], Instant],
        rng: Random,
    ) -> None:
        """Start without a coordinator; `start` opens the socket."""
        self._own_vm = own_vm
        self._domain = own_vm.failure_domain
        self._rule = rule
        self._metrics = metrics
        self._loop = loop
        self._now = now
        self._allowances = Allowances(rule, self._domain, rng)
        self._issuer = QuotaIssuer(rule, self._domain, now())
        self._lease = LeaseKeeper(
            store,
            own_vm.vm,
            own_vm.quota_address,
            self,
            now,
            rng,
            _LEASE_PREFIX + self._domain,
        )
        self._link = DatagramEndpoint(
            own_vm.quota_address, self._on_message, QuotaMessage
        )
        self._fleet: list[FleetVm] = []
        self._coordinators = QuotaCoordinators(self._domain, now())
        self._version = 0
        self._limited: list[Workspace] = []
        self._request_ids = count(1)
        self._pursuit_by_id: dict[int, Pursuit] = {}
        self._unanswered_by_id: dict[int, Unanswered] = {}
        self._tend_timer: TimerHandle | None = None

    async def start(self) -> None:
        """Open the socket; raises OSError if the address is in use."""
        await self._link.start()
        await self._lease.start()
        self._tend()

    async def close(self) -> None:
        """Close the socket, and refuse what still waits."""
        if self._tend_timer is not None:
            self._tend_timer.cancel()
        for request_id in list(self._pursuit_by_id):
            self._end(self._pursuit_by_id.pop(request_id), is_granted=False)
        await self._lease.close()
        await self._link.close()

    def stop(self) -> None:
        """Give up the lease, since this VM shuts down."""
        self._lease.stop()

    def observe_era(self, era: int) -> None:
        """Record the era of the store that a reply has shown."""
        self._lease.observe_era(era)

    def set_fleet(self, fleet: list[FleetVm]) -> None:
        """Set the live VMs."""
        self._fleet = [
            one
            for one in fleet
            if one.quota_address and one.vm != self._own_vm.vm
        ]
        self._lease.fleet_size = len(self._neighbors) + 1

    def apply_limits(
        self, version: int, workspaces: Iterable[Workspace]
    ) -> None:
        """Apply the limits of a version of the desired state."""
        self._version = version
        self._limited = [one for one in workspaces if one.limit.per_s > 0]
        self._allowances.retain(one.id for one in self._limited)
        self._issuer.apply_limits(version, self._limited, self._now())
        if self._limited and not self._coordinators.is_own_known:
            # This VM, or the fleet, has just started.
            self._lease.seek()

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a grant."""
        return len(self._pursuit_by_id)

    @property
    def is_coordinator(self) -> bool:
        """Return whether this VM has its domain's share."""
        return self._lease.is_held

    @property
    def store_calls(self) -> int:
        """Number of calls made to the store."""
        return self._lease.calls

    def request(self, workspace: Workspace, callback: QuotaCallback) -> None:
        """Call back once a request of a workspace may be sent, or is refused.

        It may be called back at once.
        """
        now = self._now()
        self._allowances.record_request(workspace.id, now)
        if self._allowances.spend(workspace.id, now):
            self._metrics.count('quotas.spent')
            callback(None)
            return
        ask = QuotaAsk(
            workspace.id,
            self._version,
            workspace.limit.per_s,
            workspace.limit.burst,
            self._allowances.block_size(workspace.id),
        )
        self._ask_next(Pursuit(ask, callback, now), now)

    # Callbacks of the lease.

    def on_lease_taken(self, *, is_first: bool) -> None:
        """Grant out of new buckets."""
        now = self._now()
        renewals = self._lease.replaced_renewals
        self._issuer = QuotaIssuer(
            self._rule,
            self._domain,
            now,
            has_reserve=renewals >= self._rule.settled_renewals,
        )
        self._issuer.apply_limits(self._version, self._limited, now)
        self._record_coordinator(self._own_vm.quota_address)
        self._notify(self._fleet, is_new=True)

    def on_lease_renewed(self) -> None:
        """Tell the own domain and the other coordinators."""
        self._notify(self._neighbors)
        for domain, address in self._coordinators.address_by_domain.items():
            if domain != self._domain:
                self._link.send(address, self._make_notice())

    def on_coordinator_found(self, address: Address) -> None:
        """Send further requests of this domain to another VM."""
        self._record_coordinator(address)

    @property
    def _neighbors(self) -> list[FleetVm]:
        return [
            one for one in self._fleet if one.failure_domain == self._domain
        ]

    def _record_coordinator(self, address: Address) -> None:
        if self._coordinators.record_own(address, self._now()):
            log_event(_log, 'quota-coordinator', address=address)

    def _forget_coordinator(self, domain: FailureDomainId, reason: str) -> None:
        was = self._coordinators.forget(domain)
        if was is not None:
            log_event(
                _log,
                'quota-coordinator-lost',
                30,
                domain=domain,
                was=was,
                reason=reason,
            )
        if domain == self._domain:
            self._lease.seek()

    def _tend(self) -> None:
        """Keep the lease while there are limits, or look for its holder.

        A coordinator that is looked for by a request comes too late for it.
        """
        if self._limited:
            self._lease.record_use()
        neighbors = [one.vm for one in self._neighbors]
        is_candidate = is_lease_candidate(self._own_vm.vm, neighbors)
        if self._limited and not self._lease.is_held and is_candidate:
            if self._coordinators.needs_search(self._now()):
                self._forget_coordinator(self._domain, 'no-notice')
        self._tend_timer = self._loop.call_later(_TEND_INTERVAL, self._tend)

    def _notify(self, vms: list[FleetVm], *, is_new: bool = False) -> None:
        notice = self._make_notice(is_new=is_new)
        for one in vms:
            self._link.send(one.quota_address, notice)

    def _make_notice(self, *, is_new: bool = False) -> QuotaNotice:
        known = {
            self._domain: self._own_vm.quota_address,
            **self._coordinators.address_by_domain,
        }
        return QuotaNotice(self._own_vm.vm, known, is_new)

    def _ask_next(self, pursuit: Pursuit, now: Instant) -> None:
        """Ask the next coordinator, or refuse the request."""
        domain = None
        if now < pursuit.started_at + MAX_REPLY_TIME:
            domain = self._allowances.choose_domain(
                pursuit.ask.workspace,
                self._coordinators.address_by_domain,
                pursuit.asked,
                now,
            )
        if not self._coordinators.is_own_known:
            self._lease.seek()
        if domain is None:
            self._end(pursuit, is_granted=False)
            return
        pursuit.asked.append(domain)
        pursuit.domain = domain
        pursuit.asked_at = now
        if domain == self._domain and self._lease.is_held:
            self._apply_grant(pursuit, self._issue(pursuit.ask), now)
            return
        request_id = next(self._request_ids)
        self._pursuit_by_id[request_id] = pursuit
        pursuit.timer = self._loop.call_later(
            _REPLY_TIMEOUT, self._handle_timeout, request_id
        )
        self._metrics.count('quotas.asked')
        self._link.send(
            self._coordinators.address_by_domain[domain],
            QuotaRequest(request_id, [pursuit.ask]),
        )

    def _issue(self, ask: QuotaAsk) -> QuotaGrant:
        grant = self._issuer.issue(ask, self._now())
        self._metrics.count('quotas.granted', grant.count)
        if not grant.count:
            self._metrics.count('quotas.denied')
        return grant

    def _apply_grant(
        self, pursuit: Pursuit, grant: QuotaGrant, now: Instant
    ) -> None:
        workspace = pursuit.ask.workspace
        self._allowances.record_grant(workspace, pursuit.domain, grant, now)
        pursuit.is_denied |= not grant.count
        if self._allowances.spend(workspace, now):
            self._end(pursuit, is_granted=True)
        else:
            self._ask_next(pursuit, now)

    def _end(self, pursuit: Pursuit, *, is_granted: bool) -> None:
        if pursuit.timer is not None:
            pursuit.timer.cancel()
        if is_granted:
            self._metrics.count('quotas.spent')
            pursuit.callback(None)
            return
        now = self._now()
        wait = self._allowances.retry_after(pursuit.ask.workspace, now)
        refusal = make_refusal(pursuit, wait)
        self._metrics.count(f'quotas.refused-{refusal.reason}')
        known = sorted(self._coordinators.address_by_domain)
        log_refusal(pursuit, refusal, known, now)
        pursuit.callback(refusal)

    def _handle_timeout(self, request_id: int) -> None:
        pursuit = self._pursuit_by_id.pop(request_id)
        now = self._now()
        self._metrics.count('quotas.timeouts')
        self._allowances.record_silence(pursuit.domain, now)
        self._unanswered_by_id[request_id] = Unanswered(
            pursuit.ask.workspace, pursuit.domain, pursuit.asked_at
        )
        if self._coordinators.record_silence(pursuit.domain):
            self._forget_coordinator(pursuit.domain, 'silent')
        self._ask_next(pursuit, now)

    def _on_message(self, message: QuotaMessage, sender: Address) -> None:
        self._handle(message, sender)

    @singledispatchmethod
    def _handle(self, message: QuotaMessage, sender: Address) -> None:
        raise TypeError(message)

    @_handle.register
    def _on_request(self, message: QuotaRequest, sender: Address) -> None:
        if not self._lease.is_held:
            self._link.send(sender, QuotaReply(message.request_id, False))
            # The lease may still be that of this VM's former process.
            self._lease.seek()
            return
        grants = [self._issue(ask) for ask in message.asks]
        self._link.send(sender, QuotaReply(message.request_id, True, grants))

    @_handle.register
    def _on_reply(self, reply: QuotaReply, sender: Address) -> None:
        pursuit = self._pursuit_by_id.pop(reply.request_id, None)
        if pursuit is None:
            self._handle_late_reply(reply)
            return
        pursuit.timer.cancel()
        now = self._now()
        if not reply.is_coordinator or len(reply.grants) != 1:
            self._drop_coordinator(pursuit.domain, sender)
            self._ask_next(pursuit, now)
        elif now > pursuit.asked_at + MAX_REPLY_TIME:
            self._ask_next(pursuit, now)
        else:
            self._coordinators.record_reply(pursuit.domain)
            self._apply_grant(pursuit, reply.grants[0], now)

    def _handle_late_reply(self, reply: QuotaReply) -> None:
        """Keep for later requests what was granted to one that gave up."""
        now = self._now()
        asked = self._unanswered_by_id.pop(reply.request_id, None)
        self._unanswered_by_id = {
            request_id: one
            for request_id, one in self._unanswered_by_id.items()
            if now <= one.asked_at + MAX_REPLY_TIME
        }
        self._metrics.count('quotas.late')
        is_in_time = asked and now <= asked.asked_at + MAX_REPLY_TIME
        if is_in_time and len(reply.grants) == 1:
            self._allowances.record_grant(
                asked.workspace, asked.domain, reply.grants[0], now
            )

    def _drop_coordinator(
        self, domain: FailureDomainId, address: Address
    ) -> None:
        if self._coordinators.address_by_domain.get(domain) == address:
            self._forget_coordinator(domain, 'not-coordinator')

    @_handle.register
    def _on_notice(self, notice: QuotaNotice, sender: Address) -> None:
        own = self._coordinators.record_notice(notice, sender)
        if own is not None and not self._lease.is_held:
            self._lease.stop_seeking()
            self._record_coordinator(own)
        if notice.is_new and self._lease.is_held:
            self._link.send(sender, self._make_notice())
