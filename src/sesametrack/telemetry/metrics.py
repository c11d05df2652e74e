"""Metrics sent by the statsd protocol."""

from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from sesametrack.contracts.settings import split_address
from sesametrack.contracts.types import Address, Milliseconds

_HIGHEST_US = 60_000_000
_DIGITS = 2
_US_PER_MS = 1000
_PERCENTILES = (50, 90, 99, 99.9)


class Metrics:
    """Counts and timings; also kept in memory for the admin endpoint.

    Names are listed in `docs/operations/metrics.md`.
    """

    def __init__(self, address: Address | None, prefix: str) -> None:
        """Send to a statsd address, or only count where there is none."""
        self._client = None
        if address is not None:
            host, port = split_address(address)
            self._client = StatsClient(host, port, prefix=prefix)
        self.count_by_name: dict[str, int] = {}
        self.level_by_name: dict[str, float] = {}
        self._histogram_by_name: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        total = self.count_by_name.get(name, 0)
        self.count_by_name[name] = total + amount
        if self._client is not None:
            self._client.incr(name, amount)

    def time(self, name: str, elapsed: Milliseconds) -> None:
        """Record a time in milliseconds."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = HdrHistogram(1, _HIGHEST_US, _DIGITS)
            self._histogram_by_name[name] = histogram
        elapsed_us = max(1, int(elapsed * _US_PER_MS))
        histogram.record_value(min(elapsed_us, _HIGHEST_US))
        if self._client is not None:
            self._client.timing(name, elapsed)

    def gauge(self, name: str, level: float) -> None:
        """Set a level."""
        self.level_by_name[name] = level
        if self._client is not None:
            self._client.gauge(name, level)

    def render(self) -> str:
        """Return all figures as text, one a line."""
        lines = [
            f'{_plain(name)}_total {total}'
            for name, total in sorted(self.count_by_name.items())
        ]
        lines.extend(
            f'{_plain(name)} {level:g}'
            for name, level in sorted(self.level_by_name.items())
        )
        for name, histogram in sorted(self._histogram_by_name.items()):
            metric = f'{_plain(name)}_ms'
            for percentile in _PERCENTILES:
                at_us = histogram.get_value_at_percentile(percentile)
                quantile = percentile / 100
                lines.append(
                    f'{metric}{{quantile="{quantile:g}"}} '
                    f'{at_us / _US_PER_MS:g}'
                )
            lines.append(f'{metric}_count {histogram.get_total_count()}')
        return '\n'.join(lines) + '\n'


def _plain(name: str) -> str:
    return name.replace('.', '_').replace('-', '_')
