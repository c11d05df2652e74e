"""Hints that VMs exchange about slow, failing and unreachable upstreams."""

from msgspec import Struct

from sesametrack.contracts.types import (
    FailureDomainId,
    Instant,
    Milliseconds,
    Seconds,
    UpstreamId,
    VmId,
)
from sesametrack.routing.directory import Upstream, UpstreamDirectory

# Older measurements are not included in hints.
_MEASUREMENT_MAX_AGE: Seconds = 0.8
# Thresholds of a slow, failing or unresponsive upstream.
_SLOW_RATIO = 2.5
_FAILING_RATE = 0.4
_UNRESPONSIVE_TIME: Seconds = 0.3
_UNRESPONSIVE_SLOWNESS = 8.0
# Messages are sent at least once a second, and two may be lost.
_MESSAGE_TTL: Seconds = 2.5
# Keeps a datagram, at about 30 bytes per hint, below the smallest usual MTU.
_MAX_HINTS = 32


class Hint(Struct, frozen=True, array_like=True):
    """Recent measurements of one incarnation of an upstream by one VM."""

    upstream: UpstreamId
    started_ms: Milliseconds
    slowness: float
    failure_rate: float
    is_unreachable: bool


class HintMessage(Struct, frozen=True, array_like=True):
    """Hints of one VM, its readiness and the routes that it cannot serve."""

    vm: VmId
    failure_domain: FailureDomainId
    hints: list[Hint]
    # Whether the VM accepts callers, and the routes that it cannot serve.
    is_ready: bool = True
    unservable: list[str] = []


class PeerReachability:
    """Routes that other VMs can serve, from their latest messages."""

    def __init__(self) -> None:
        """Start without messages."""
        self._latest_by_vm: dict[VmId, tuple[HintMessage, Instant]] = {}

    def observe(self, message: HintMessage, now: Instant) -> None:
        """Store the latest message of a VM."""
        self._latest_by_vm[message.vm] = (message, now)

    def vms_serving(self, routes: list[str], now: Instant) -> list[VmId]:
        """Return the ready VMs that can serve all of these routes."""
        return [
            vm
            for vm, (message, received_at) in self._latest_by_vm.items()
            if now - received_at < _MESSAGE_TTL
            and message.is_ready
            and not set(routes) & set(message.unservable)
        ]


def collect_hints(directory: UpstreamDirectory, now: Instant) -> list[Hint]:
    """Return hints from this VM's recent measurements, the slowest first."""
    hints = [
        hint
        for upstream in directory.by_id.values()
        if (hint := _make_hint(upstream, now)) is not None
    ]
    hints.sort(key=lambda hint: -hint.slowness)
    return hints[:_MAX_HINTS]


def apply_hints(
    directory: UpstreamDirectory,
    message: HintMessage,
    own_domain: FailureDomainId,
    now: Instant,
) -> list[UpstreamId]:
    """Apply a peer's hints; return the upstreams with new hints.

    A hint that an upstream is unreachable is ignored unless the peer is in
    the failure domain of this VM or of the upstream. Otherwise the network
    between the peer's domain and the upstream's may be partitioned.
    """
    updated = []
    for hint in message.hints:
        upstream = directory.by_id.get(hint.upstream)
        if upstream is None or upstream.record.started_ms != hint.started_ms:
            continue
        nearby_domains = {own_domain, upstream.record.failure_domain}
        if hint.is_unreachable and message.failure_domain not in nearby_domains:
            continue
        if upstream.health.record_hint(hint.slowness, hint.failure_rate, now):
            updated.append(hint.upstream)
    return updated


def _make_hint(upstream: Upstream, now: Instant) -> Hint | None:
    health = upstream.health
    is_unresponsive = health.oldest_attempt_age(now) > _UNRESPONSIVE_TIME
    is_fresh = now - health.measured_at < _MEASUREMENT_MAX_AGE
    slowness = health.slowness if is_fresh else 1
    failure_rate = health.failure_rate if is_fresh else 0
    if is_unresponsive or health.is_unreachable:
        slowness = _UNRESPONSIVE_SLOWNESS
    if slowness < _SLOW_RATIO and failure_rate < _FAILING_RATE:
        return None
    return Hint(
        upstream.id,
        upstream.record.started_ms,
        round(slowness, 1),
        round(failure_rate, 2),
        health.is_unreachable or is_unresponsive,
    )
