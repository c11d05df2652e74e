"""Metrics, sent to statsd and rendered for the admin endpoint."""

from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from sesametrack.contracts.settings import split_address
from sesametrack.contracts.types import Address, Milliseconds
from sesametrack.telemetry.traffic import Traffic

_MAX_TIME_US = 60_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_MS = 1000
_PERCENTILES = (50, 90, 99, 99.9)


class Metrics:
    """Counters, timings and gauges.

    All are kept in memory as well, for the admin endpoint. Names are listed
    in `docs/operations/metrics.md`.
    """

    def __init__(self, address: Address | None, prefix: str) -> None:
        """Send to statsd at the address; without one, only keep in memory."""
        self._client = None
        if address is not None:
            host, port = split_address(address)
            self._client = StatsClient(host, port, prefix=prefix)
        self.traffic = Traffic(self.count)
        self.count_by_name: dict[str, int] = {}
        self.gauge_by_name: dict[str, float] = {}
        self._histogram_by_name: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add an amount to a counter."""
        total = self.count_by_name.get(name, 0)
        self.count_by_name[name] = total + amount
        if self._client is not None:
            self._client.incr(name, amount)

    def time(self, name: str, elapsed: Milliseconds) -> None:
        """Record an elapsed time in milliseconds."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = HdrHistogram(1, _MAX_TIME_US, _SIGNIFICANT_DIGITS)
            self._histogram_by_name[name] = histogram
        elapsed_us = max(1, int(elapsed * _US_PER_MS))
        histogram.record_value(min(elapsed_us, _MAX_TIME_US))
        if self._client is not None:
            self._client.timing(name, elapsed)

    def gauge(self, name: str, value: float) -> None:
        """Set the value of a gauge."""
        self.gauge_by_name[name] = value
        if self._client is not None:
            self._client.gauge(name, value)

    def render(self) -> str:
        """Return all metrics as text, one per line."""
        lines = [
            f'{_to_page_name(name)}_total {total}'
            for name, total in sorted(self.count_by_name.items())
        ]
        lines.extend(
            f'{_to_page_name(name)} {value:g}'
            for name, value in sorted(self.gauge_by_name.items())
        )
        for name, histogram in sorted(self._histogram_by_name.items()):
            metric = f'{_to_page_name(name)}_ms'
            for percentile in _PERCENTILES:
                value_us = histogram.get_value_at_percentile(percentile)
                quantile = percentile / 100
                lines.append(
                    f'{metric}{{quantile="{quantile:g}"}} '
                    f'{value_us / _US_PER_MS:g}'
                )
            lines.append(f'{metric}_count {histogram.get_total_count()}')
        return '\n'.join(lines) + '\n'


def _to_page_name(name: str) -> str:
    return name.replace('.', '_').replace('-', '_')
