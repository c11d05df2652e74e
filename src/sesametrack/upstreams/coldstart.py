"""How much an upstream is trusted with, learned from its responses."""

from sesametrack.contracts.types import Instant, Seconds, ServiceId
from sesametrack.upstreams.latency import ReferenceServiceTimes, ServiceTime
from sesametrack.upstreams.window import ConcurrencyWindow

# A response this many times slower than the reference is a latency jump; an
# upstream that is new to this gate is judged by its siblings, more widely.
_JUMP_FACTOR = 2.5
_JUMP_FACTOR_OF_SIBLINGS = 5
_MIN_JUMP: Seconds = 0.01
# One slow request is a straggler; two in a row are a cold upstream.
_JUMPS_TO_SHRINK = 2


class ColdStart:
    """The concurrency window of one upstream, driven by response times."""

    def __init__(
        self,
        service: ServiceId,
        slots: int,
        references: ReferenceServiceTimes,
        now: Instant,
        *,
        is_adaptive: bool,
    ) -> None:
        """Start at one request, or at all slots where nothing is learned."""
        self.window = ConcurrencyWindow(slots, now, is_adaptive=is_adaptive)
        self.service_time = ServiceTime(now)
        self._service = service
        self._references = references
        self._jumps = 0

    def restore(self, size: int, mean: Seconds) -> None:
        """Take over what a former gate had learned."""
        self.window.restore(size)
        self.service_time.restore(mean)

    def record_answer(
        self, elapsed: Seconds, now: Instant, *, is_counted: bool
    ) -> None:
        """Learn from an answer; `is_counted` if its lateness was noted."""
        is_jump = elapsed > self.jump_limit
        self.service_time.record(elapsed, now)
        if self.service_time.is_trusted:
            reference = self.service_time.reference
            self._references.record(self._service, reference)
        if not is_jump:
            self._jumps = 0
            self.window.record_success(now)
        elif not is_counted:
            self.record_jump(now)

    def record_jump(self, now: Instant) -> None:
        """Note a response, or a wait for one, above the jump limit."""
        self._jumps += 1
        if self._jumps >= _JUMPS_TO_SHRINK:
            self.window.record_failure(now)

    @property
    def jump_limit(self) -> Seconds:
        """The time above which a response is a latency jump."""
        if self.service_time.is_trusted:
            limit = _JUMP_FACTOR * self.service_time.reference
            return max(_MIN_JUMP, limit)
        siblings = self._references.lowest(self._service)
        if siblings is None:
            return float('inf')
        return max(_MIN_JUMP, _JUMP_FACTOR_OF_SIBLINGS * siblings)
