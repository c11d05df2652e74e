"""Learned service times of one upstream."""

from sesametrack.contracts.types import Seconds

_WEIGHT = 0.1
_INITIAL: Seconds = 0.02
_MIN_REFERENCE: Seconds = 0.002


class ServiceTime:
    """Exponentially weighted mean of an upstream's response times."""

    def __init__(self, initial: Seconds = _INITIAL) -> None:
        """Begin with a guess, in seconds, that the first samples replace."""
        self.mean = initial
        self.samples = 0

    def record(self, elapsed: Seconds) -> None:
        """Take one response time into the mean."""
        self.samples += 1
        weight = max(_WEIGHT, 1 / self.samples)
        self.mean += weight * (elapsed - self.mean)

    @property
    def reference(self) -> Seconds:
        """The mean, kept away from zero so that ratios make sense."""
        return max(self.mean, _MIN_REFERENCE)
