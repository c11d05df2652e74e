"""Concurrency window of one upstream, with slow start."""

from sesametrack.contracts.types import Instant, Seconds

_FLOOR = 1
# Successes within budget that widen the window by one request.
_SUCCESSES_PER_STEP = 4
# A window is not widened twice within this time, so that an upstream that
# has just begun to warm up is not judged by a burst of easy requests.
_STEP_PAUSE: Seconds = 0.15
_FAILURE_PAUSE: Seconds = 0.5


class ConcurrencyWindow:
    """Number of requests that an upstream may have in flight.

    The window starts at one, grows by one after several successes within
    the latency budget, and returns to one on shedding, errors and latency
    jumps. It never exceeds the slots of the inventory.
    """

    def __init__(self, slots: int, now: Instant, *, is_adaptive: bool) -> None:
        """Start at the floor, or at all slots where nothing is learned."""
        self._slots = slots
        self._is_adaptive = is_adaptive
        self._successes = 0
        self._hold_until = now
        self.size = _FLOOR if is_adaptive else slots

    @property
    def is_full_size(self) -> bool:
        """Tell whether the upstream is trusted with all its slots."""
        return self.size >= self._slots

    def restore(self, size: int) -> None:
        """Take over the size that a former gate had learned."""
        self.size = max(_FLOOR, min(size, self._slots))

    def record_success(self, now: Instant) -> None:
        """Count a response within budget, and widen when enough came."""
        if self.is_full_size or now < self._hold_until:
            return
        self._successes += 1
        if self._successes < _SUCCESSES_PER_STEP:
            return
        self._successes = 0
        self._hold_until = now + _STEP_PAUSE
        self.size += 1

    def record_failure(self, now: Instant) -> None:
        """Fall back to the floor after shedding, an error or a jump."""
        if not self._is_adaptive:
            return
        self.size = _FLOOR
        self._successes = 0
        self._hold_until = now + _FAILURE_PAUSE
