"""The pools of connections to all upstreams, and their reachability."""

from asyncio import AbstractEventLoop
from collections.abc import Callable
from dataclasses import dataclass
from logging import getLogger

from sesametrack.contracts.types import (
    Instant,
    Seconds,
    ServiceId,
    UpstreamId,
)
from sesametrack.links.upstream_pool import PoolOwner, UpstreamPool
from sesametrack.routing.directory import Upstream
from sesametrack.routing.events import FailureKind, UpstreamReply
from sesametrack.telemetry.journal import log_event
from sesametrack.telemetry.metrics import Metrics

_MS = 1000
# Connections are opened ahead of need a few at a time.
_WARM_BATCH = 8
_WARM_PAUSE: Seconds = 0.02
# Connection attempts to an unreachable upstream repeat with these pauses.
_FIRST_PROBE_PAUSE: Seconds = 0.25
_MAX_PROBE_PAUSE: Seconds = 2
_MAX_DOUBLINGS = 5

_log = getLogger('upstreams')


@dataclass(slots=True)
class _PoolState:
    """The pool of an upstream and its connection attempts."""

    upstream: Upstream
    pool: UpstreamPool
    failures: int = 0
    is_probed: bool = False


class UpstreamPools(PoolOwner):
    """Owns the pools; replies and failures go on to the owner of sends."""

    def __init__(
        self,
        owner: PoolOwner,
        limit_of: Callable[[ServiceId], int],
        metrics: Metrics,
        loop: AbstractEventLoop,
        now: Callable[[], Instant],
    ) -> None:
        """Bind who gets replies, and the limit of a service's pools."""
        self._owner = owner
        self._limit_of = limit_of
        self._metrics = metrics
        self._loop = loop
        self._now = now
        self._state_by_id: dict[UpstreamId, _PoolState] = {}

    def close(self) -> None:
        """Close all connections."""
        for state in self._state_by_id.values():
            state.pool.close()

    @property
    def opened(self) -> int:
        """Number of connections opened to listed upstreams."""
        return sum(
            state.pool.opened_count for state in self._state_by_id.values()
        )

    def pool_for(self, upstream: Upstream) -> UpstreamPool:
        """Return the pool of an upstream; made on first use."""
        state = self._state_by_id.get(upstream.id)
        if state is None or state.upstream is not upstream:
            if state is not None:
                state.pool.retire()
            pool = UpstreamPool(
                upstream.id,
                upstream.record.address,
                self._limit_of(upstream.record.service),
                self,
                self._loop,
                self._now,
            )
            state = _PoolState(upstream, pool)
            self._state_by_id[upstream.id] = state
        return state.pool

    def apply_limits(self) -> None:
        """Take over the limits of all pools."""
        for state in self._state_by_id.values():
            state.pool.limit = self._limit_of(state.upstream.record.service)

    def open_ahead(self, upstreams: list[Upstream]) -> None:
        """Open a connection to each upstream that has none."""
        for upstream in upstreams[:_WARM_BATCH]:
            pool = self.pool_for(upstream)
            if not pool.size and not upstream.is_replaced:
                pool.open()
        rest = upstreams[_WARM_BATCH:]
        if rest:
            self._loop.call_later(_WARM_PAUSE, self.open_ahead, rest)

    def forget(self, upstream_ids: list[UpstreamId]) -> None:
        """Let go of upstreams that are no longer listed."""
        for upstream_id in upstream_ids:
            state = self._state_by_id.pop(upstream_id, None)
            if state is not None:
                state.pool.retire()

    def trim(self) -> None:
        """Close idle connections that may not be used again."""
        for state in self._state_by_id.values():
            state.pool.close_expired()

    def on_reply(self, attempt_id: int, reply: UpstreamReply) -> None:
        """Pass on a whole reply of an upstream."""
        self._owner.on_reply(attempt_id, reply)

    def on_interim(self, attempt_id: int) -> None:
        """Pass on an interim response."""
        self._owner.on_interim(attempt_id)

    def on_failure(self, attempt_id: int, kind: FailureKind, why: str) -> None:
        """Pass on the end of a send without a reply."""
        self._owner.on_failure(attempt_id, kind, why)

    def on_connected(self, pool: UpstreamPool, elapsed: Seconds) -> None:
        """Take the opening of a connection."""
        self._metrics.count('connections.opened')
        self._metrics.time('connections.open-time', elapsed * _MS)
        state = self._state_by_id.get(pool.upstream_id)
        if state is None:
            return
        state.failures = 0
        if not state.upstream.health.is_unreachable:
            return
        log_event(_log, 'upstream-reachable', upstream=pool.upstream_id)
        state.upstream.health.record_reachable()
        # Others of its failure domain may be back too.
        domain = state.upstream.record.failure_domain
        for other in list(self._state_by_id.values()):
            if other.upstream.record.failure_domain == domain:
                self._try_again(other)

    def on_unreachable(self, pool: UpstreamPool, why: str) -> None:
        """Take the failure to open a connection."""
        self._metrics.count('connections.failed')
        state = self._state_by_id.get(pool.upstream_id)
        if state is None:
            return
        health = state.upstream.health
        if not health.is_unreachable:
            log_event(
                _log,
                'upstream-unreachable',
                upstream=pool.upstream_id,
                service=state.upstream.record.service,
                why=why,
            )
        health.record_unreachable(self._now())
        state.failures += 1
        if state.is_probed:
            return
        state.is_probed = True
        doublings = min(state.failures - 1, _MAX_DOUBLINGS)
        self._loop.call_later(
            min(_MAX_PROBE_PAUSE, _FIRST_PROBE_PAUSE * 2**doublings),
            self.probe,
            pool.upstream_id,
        )

    def probe(self, upstream_id: UpstreamId) -> None:
        """Try to reach an upstream that counts as unreachable."""
        state = self._state_by_id.get(upstream_id)
        if state is None:
            return
        state.is_probed = False
        self._try_again(state)

    def _try_again(self, state: _PoolState) -> None:
        if (
            state.upstream.health.is_unreachable
            and not state.pool.is_connecting
        ):
            state.pool.open()
