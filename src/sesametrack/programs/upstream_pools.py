"""Connection pools and reachability of all upstreams."""

from asyncio import AbstractEventLoop, TimerHandle
from collections.abc import Callable
from dataclasses import dataclass
from logging import getLogger
from random import Random

from sesametrack.contracts.types import Instant, Seconds, ServiceId, UpstreamId
from sesametrack.links.reply_parser import ReplyMemory
from sesametrack.links.upstream_pool import PoolOwner, UpstreamPool
from sesametrack.routing.aggregators import AGGREGATOR_SERVICE
from sesametrack.routing.directory import Upstream
from sesametrack.routing.events import FailureKind, UpstreamReply
from sesametrack.routing.shares import DEFAULT_VM_COUNT
from sesametrack.telemetry.metrics import Metrics
from sesametrack.telemetry.structured_log import log_event
from sesametrack.vms.repeats import RepeatBound, Repeated, grown_wait

_MS_PER_SECOND = 1000
# Connections are opened in advance in batches, to limit concurrent connects.
_PREOPEN_BATCH = 8
_PREOPEN_PAUSE: Seconds = 0.02
# Least time between checks of an upstream whose idle connections fail.
_PATH_CHECK_INTERVAL: Seconds = 5
# With fewer upstreams in use, unreachable ones say little of this VM's paths.
_MIN_UPSTREAMS = 4

# Bodies up to this size are sent whatever waits to be sent.
_SMALL_BODY_BYTES = 16 * 1024

_log = getLogger('upstreams')


@dataclass(slots=True)
class _PoolState:
    """The pool of an upstream and its failed connection attempts."""

    upstream: Upstream
    pool: UpstreamPool
    failures: int = 0
    # The next probe, while the upstream is unreachable.
    probe_timer: TimerHandle | None = None
    # When an idle connection that had failed was last opened again.
    path_checked_at: Instant = float('-inf')


