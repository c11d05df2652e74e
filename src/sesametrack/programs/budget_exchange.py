"""Borrows extra sends from other VMs, and lends them this VM's."""

from asyncio import AbstractEventLoop, Handle
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from itertools import count

from sesametrack.contracts.extra_sends import (
    BorrowMessage,
    BorrowReply,
    BorrowRequest,
)
from sesametrack.contracts.types import Address, Instant, Seconds, ServiceId
from sesametrack.links.datagrams import DatagramEndpoint
from sesametrack.routing.budget_holders import BudgetHolders
from sesametrack.routing.retry_budget import RetryBudget
from sesametrack.telemetry.metrics import Metrics

# A holder in the same failure domain replies within a millisecond.
_REPLY_TIMEOUT: Seconds = 0.012
# A holder that did not reply is not asked for this long.
_SILENCE_TIME: Seconds = 2


@dataclass(slots=True)
class _PendingRequest:
    services: list[ServiceId]
    lender: Address
    timer: Handle


class BudgetExchange:
    """Owns the datagram link for extra sends."""

    def __init__(
        self,
        address: Address,
        budget: RetryBudget,
        holders: BudgetHolders,
        metrics: Metrics,
        loop: AbstractEventLoop,
        now: Callable[[], Instant],
    ) -> None:
        """Set the budget to borrow for and lend; `start` opens the socket."""
        self._budget = budget
        self._holders = holders
        self._metrics = metrics
        self._loop = loop
        self._now = now
        self._link = DatagramEndpoint(
            address,
            self._on_message,
            BorrowMessage,
            metrics.traffic,
            'extra-send',
        )
        self._request_ids = count(1)
        self._wanted: list[ServiceId] = []
        self._pending_by_id: dict[int, _PendingRequest] = {}
        self._silent_until: dict[Address, Instant] = {}

    async def start(self) -> None:
        """Open the socket; raises OSError if the address is in use."""
        await self._link.start()

    async def close(self) -> None:
        """Close the socket and forget the pending requests."""
        for pending in self._pending_by_id.values():
            pending.timer.cancel()
        self._pending_by_id.clear()
        await self._link.close()

    def borrow(self, service: ServiceId) -> None:
        """Ask for one extra send; requests made together are sent together."""
        if not self._wanted:
            self._loop.call_soon(self._send_wanted)
        self._wanted.append(service)

    def _send_wanted(self) -> None:
        wanted, self._wanted = self._wanted, []
        self._ask(wanted)

    def _ask(
        self, services: list[ServiceId], asked_before: Address = ''
    ) -> None:
        """Ask the next holder of each service that has not been silent."""
        now = self._now()
        services_by_lender: dict[Address, list[ServiceId]] = defaultdict(list)
        for service in services:
            lender = self._choose_lender(service, asked_before, now)
            if lender is None:
                self._budget.record_denied(service, now)
            else:
                services_by_lender[lender].append(service)
        for lender, asked in services_by_lender.items():
            request_id = next(self._request_ids)
            self._metrics.count('extra-sends.asked', len(asked))
            self._pending_by_id[request_id] = _PendingRequest(
                asked,
                lender,
                self._loop.call_later(
                    _REPLY_TIMEOUT, self._handle_timeout, request_id
                ),
            )
            self._link.send(lender, BorrowRequest(request_id, asked))

    def _choose_lender(
        self, service: ServiceId, asked_before: Address, now: Instant
    ) -> Address | None:
        lenders = self._holders.lenders(service)
        if asked_before in lenders:
            lenders = lenders[lenders.index(asked_before) + 1 :]
        for lender in lenders:
            if now >= self._silent_until.get(lender, now):
                return lender
        return None

    def _on_message(self, message: BorrowMessage, sender: Address) -> None:
        self._handle(message, sender)

    @singledispatchmethod
    def _handle(self, message: BorrowMessage, sender: Address) -> None:
        raise TypeError(message)

    @_handle.register
    def _lend(self, message: BorrowRequest, sender: Address) -> None:
        now = self._now()
        lent = [
            service
            for service in message.services
            if self._budget.spend_own(service, now)
        ]
        self._metrics.count('extra-sends.lent', len(lent))
        self._link.send(sender, BorrowReply(message.request_id, lent))

    @_handle.register
    def _receive(self, message: BorrowReply, sender: Address) -> None:
        pending = self._pending_by_id.pop(message.request_id, None)
        if pending is None:
            # What comes too late stays unused; the lender counts it.
            self._metrics.count('extra-sends.late')
            return
        pending.timer.cancel()
        now = self._now()
        refused = list(pending.services)
        for service in message.lent:
            if service in refused:
                refused.remove(service)
                self._budget.add_borrowed(service, now)
        if refused:
            self._metrics.count('extra-sends.refused', len(refused))
            self._ask(refused, asked_before=pending.lender)

    def _handle_timeout(self, request_id: int) -> None:
        pending = self._pending_by_id.pop(request_id)
        self._metrics.count('extra-sends.timeouts')
        self._silent_until[pending.lender] = self._now() + _SILENCE_TIME
        self._ask(pending.services, asked_before=pending.lender)
