"""Learned service times of one upstream."""

from math import exp

from sesametrack.contracts.types import Instant, Seconds, ServiceId

_WEIGHT = 0.1
_INITIAL: Seconds = 0.02
_MIN_REFERENCE: Seconds = 0.002
# The reference rises by at most this share a second, so that an upstream
# gone cold is not taken for one that is just slower now.
_RISE_PER_SECOND = 0.05
_SAMPLES_TO_TRUST = 8
# An upstream that has answered this many times slower for this long is taken
# to be slower now: a cold start does not last so long at one request in flight.
_SLOWER = 1.5
_ACCEPT_AFTER: Seconds = 5


class ServiceTime:
    """Response times of an upstream: the present mean, and a reference.

    The reference follows a falling mean at once and a rising one slowly. It
    is what the upstream does when it is warm, as far as is known.
    """

    def __init__(self, now: Instant, initial: Seconds = _INITIAL) -> None:
        """Begin with a guess, in seconds, that the first samples replace."""
        self.mean = initial
        self._reference: Seconds | None = None
        self._samples = 0
        self._referred_at = now
        self._slow_since = now

    @property
    def is_trusted(self) -> bool:
        """Tell whether there are enough samples to judge a response by."""
        return self._reference is not None

    @property
    def reference(self) -> Seconds:
        """What a response takes when the upstream is warm."""
        known = self.mean if self._reference is None else self._reference
        return max(known, _MIN_REFERENCE)

    def restore(self, mean: Seconds) -> None:
        """Take over the mean of a former gate."""
        self.mean = mean
        self._reference = mean
        self._samples = _SAMPLES_TO_TRUST

    def record(self, elapsed: Seconds, now: Instant) -> None:
        """Take one response time in."""
        self._samples += 1
        weight = max(_WEIGHT, 1 / self._samples)
        self.mean += weight * (elapsed - self.mean)
        if self._samples < _SAMPLES_TO_TRUST:
            return
        if self._reference is None:
            self._reference = self.mean
        if self.mean <= _SLOWER * self._reference:
            self._slow_since = now
        elif now - self._slow_since > _ACCEPT_AFTER:
            self._reference = self.mean
        rise = exp(_RISE_PER_SECOND * (now - self._referred_at))
        self._reference = min(self.mean, self._reference * rise)
        self._referred_at = now


class ReferenceServiceTimes:
    """References of all upstreams of each service at one gate.

    An upstream that a gate has just taken over may be cold, so that its own
    first responses say little; what its siblings do is the better guide.
    """

    def __init__(self) -> None:
        """Start with nothing known."""
        self._lowest_by_service: dict[ServiceId, Seconds] = {}

    def record(self, service: ServiceId, reference: Seconds) -> None:
        """Note the reference of one upstream of a service."""
        known = self._lowest_by_service.get(service, reference)
        self._lowest_by_service[service] = min(known, reference)

    def lowest(self, service: ServiceId) -> Seconds | None:
        """Return the lowest reference known for a service, or None."""
        return self._lowest_by_service.get(service)
