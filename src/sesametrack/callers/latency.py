"""Latency quantiles over a sliding window."""

from hdrh.histogram import HdrHistogram

from sesametrack.contracts.types import Instant, Seconds

_LOWEST_US = 1
_HIGHEST_US = 60_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_SECOND = 1_000_000
_WINDOW: Seconds = 10
_REFRESH_INTERVAL: Seconds = 0.25
_MIN_SAMPLES = 50


class LatencyQuantile:
    """The higher quantile of the current and the previous sample window."""

    def __init__(self, percentile: float, initial: Seconds) -> None:
        """Use `initial` as the quantile until there are enough samples."""
        self._percentile = percentile
        self._initial = initial
        self._current = _new_histogram()
        self._previous = _new_histogram()
        self._window_end: Instant = 0
        self._cached = initial
        self._cached_until: Instant = 0

    def record(self, elapsed: Seconds, now: Instant) -> None:
        """Add a latency sample."""
        if now >= self._window_end:
            self._previous, self._current = self._current, self._previous
            self._current.reset()
            self._window_end = now + _WINDOW
        microseconds = max(_LOWEST_US, int(elapsed * _US_PER_SECOND))
        self._current.record_value(min(microseconds, _HIGHEST_US))

    def current(self, now: Instant) -> Seconds:
        """Return the quantile, recomputed a few times a second."""
        if now >= self._cached_until:
            self._cached_until = now + _REFRESH_INTERVAL
            self._cached = self._compute()
        return self._cached

    def _compute(self) -> Seconds:
        values = [
            histogram.get_value_at_percentile(self._percentile) / _US_PER_SECOND
            for histogram in (self._current, self._previous)
            if histogram.get_total_count() >= _MIN_SAMPLES
        ]
        return max(values) if values else self._initial


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
