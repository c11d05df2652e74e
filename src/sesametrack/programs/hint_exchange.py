"""Exchanges hints about slow, failing or unreachable upstreams between VMs."""

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
from sesametrack.routing.directory import Upstream, UpstreamDirectory
from sesametrack.routing.hints import (
    HintMessage,
    PeerReachability,
    apply_hints,
    collect_hints,
)
from sesametrack.telemetry.metrics import Metrics
from sesametrack.telemetry.structured_log import log_event

# An upstream stays slow for seconds, and a hint is useful only if it arrives
# well before most VMs have detected the slowness themselves.
_HINT_INTERVAL: Seconds = 0.2
# Interval of messages without hints, which report that this VM can serve.
_HEARTBEAT_INTERVAL: Seconds = 1
# Each message is sent to at most this many VMs, sampled anew each time.
_MAX_RECIPIENTS = 8
# Maximum number of routes in one datagram.
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
        on_limit: Callable[[Upstream, float | None], None],
        metrics: Metrics,
        loop: AbstractEventLoop,
        now: Callable[[], Instant],
        rng: Random,
    ) -> None:
        """Start without peers; `start` opens the socket."""
        self.peers: list[Address] = []
        self.peer_reachability = PeerReachability()
        # What this VM announces about itself.
        self.is_ready = False
        self.unservable_routes: list[str] = []
        self._last_sent_at: Instant = float('-inf')
        self._vm = vm
        self._domain = domain
        self._directory = directory
        self._on_limit = on_limit
        self._metrics = metrics
        self._loop = loop
        self._now = now
        self._rng = rng
        self._link = DatagramEndpoint(address, self._on_message, HintMessage)
        self._timer: TimerHandle | None = None

    async def start(self) -> None:
        """Open the socket; raises OSError if the address is in use."""
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
        is_heartbeat_due = now >= self._last_sent_at + _HEARTBEAT_INTERVAL
        if self.peers and (hints or is_heartbeat_due or self.unservable_routes):
            self._last_sent_at = now
            recipients = self.peers
            if len(recipients) > _MAX_RECIPIENTS:
                recipients = self._rng.sample(recipients, _MAX_RECIPIENTS)
            message = HintMessage(
                self._vm,
                self._domain,
                hints,
                # If its unservable routes don't fit, the VM reports that it
                # is not ready, so that peers assume it serves no route.
                self.is_ready and len(self.unservable_routes) <= _MAX_ROUTES,
                self.unservable_routes[:_MAX_ROUTES],
            )
            for peer in recipients:
                self._link.send(peer, message)
            self._metrics.count('hints.sent', len(recipients))
        self._timer = self._loop.call_later(_HINT_INTERVAL, self._tick)

    def _on_message(self, message: HintMessage, address: Address) -> None:
        now = self._now()
        self.peer_reachability.observe(message, now)
        upstream_ids = apply_hints(
            self._directory, message, self._domain, now, self._on_limit
        )
        self._metrics.count('hints.taken', len(upstream_ids))
        if upstream_ids:
            log_event(
                _log, 'hints-taken', peer=message.vm, upstreams=upstream_ids
            )
