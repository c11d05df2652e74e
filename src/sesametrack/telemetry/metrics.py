"""Metrics sent by the statsd protocol."""

from statsd import StatsClient

from sesametrack.contracts.settings import split_address
from sesametrack.contracts.types import Address, Milliseconds


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

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        total = self.count_by_name.get(name, 0)
        self.count_by_name[name] = total + amount
        if self._client is not None:
            self._client.incr(name, amount)

    def time(self, name: str, elapsed: Milliseconds) -> None:
        """Record a time in milliseconds."""
        if self._client is not None:
            self._client.timing(name, elapsed)

    def gauge(self, name: str, level: float) -> None:
        """Set a level."""
        if self._client is not None:
            self._client.gauge(name, level)
