"""Logs and metrics on upstreams that limit their request rate."""

from collections import Counter
from logging import getLogger

from sesametrack.contracts.types import Instant, UpstreamId
from sesametrack.routing.directory import Upstream
from sesametrack.routing.rate_limits import StatedRate
from sesametrack.telemetry.metrics import Metrics
from sesametrack.telemetry.structured_log import log_event

_WARNING = 30

_log = getLogger('limits')


class LimitReports:
    """Reports what this VM hears of limits, and what it sends under them."""

    def __init__(self, metrics: Metrics) -> None:
        """Start without any limited upstream."""
        self._metrics = metrics
        self._sends_by_upstream: dict[UpstreamId, Counter[str]] = {}
        self._unreadable_by_upstream: dict[UpstreamId, str] = {}

    def record_reply(
        self,
        upstream: Upstream,
        stated: StatedRate,
        sent_at: Instant,
        now: Instant,
    ) -> None:
        """Apply what a reply states, and log a change of the limit."""
        if stated.unreadable:
            self._report_unreadable(upstream, stated.unreadable)
            return
        before = upstream.rate_limit.per_s
        if upstream.rate_limit.record_reply(stated.per_s, sent_at, now):
            self.report_change(upstream, before, 'own-reply')

    def report_change(
        self, upstream: Upstream, before: float | None, source: str
    ) -> None:
        """Log a limit that was set, changed or ended."""
        limit = upstream.rate_limit.per_s
        event = 'limit-ended' if limit is None else 'limit-heard'
        self._metrics.count(f'limits.{event}')
        log_event(
            _log,
            event,
            upstream=upstream.id,
            service=upstream.record.service,
            per_s=limit,
            before=before,
            source=source,
        )

    def record_send(self, upstream: Upstream, reason: str) -> None:
        """Count a send to an upstream that has a limit."""
        if upstream.rate_limit.per_s is None:
            return
        self._metrics.count('limits.sends')
        self._sends_by_upstream.setdefault(upstream.id, Counter())[reason] += 1

    def flush(self) -> None:
        """Log the sends to limited upstreams since the last call."""
        sends, self._sends_by_upstream = self._sends_by_upstream, {}
        if sends:
            log_event(
                _log,
                'limited-sends',
                sends={
                    upstream_id: dict(by_reason)
                    for upstream_id, by_reason in sends.items()
                },
            )

    def _report_unreadable(self, upstream: Upstream, text: str) -> None:
        self._metrics.count('limits.unreadable')
        if self._unreadable_by_upstream.get(upstream.id) == text:
            return
        self._unreadable_by_upstream[upstream.id] = text
        log_event(
            _log,
            'limit-unreadable',
            _WARNING,
            upstream=upstream.id,
            service=upstream.record.service,
            text=text,
        )
