"""What VMs tell each other of upstreams that are not as they should be."""

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

# Own evidence is told while it is so fresh.
_FRESH: Seconds = 0.8
# From here on an upstream counts as slow, failing or silent.
_SLOW = 2.5
_FAILING = 0.4
_SILENT: Seconds = 0.3
_SILENT_SLOWNESS = 8.0
# Messages come at least each second; two may be lost.
_HEARD: Seconds = 2.5
# A datagram must fit the smallest usual path: about 30 bytes a hint.
_MAX_HINTS = 32


class Hint(Struct, frozen=True, array_like=True):
    """What one VM has just seen of one incarnation of an upstream."""

    upstream: UpstreamId
    started_ms: Milliseconds
    slowness: float
    failure_rate: float
    is_unreachable: bool


class HintMessage(Struct, frozen=True, array_like=True):
    """Hints of one VM."""

    vm: VmId
    failure_domain: FailureDomainId
    hints: list[Hint]
    # Whether the VM takes callers, and the routes that it cannot serve.
    is_ready: bool = True
    unservable: list[str] = []


class PeerReachability:
    """Which routes the other VMs can serve, as they said lately."""

    def __init__(self) -> None:
        """Start without having heard of any VM."""
        self._heard_by_vm: dict[VmId, tuple[HintMessage, Instant]] = {}

    def observe(self, message: HintMessage, now: Instant) -> None:
        """Keep a VM's latest message."""
        self._heard_by_vm[message.vm] = (message, now)

    def vms_serving(self, routes: list[str], now: Instant) -> list[VmId]:
        """Return the ready VMs that can serve all of these routes."""
        return [
            vm
            for vm, (message, heard_at) in self._heard_by_vm.items()
            if now - heard_at < _HEARD
            and message.is_ready
            and not set(routes) & set(message.unservable)
        ]


def collect_hints(directory: UpstreamDirectory, now: Instant) -> list[Hint]:
    """Return this VM's own fresh evidence of bad upstreams."""
    found = [
        hint
        for upstream in directory.by_id.values()
        if (hint := _describe(upstream, now)) is not None
    ]
    found.sort(key=lambda hint: -hint.slowness)
    return found[:_MAX_HINTS]


def apply_hints(
    directory: UpstreamDirectory,
    message: HintMessage,
    own_domain: FailureDomainId,
    now: Instant,
) -> list[UpstreamId]:
    """Take over a peer's evidence; return the upstreams it is news of.

    That a peer cannot reach an upstream says something here only if the
    peer shares this VM's paths or the upstream's: between other failure
    domains it may be the path that is cut.
    """
    concerned = []
    for hint in message.hints:
        upstream = directory.by_id.get(hint.upstream)
        if upstream is None or upstream.record.started_ms != hint.started_ms:
            continue
        near = {own_domain, upstream.record.failure_domain}
        if hint.is_unreachable and message.failure_domain not in near:
            continue
        if upstream.health.record_hint(hint.slowness, hint.failure_rate, now):
            concerned.append(hint.upstream)
    return concerned


def _describe(upstream: Upstream, now: Instant) -> Hint | None:
    health = upstream.health
    is_unresponsive = health.oldest_age(now) > _SILENT
    is_fresh = now - health.updated_at < _FRESH
    slowness = health.slowness if is_fresh else 1
    failure_rate = health.failure_rate if is_fresh else 0
    if is_unresponsive or health.is_unreachable:
        slowness = _SILENT_SLOWNESS
    if slowness < _SLOW and failure_rate < _FAILING:
        return None
    return Hint(
        upstream.id,
        upstream.record.started_ms,
        round(slowness, 1),
        round(failure_rate, 2),
        health.is_unreachable or is_unresponsive,
    )
