"""Tells the other VMs of bad upstreams, and takes what they tell."""

from asyncio import AbstractEventLoop, TimerHandle
from collections.abc import Callable
from logging import getLogger
from random import Random

from sesametrack.contracts.types import (
    Address,
    FailureDomainId,
    Instant,
    Seconds,
    VmId,
)
from sesametrack.links.datagrams import DatagramEndpoint
from sesametrack.routing.directory import UpstreamDirectory
from sesametrack.routing.hints import (
    HintMessage,
    PeerReachability,
    apply_hints,
    collect_hints,
)
from sesametrack.telemetry.journal import log_event
from sesametrack.telemetry.metrics import Metrics

# An upstream's slowness lasts for seconds; a hint must come well before
# most VMs have found out by themselves.
_INTERVAL: Seconds = 0.2
# Without hints, a message each second tells that this VM can serve.
_HEARTBEAT_INTERVAL: Seconds = 1
# Each message goes to so many VMs at most, chosen anew each time.
_MAX_PEERS = 8
# A datagram names so many routes.
_MAX_ROUTES = 24

_log = getLogger('hints')


class HintExchange:
    """Owns the datagram link between the VMs."""

    def __init__(
        self,
        vm: VmId,
        domain: FailureDomainId,
        address: Address,
        directory: UpstreamDirectory,
        metrics: Metrics,
        loop: AbstractEventLoop,
        now: Callable[[], Instant],
        rng: Random,
    ) -> None:
        """Bind the parts; `start` opens the socket."""
        self.peers: list[Address] = []
        self.reach = PeerReachability()
        # What this VM tells of itself.
        self.is_ready = False
        self.unservable: list[str] = []
        self._told_at: Instant = float('-inf')
        self._vm = vm
        self._domain = domain
        self._directory = directory
        self._metrics = metrics
        self._loop = loop
        self._now = now
        self._rng = rng
        self._link = DatagramEndpoint(address, self._take, HintMessage)
        self._timer: TimerHandle | None = None

    async def start(self) -> None:
        """Open the socket; raises OSError if the address is taken."""
        await self._link.start()
        self._tick()

    async def close(self) -> None:
        """Close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        await self._link.close()

    def _tick(self) -> None:
        now = self._now()
        hints = collect_hints(self._directory, now)
        is_due = now >= self._told_at + _HEARTBEAT_INTERVAL
        if self.peers and (hints or is_due or self.unservable):
            self._told_at = now
            chosen = self.peers
            if len(chosen) > _MAX_PEERS:
                chosen = self._rng.sample(chosen, _MAX_PEERS)
            message = HintMessage(
                self._vm,
                self._domain,
                hints,
                # One that has no room to name its routes claims none.
                self.is_ready and len(self.unservable) <= _MAX_ROUTES,
                self.unservable[:_MAX_ROUTES],
            )
            for peer in chosen:
                self._link.send(peer, message)
            self._metrics.count('hints.sent', len(chosen))
        self._timer = self._loop.call_later(_INTERVAL, self._tick)

    def _take(self, message: HintMessage, address: Address) -> None:
        now = self._now()
        self.reach.observe(message, now)
        concerned = apply_hints(self._directory, message, self._domain, now)
        self._metrics.count('hints.taken', len(concerned))
        if concerned:
            log_event(_log, 'hints-taken', peer=message.vm, upstreams=concerned)
