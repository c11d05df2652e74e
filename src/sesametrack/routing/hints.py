"""Hints that VMs exchange about slow, failing and unreachable upstreams."""

from collections.abc import Callable

from msgspec import Struct

from sesametrack.contracts.types import (
    FailureDomainId,
    Instant,
    Milliseconds,
    Seconds,
    UpstreamId,
    VmId,
)
from sesametrack.routing.crash_records import CrashNews
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
# How long a limit that was set, changed or ended is told, and that an upstream
# leaves.
_NEWS_TIME: Seconds = 2
# Keeps a datagram, at about 30 bytes per hint, below the smallest usual MTU.
_MAX_HINTS = 32


class LimitNews(Struct, frozen=True, array_like=True):
    """The limit that an upstream stated, and the time since it was heard.

    `per_s` is in requests per second from all VMs, None after the end of a
    limit.
    """

    per_s: float | None
    age: Seconds


class Hint(Struct, frozen=True, array_like=True):
    """Recent measurements of one incarnation of an upstream by one VM.

    The limit is given for a while after it was set, changed or ended. Older
    versions don't send it.
    """

    upstream: UpstreamId
    started_ms: Milliseconds
    slowness: float
    failure_rate: float
    is_unreachable: bool
    limit: LimitNews | None = None
    # Whether the upstream has said that it is leaving.
    is_leaving: bool = False

    @property
    def is_about_health(self) -> bool:
        """Return whether the upstream is slow or failing."""
        return (
            self.slowness >= _SLOW_RATIO or self.failure_rate >= _FAILING_RATE
        )


class HintMessage(Struct, frozen=True, array_like=True):
    """Hints of one VM, its readiness and the routes that it cannot serve."""

    vm: VmId
    failure_domain: FailureDomainId
    hints: list[Hint]
    # Whether the VM accepts callers, and the routes that it cannot serve.
    is_ready: bool = True
    unservable: list[str] = []
    # Requests under which upstreams have ended, as far as they fit.
    crashes: list[CrashNews] = []
    # Whether the VM has just started, and asks for what others know.
    is_starting: bool = False


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
    """Return hints from this VM's recent measurements.

    Upstreams that are leaving come first, then the slowest.
    """
    hints = [
        hint
        for upstream in directory.by_id.values()
        if (hint := _make_hint(upstream, now)) is not None
    ]
    hints.sort(key=lambda hint: (not hint.is_leaving, -hint.slowness))
    return hints[:_MAX_HINTS]


def apply_hints(
    directory: UpstreamDirectory,
    message: HintMessage,
    own_domain: FailureDomainId,
    now: Instant,
    on_limit: Callable[[Upstream, float | None], None],
) -> list[UpstreamId]:
    """Apply a peer's hints; return the upstreams with new hints.

    `on_limit` is called with each upstream whose limit changes by what the
    peer heard, and the limit before.

    A hint that an upstream is unreachable is ignored unless the peer is in
    the failure domain of this VM or of the upstream. Otherwise the network
    between the peer's domain and the upstream's may be partitioned.
    """
    updated = []
    for hint in message.hints:
        upstream = directory.by_id.get(hint.upstream)
        if upstream is None or upstream.record.started_ms != hint.started_ms:
            continue
        before = upstream.rate_limit.per_s
        if _apply_limit(hint, upstream, now):
            on_limit(upstream, before)
        is_news = _apply_leaving(hint, upstream, now)
        nearby_domains = {own_domain, upstream.record.failure_domain}
        if message.failure_domain in nearby_domains or not hint.is_unreachable:
            is_news = _apply_health(hint, upstream, now) or is_news
        if is_news:
            updated.append(hint.upstream)
    return updated


def _apply_leaving(hint: Hint, upstream: Upstream, now: Instant) -> bool:
    if not hint.is_leaving or upstream.is_leaving:
        return False
    upstream.record_leaving(now)
    return True


def _apply_limit(hint: Hint, upstream: Upstream, now: Instant) -> bool:
    if hint.limit is None:
        return False
    heard_at = now - max(0, hint.limit.age)
    return upstream.rate_limit.record_news(hint.limit.per_s, heard_at)


def _apply_health(hint: Hint, upstream: Upstream, now: Instant) -> bool:
    if not hint.is_about_health:
        return False
    return upstream.health.record_hint(hint.slowness, hint.failure_rate, now)


def _make_hint(upstream: Upstream, now: Instant) -> Hint | None:
    health = upstream.health
    is_unresponsive = health.oldest_attempt_age(now) > _UNRESPONSIVE_TIME
    is_fresh = now - health.measured_at < _MEASUREMENT_MAX_AGE
    slowness = health.slowness if is_fresh else 1
    failure_rate = health.failure_rate if is_fresh else 0
    if is_unresponsive or health.is_unreachable:
        slowness = _UNRESPONSIVE_SLOWNESS
    hint = Hint(
        upstream.id,
        upstream.record.started_ms,
        round(slowness, 1),
        round(failure_rate, 2),
        health.is_unreachable or is_unresponsive,
        _make_limit_news(upstream, now),
        _is_leaving_news(upstream, now),
    )
    has_news = hint.limit is not None or hint.is_leaving
    return hint if hint.is_about_health or has_news else None


def _is_leaving_news(upstream: Upstream, now: Instant) -> bool:
    """Return whether others may not know yet that an upstream leaves."""
    if upstream.leaving_since is None or upstream.record.is_draining:
        return False
    return now - upstream.leaving_since <= _NEWS_TIME


def _make_limit_news(upstream: Upstream, now: Instant) -> LimitNews | None:
    limit = upstream.rate_limit
    if now - limit.changed_at > _NEWS_TIME:
        return None
    return LimitNews(limit.per_s, round(now - limit.heard_at, 3))
