"""Measured service times of upstreams."""

from math import exp

from sesametrack.contracts.types import Instant, Seconds, ServiceId

_EWMA_WEIGHT = 0.1
_INITIAL_MEAN: Seconds = 0.02
_MIN_REFERENCE: Seconds = 0.002
# Limits how fast the reference follows a rising mean, so that the response
# times of a cold upstream do not become the reference.
_MAX_RISE_PER_SECOND = 0.05
_MIN_SAMPLES = 8
# A mean above this multiple of the reference for longer than the time below
# becomes the new reference: a cold start with one request in flight is over
# sooner, so the upstream itself has become slower.
_SLOWDOWN_FACTOR = 1.5
_SLOWDOWN_ACCEPT_TIME: Seconds = 5


class ServiceTime:
    """Response times of an upstream: a moving average and a reference.

    The reference estimates the response time of the warm upstream. It
    follows a falling mean at once and a rising mean slowly.
    """

    def __init__(self, now: Instant, initial: Seconds = _INITIAL_MEAN) -> None:
        """Start with an `initial` mean, which the first sample replaces."""
        self.mean = initial
        self._reference: Seconds | None = None
        self._samples = 0
        self._reference_updated_at = now
        self._slowdown_since = now

    @property
    def has_reference(self) -> bool:
        """Return whether there were enough samples for a reference."""
        return self._reference is not None

    @property
    def reference(self) -> Seconds:
        """Expected response time of the warm upstream."""
        known = self.mean if self._reference is None else self._reference
        return max(known, _MIN_REFERENCE)

    def restore(self, mean: Seconds) -> None:
        """Restore the mean measured by the previous gate."""
        self.mean = mean
        self._reference = mean
        self._samples = _MIN_SAMPLES

    def record(self, elapsed: Seconds, now: Instant) -> None:
        """Record one response time."""
        self._samples += 1
        weight = max(_EWMA_WEIGHT, 1 / self._samples)
        self.mean += weight * (elapsed - self.mean)
        if self._samples < _MIN_SAMPLES:
            return
        if self._reference is None:
            self._reference = self.mean
        if self.mean <= _SLOWDOWN_FACTOR * self._reference:
            self._slowdown_since = now
        elif now - self._slowdown_since > _SLOWDOWN_ACCEPT_TIME:
            self._reference = self.mean
        rise = exp(_MAX_RISE_PER_SECOND * (now - self._reference_updated_at))
        self._reference = min(self.mean, self._reference * rise)
        self._reference_updated_at = now


class ReferenceServiceTimes:
    """Lowest reference service time of each service at one gate.

    An upstream that the gate has just taken over may be cold, so its first
    responses say little; the service's other upstreams give a better reference.
    """

    def __init__(self) -> None:
        """Create an empty collection."""
        self._lowest_by_service: dict[ServiceId, Seconds] = {}

    def record(self, service: ServiceId, reference: Seconds) -> None:
        """Record the reference of one upstream of a service."""
        known = self._lowest_by_service.get(service, reference)
        self._lowest_by_service[service] = min(known, reference)

    def lowest(self, service: ServiceId) -> Seconds | None:
        """Return the lowest recorded reference of a service, or None."""
        return self._lowest_by_service.get(service)
