"""Adaptive concurrency limit of one upstream, set by its response times."""

from sesametrack.contracts.types import Instant, Seconds, ServiceId
from sesametrack.upstreams.latency import ReferenceServiceTimes, ServiceTime
from sesametrack.upstreams.window import ConcurrencyWindow

# A response is slow above this multiple of the reference. An upstream without
# a reference of its own is compared with the service's other upstreams, with
# a larger tolerance.
_SLOW_FACTOR = 2.5
_SLOW_FACTOR_OF_SERVICE = 5
_MIN_SLOW_THRESHOLD: Seconds = 0.01
# A single slow response may be a straggler; two in a row indicate a cold
# upstream.
_SLOW_RESPONSES_TO_SHRINK = 2


class AdaptiveConcurrency:
    """Adjusts the concurrency window of one upstream to response times."""

    def __init__(
        self,
        service: ServiceId,
        slots: int,
        reference_times: ReferenceServiceTimes,
        now: Instant,
        *,
        is_adaptive: bool,
    ) -> None:
        """Start at one request, or at all slots if not adaptive."""
        self.window = ConcurrencyWindow(slots, now, is_adaptive=is_adaptive)
        self.service_time = ServiceTime(now)
        self._service = service
        self._reference_times = reference_times
        self._slow_responses = 0

    def restore(self, size: int, mean: Seconds) -> None:
        """Restore window size and mean service time from a previous gate."""
        self.window.restore(size)
        self.service_time.restore(mean)

    def record_response_time(
        self, elapsed: Seconds, now: Instant, *, is_counted: bool
    ) -> None:
        """Record a response time; `is_counted` if already counted as slow."""
        is_slow = elapsed > self.slow_threshold
        self.service_time.record(elapsed, now)
        if self.service_time.has_reference:
            reference = self.service_time.reference
            self._reference_times.record(self._service, reference)
        if not is_slow:
            self._slow_responses = 0
            self.window.record_success(now)
        elif not is_counted:
            self.record_slow_response(now)

    def record_slow_response(self, now: Instant) -> None:
        """Count a response, or a wait for one, above the slow threshold."""
        self._slow_responses += 1
        if self._slow_responses >= _SLOW_RESPONSES_TO_SHRINK:
            self.window.record_failure(now)

    @property
    def slow_threshold(self) -> Seconds:
        """Response time above which a response counts as slow."""
        if self.service_time.has_reference:
            limit = _SLOW_FACTOR * self.service_time.reference
            return max(_MIN_SLOW_THRESHOLD, limit)
        service_reference = self._reference_times.lowest(self._service)
        if service_reference is None:
            return float('inf')
        return max(
            _MIN_SLOW_THRESHOLD, _SLOW_FACTOR_OF_SERVICE * service_reference
        )
