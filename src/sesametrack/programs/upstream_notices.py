"""Records what upstreams say of themselves in their replies."""

from logging import getLogger

from sesametrack.contracts.types import Instant
from sesametrack.links.upstream_pool import UpstreamPool
from sesametrack.routing.directory import Upstream
from sesametrack.routing.events import UpstreamReply
from sesametrack.telemetry.metrics import Metrics
from sesametrack.telemetry.structured_log import log_event

_log = getLogger('forwarder')


class UpstreamNotices:
    """Notices of upstreams that leave or want no request for a while."""

    def __init__(self, metrics: Metrics) -> None:
        """Set where notices are counted."""
        self._metrics = metrics

    def record(
        self,
        upstream: Upstream,
        pool: UpstreamPool,
        reply: UpstreamReply,
        now: Instant,
    ) -> None:
        """Record the notices of a reply.

        Requests that wait in the upstream's pool end, and go elsewhere.
        """
        if reply.pause:
            upstream.health.record_pause(reply.pause, now)
            self._metrics.count('upstreams.pauses')
            self._log('upstream-paused', upstream, pause_s=reply.pause)
        if reply.is_leaving and not upstream.is_leaving:
            upstream.record_leaving(now)
            self._metrics.count('upstreams.leaving')
            self._log('upstream-leaving', upstream)
        if reply.pause or reply.is_leaving:
            pool.withdraw_waiting()

    def _log(self, event: str, upstream: Upstream, **details: float) -> None:
        log_event(
            _log,
            event,
            upstream=upstream.id,
            service=upstream.record.service,
            **details,
        )