class UpstreamPools(PoolOwner):
    """Owns the pools and forwards replies and failures to the sends' owner."""

    def __init__(
        self,
        owner: PoolOwner,
        connection_limit: Callable[[ServiceId], int],
        on_ended: Callable[[Upstream], None],
        on_connection: Callable[[Upstream, str], None],
        metrics: Metrics,
        loop: AbstractEventLoop,
        now: Callable[[], Instant],
        rng: Random | None = None,
    ) -> None:
        """Start without pools.

        `owner` receives replies and failures, and `connection_limit` returns
        the limit of each pool of a service. `on_ended` is called with an
        upstream that refuses connections, `on_connection` with the outcome of
        each attempt to connect.
        """
        self._owner = owner
        self._on_ended = on_ended
        self._on_connection = on_connection
        self._connection_limit = connection_limit
        self._metrics = metrics
        self._loop = loop
        self._now = now
        self._rng = rng or Random()
        self._probes = RepeatBound(Repeated.probe.value, DEFAULT_VM_COUNT)
        self._reconnects = RepeatBound(
            Repeated.reconnect.value, DEFAULT_VM_COUNT
        )
        self._reply_memory = ReplyMemory()
        self._state_by_id: dict[UpstreamId, _PoolState] = {}

    def close(self) -> None:
        """Close all connections."""
        for state in self._state_by_id.values():
            _cancel_probe(state)
            state.pool.close()

    def set_vm_count(self, vm_count: int) -> None:
        """Apply the number of VMs that connect to the same upstreams."""
        self._probes.set_vm_count(vm_count)
        self._reconnects.set_vm_count(vm_count)

    @property
    def opened_connections(self) -> int:
        """Number of connections opened to listed upstreams."""
        return sum(
            state.pool.opened_count for state in self._state_by_id.values()
        )

    def pool_for(self, upstream: Upstream) -> UpstreamPool:
        """Return the pool of an upstream, created on first use."""
        state = self._state_by_id.get(upstream.id)
        if state is None or state.upstream is not upstream:
            if state is not None:
                _cancel_probe(state)
                state.pool.retire()
            pool = UpstreamPool(
                upstream.id,
                upstream.record.address,
                self._connection_limit(upstream.record.service),
                self,
                self._loop,
                self._now,
                self._reply_memory,
                self._metrics.traffic,
                _peer_kind(upstream),
            )
            state = _PoolState(upstream, pool)
            self._state_by_id[upstream.id] = state
        return state.pool

    def has_room_for(self, body_size: int) -> bool:
        """Return whether requests with a body may be sent now."""
        return body_size <= _SMALL_BODY_BYTES or not self._reply_memory.is_full

    def limit_memory(self, max_bytes: int) -> None:
        """Limit what incomplete replies and unsent requests may take."""
        self._reply_memory.max_bytes = max_bytes

    def update_limits(self) -> None:
        """Apply the current connection limits to all pools."""
        for state in self._state_by_id.values():
            state.pool.limit = self._connection_limit(
                state.upstream.record.service
            )

    def preopen(self, upstreams: list[Upstream]) -> None:
        """Open a connection to each upstream that has none."""
        for upstream in upstreams[:_PREOPEN_BATCH]:
            pool = self.pool_for(upstream)
            if not pool.size and not upstream.is_replaced:
                pool.open('preopen')
        remaining = upstreams[_PREOPEN_BATCH:]
        if remaining:
            self._loop.call_later(_PREOPEN_PAUSE, self.preopen, remaining)

    def remove(self, upstream_ids: list[UpstreamId]) -> None:
        """Remove the pools of upstreams that are no longer listed."""
        for upstream_id in upstream_ids:
            state = self._state_by_id.pop(upstream_id, None)
            if state is not None:
                _cancel_probe(state)
                state.pool.retire()

    def close_expired(self) -> None:
        """Close connections that have been idle for too long to be reused."""
        for state in self._state_by_id.values():
            state.pool.close_expired()

    def on_reply(self, attempt_id: int, reply: UpstreamReply) -> None:
        """Forward a complete reply of an upstream."""
        self._owner.on_reply(attempt_id, reply)

    def on_written(self, attempt_id: int) -> None:
        """Forward that a request was written."""
        self._owner.on_written(attempt_id)

    def on_interim(self, attempt_id: int) -> None:
        """Forward an interim response."""
        self._owner.on_interim(attempt_id)

    def on_failure(self, attempt_id: int, kind: FailureKind, why: str) -> None:
        """Forward the failure of a send without a reply."""
        self._owner.on_failure(attempt_id, kind, why)

    def on_refused(self, pool: UpstreamPool) -> None:
        """Tell the owner that an upstream's process has ended."""
        state = self._state_by_id.get(pool.upstream_id)
        if state is not None and state.pool is pool:
            self._on_ended(state.upstream)

    def on_path_lost(self, pool: UpstreamPool) -> None:
        """Find out whether the upstream can still be reached.

        An upstream with too many connections resets new ones, so it is not
        asked again soon.
        """
        state = self._state_by_id.get(pool.upstream_id)
        if state is None or state.pool is not pool:
            return
        now = self._now()
        if now >= state.path_checked_at + _PATH_CHECK_INTERVAL:
            state.path_checked_at = now
            self.check(pool.upstream_id, 'path')

    def has_survived(
        self, upstream: Upstream, since: Instant, *, needs_reply: bool
    ) -> bool:
        """Return whether an upstream's process goes on since an instant."""
        state = self._state_by_id.get(upstream.id)
        if state is None or state.upstream is not upstream:
            return False
        return state.pool.has_survived(since, needs_reply=needs_reply)

    def unreachable_fraction(self) -> float:
        """Return the part of the upstreams in use that can't be reached.

        It is 0 if this VM has used too few of them to tell.
        """
        used = [
            state.upstream
            for state in self._state_by_id.values()
            if state.upstream.record.service != AGGREGATOR_SERVICE
        ]
        unreachable = sum(one.health.is_unreachable for one in used)
        if len(used) < _MIN_UPSTREAMS:
            return 0
        return unreachable / len(used)

    def check(self, upstream_id: UpstreamId, reason: str = 'check') -> None:
        """Find out whether an upstream's process has ended."""
        state = self._state_by_id.get(upstream_id)
        if state is not None and not state.pool.is_connecting:
            state.pool.open(reason)

    def on_connected(self, pool: UpstreamPool, elapsed: Seconds) -> None:
        """Record a new connection and mark its upstream as reachable."""
        self._metrics.count('connections.opened')
        self._metrics.time('connections.open-time', elapsed * _MS_PER_SECOND)
        state = self._state_by_id.get(pool.upstream_id)
        if state is None:
            return
        state.failures = 0
        self._on_connection(state.upstream, 'accepted')
        if not state.upstream.health.is_unreachable:
            return
        log_event(_log, 'upstream-reachable', upstream=pool.upstream_id)
        state.upstream.health.record_reachable()
        # Other upstreams of the failure domain may be reachable again too.
        domain = state.upstream.record.failure_domain
        for other in list(self._state_by_id.values()):
            is_related = other.upstream.record.failure_domain == domain
            if is_related and self._may_reconnect(other):
                if not self._reconnects.take(self._now()):
                    # The others have probes of their own.
                    return
                other.pool.open('domain')

    def on_unreachable(self, pool: UpstreamPool, why: str) -> None:
        """Record a failed connection attempt and schedule the next one."""
        self._metrics.count('connections.failed')
        state = self._state_by_id.get(pool.upstream_id)
        if state is None:
            return
        self._on_connection(state.upstream, why)
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
        if state.probe_timer is None:
            self._schedule_probe(state)

    def probe(self, upstream_id: UpstreamId) -> None:
        """Try to connect to an upstream that is marked as unreachable.

        What exceeds the bound on probes is left out until its next turn.
        """
        state = self._state_by_id.get(upstream_id)
        if state is None:
            return
        _cancel_probe(state)
        if not self._may_reconnect(state):
            return
        if self._probes.take(self._now()):
            state.pool.open('probe')
        else:
            self._metrics.count('connections.probes-left-out')
            self._schedule_probe(state)

    def _schedule_probe(self, state: _PoolState) -> None:
        state.probe_timer = self._loop.call_later(
            grown_wait(Repeated.probe.value, state.failures, self._rng),
            self.probe,
            state.upstream.id,
        )

    def _may_reconnect(self, state: _PoolState) -> bool:
        return (
            state.upstream.health.is_unreachable
            and not state.pool.is_connecting
        )


def _cancel_probe(state: _PoolState) -> None:
    if state.probe_timer is not None:
        state.probe_timer.cancel()
        state.probe_timer = None


def _peer_kind(upstream: Upstream) -> str:
    is_vm = upstream.record.service == AGGREGATOR_SERVICE
    return 'vm' if is_vm else 'upstream'
