"""Concurrency window of one upstream, with slow start."""

from sesametrack.contracts.types import Instant, Seconds

_MIN_SIZE = 1
# Successes within the latency budget that widen the window by one request.
_SUCCESSES_PER_STEP = 4
# Minimum time between two steps, so that a burst of inexpensive requests
# does not widen the window of an upstream that is still warming up.
_MIN_STEP_INTERVAL: Seconds = 0.15
_HOLD_AFTER_FAILURE: Seconds = 0.5


class ConcurrencyWindow:
    """Number of requests that an upstream may have in flight.

    The window starts at one, grows by one after several successes within
    the latency budget, and shrinks to one on load shedding, errors and slow
    responses. It never exceeds the upstream's slots in the inventory.
    """

    def __init__(self, slots: int, now: Instant, *, is_adaptive: bool) -> None:
        """Start at one request, or at all slots if not adaptive."""
        self._slots = slots
        self._is_adaptive = is_adaptive
        self._successes = 0
        self._hold_until = now
        self.size = _MIN_SIZE if is_adaptive else slots

    @property
    def is_full_size(self) -> bool:
        """Return whether the window covers all slots of the upstream."""
        return self.size >= self._slots

    def restore(self, size: int) -> None:
        """Restore the window size of the previous gate."""
        self.size = max(_MIN_SIZE, min(size, self._slots))

    def record_success(self, now: Instant) -> None:
        """Count a success, and widen the window after enough of them."""
        if self.is_full_size or now < self._hold_until:
            return
        self._successes += 1
        if self._successes < _SUCCESSES_PER_STEP:
            return
        self._successes = 0
        self._hold_until = now + _MIN_STEP_INTERVAL
        self.size += 1

    def record_failure(self, now: Instant) -> None:
        """Shrink to one request after shedding, an error or slow responses."""
        if not self._is_adaptive:
            return
        self.size = _MIN_SIZE
        self._successes = 0
        self._hold_until = now + _HOLD_AFTER_FAILURE
