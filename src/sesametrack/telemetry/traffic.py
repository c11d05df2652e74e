"""Bytes, messages and connections of this VM, by kind of traffic.

Each exchange is counted where it begins: the VM that connects counts both
directions of a connection, and the sender of a datagram counts that.
"""

from collections import Counter
from collections.abc import Callable
from logging import getLogger

from sesametrack.contracts.types import Instant, Seconds
from sesametrack.telemetry.structured_log import log_event

_LOG_INTERVAL: Seconds = 5

_log = getLogger('traffic')


class Traffic:
    """Counts traffic; `report` publishes the counts as metrics and logs."""

    def __init__(self, count: Callable[[str, int], None]) -> None:
        """Start at zero; `count` adds an amount to a metric."""
        self._count = count
        # Since the last report.
        self._messages: Counter[str] = Counter()
        self._sent_bytes: Counter[str] = Counter()
        self._received_bytes: Counter[str] = Counter()
        self._connections: Counter[str] = Counter()
        # Since the last log entry.
        self._logged: dict[str, Counter[str]] = {}
        self._logged_at: Instant | None = None

    def record_sent(self, kind: str, size: int) -> None:
        """Count a message of a number of bytes."""
        self._messages[kind] += 1
        self._sent_bytes[kind] += size

    def record_received(self, kind: str, size: int) -> None:
        """Count bytes that were received in reply."""
        self._received_bytes[kind] += size

    def record_connection(self, kind: str, outcome: str) -> None:
        """Count an attempt to connect, or an event of an open connection."""
        self._connections[f'{kind}-{outcome}'] += 1

    def report(self, now: Instant) -> None:
        """Publish the counts, and log their sums once in some seconds."""
        for name, counter in (
            ('messages', self._messages),
            ('sent-bytes', self._sent_bytes),
            ('received-bytes', self._received_bytes),
            ('connections', self._connections),
        ):
            for kind, amount in counter.items():
                self._count(f'traffic.{name}.{kind}', amount)
            self._logged.setdefault(name, Counter()).update(counter)
            counter.clear()
        if self._logged_at is None:
            self._logged_at = now
        if now < self._logged_at + _LOG_INTERVAL:
            return
        totals = {
            name.replace('-', '_'): dict(counter)
            for name, counter in self._logged.items()
            if counter
        }
        if totals:
            log_event(
                _log, 'traffic', for_s=round(now - self._logged_at, 1), **totals
            )
        self._logged = {}
        self._logged_at = now
