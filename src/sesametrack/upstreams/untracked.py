"""Requests that an upstream may be running but this gate does not track."""

from collections import deque

from sesametrack.contracts.types import Instant, Seconds

# A load report may be this old, so it is compared with the largest number of
# own requests in flight during this time.
_MAX_REPORT_LAG: Seconds = 1
_REPORT_LIFETIME: Seconds = 2


class UntrackedRequests:
    """Counts requests of other gates and abandoned requests of this gate."""

    def __init__(self) -> None:
        """Create empty counts."""
        self.external_count = 0
        self._reported_at: Instant = 0
        self._own_history: deque[tuple[Instant, int]] = deque()
        self._abandoned_until: deque[Instant] = deque()

    @property
    def abandoned_count(self) -> int:
        """Number of abandoned requests that may still be running."""
        return len(self._abandoned_until)

    def add_abandoned(self, now: Instant, hold: Seconds) -> None:
        """Reserve a slot for an abandoned request for `hold` seconds."""
        self._abandoned_until.append(now + hold)

    def record_in_flight(self, in_flight: int, now: Instant) -> None:
        """Record the requests in flight at this gate; drop expired entries."""
        if not self._own_history or self._own_history[-1][1] != in_flight:
            self._own_history.append((now, in_flight))
        while (
            len(self._own_history) > 1
            and self._own_history[1][0] < now - _MAX_REPORT_LAG
        ):
            self._own_history.popleft()
        while self._abandoned_until and self._abandoned_until[0] <= now:
            self._abandoned_until.popleft()
        if self.external_count and now > self._reported_at + _REPORT_LIFETIME:
            self.external_count = 0

    def record_report(self, in_flight: int, now: Instant) -> None:
        """Count the reported requests that do not belong to this gate."""
        own = max((own_count for _, own_count in self._own_history), default=0)
        self.external_count = max(
            0, in_flight - own - len(self._abandoned_until)
        )
        self._reported_at = now
