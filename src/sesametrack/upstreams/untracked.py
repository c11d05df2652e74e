"""Work at an upstream that this gate does not have in flight itself."""

from collections import deque

from sesametrack.contracts.types import Instant, Seconds

# Load reports lag by up to this time; own work inside it is not foreign.
_REPORT_LAG: Seconds = 1
_FOREIGN_HOLD: Seconds = 2


class ForeignWork:
    """Counts other gates' requests and own requests that were given up."""

    def __init__(self) -> None:
        """Start with nothing known."""
        self.count = 0
        self._counted_at: Instant = 0
        self._own: deque[tuple[Instant, int]] = deque()
        self._ghosts: deque[Instant] = deque()

    @property
    def ghosts(self) -> int:
        """Requests given up that the upstream may still be running."""
        return len(self._ghosts)

    def add_ghost(self, now: Instant, hold: Seconds) -> None:
        """Let a request that was given up hold its slot for a time."""
        self._ghosts.append(now + hold)

    def record_own(self, in_flight: int, now: Instant) -> None:
        """Note the number of own requests, and let old entries expire."""
        if not self._own or self._own[-1][1] != in_flight:
            self._own.append((now, in_flight))
        while len(self._own) > 1 and self._own[1][0] < now - _REPORT_LAG:
            self._own.popleft()
        while self._ghosts and self._ghosts[0] <= now:
            self._ghosts.popleft()
        if self.count and now > self._counted_at + _FOREIGN_HOLD:
            self.count = 0

    def record_report(self, in_flight: int, now: Instant) -> None:
        """Take a load report; what own work cannot explain is foreign."""
        own = max((known for _, known in self._own), default=0)
        self.count = max(0, in_flight - own - len(self._ghosts))
        self._counted_at = now
