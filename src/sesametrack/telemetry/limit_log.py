"""Counts how often limits act, and logs them once a second at most."""

from collections import Counter
from collections.abc import Callable
from logging import getLogger

from sesametrack.contracts.types import Instant, Seconds
from sesametrack.telemetry.metrics import Metrics
from sesametrack.telemetry.structured_log import log_event

_INTERVAL: Seconds = 1
_WARNING = 30
_log = getLogger('limits')


class LimitLog:
    """Metrics count each time that a limit acts; lines hold the sums."""

    def __init__(self, metrics: Metrics, now: Callable[[], Instant]) -> None:
        """Start with nothing to log."""
        self._metrics = metrics
        self._now = now
        self._count_by_limit: Counter[str] = Counter()
        self._logged_at: Instant = float('-inf')

    def record(self, limit: str) -> None:
        """Count that a limit has acted."""
        self._metrics.count(f'limits.{limit}')
        self._count_by_limit[limit] += 1
        self.flush()

    def record_status(self, status: int) -> None:
        """Count a request that was rejected while it was read."""
        self._metrics.count(f'requests.refused-{status}')
        self.record(f'status-{status}')

    def flush(self) -> None:
        """Log what has been counted, unless a line is too recent."""
        now = self._now()
        if self._count_by_limit and now >= self._logged_at + _INTERVAL:
            counts = dict(self._count_by_limit)
            self._count_by_limit.clear()
            self._logged_at = now
            log_event(_log, 'limits-reached', _WARNING, limits=counts)
