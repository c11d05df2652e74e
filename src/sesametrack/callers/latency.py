"""Learned quantiles of the sub-query latency of a service."""

from hdrh.histogram import HdrHistogram

from sesametrack.contracts.types import Instant, Seconds

_LOWEST_US = 1
_HIGHEST_US = 60_000_000
_DIGITS = 2
_US = 1_000_000
_WINDOW: Seconds = 10
_REFRESH: Seconds = 0.25
_MIN_SAMPLES = 50


class LatencyQuantile:
    """A quantile over the last two windows of samples."""

    def __init__(self, percentile: float, initial: Seconds) -> None:
        """Answer `initial` until enough samples are there."""
        self._percentile = percentile
        self._initial = initial
        self._current = _new_histogram()
        self._previous = _new_histogram()
        self._window_ends: Instant = 0
        self._cached = initial
        self._cached_until: Instant = 0

    def record(self, elapsed: Seconds, now: Instant) -> None:
        """Add one sample."""
        if now >= self._window_ends:
            self._previous, self._current = self._current, self._previous
            self._current.reset()
            self._window_ends = now + _WINDOW
        microseconds = max(_LOWEST_US, int(elapsed * _US))
        self._current.record_value(min(microseconds, _HIGHEST_US))

    def current(self, now: Instant) -> Seconds:
        """Return the quantile; it is computed anew a few times a second."""
        if now >= self._cached_until:
            self._cached_until = now + _REFRESH
            self._cached = self._compute()
        return self._cached

    def _compute(self) -> Seconds:
        values = [
            histogram.get_value_at_percentile(self._percentile) / _US
            for histogram in (self._current, self._previous)
            if histogram.get_total_count() >= _MIN_SAMPLES
        ]
        return max(values) if values else self._initial


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
