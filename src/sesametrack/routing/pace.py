"""Whether this VM is slow at present, from the time that its own work takes."""

from collections import deque
from dataclasses import dataclass, field

from sesametrack.contracts.types import Instant, Seconds

# A VM is slow while most of its latest samples exceed the reference by this
# factor. One alone may be a pause.
_SLOW_FACTOR = 2.5
_SAMPLES = 3
_SLOW_SAMPLES = 2
# Older samples say nothing about the present.
_MAX_AGE: Seconds = 1.5
# A slow VM still takes work this often, to notice that it is fast again.
_PROBE_INTERVAL: Seconds = 0.7
# The reference follows faster work at once, and slower work by this fraction
# of itself per second, so that other work than before becomes normal.
_REFERENCE_RISE = 0.02
# Fewer sends in one go take too short a time to be measured.
MIN_SENDS = 4


@dataclass(slots=True)
class WorkPace:
    """Time that this VM takes for a send, compared with its usual time.

    The VM's processor may be shared, throttled or failing. Its own work then
    takes several times as long, whatever the load is: waiting for others is
    not part of it.
    """

    _reference: Seconds | None = None
    _referenced_at: Instant = 0
    _samples: deque = field(default_factory=lambda: deque(maxlen=_SAMPLES))

    def record(self, elapsed: Seconds, sends: int, now: Instant) -> None:
        """Record how long it took to prepare and write some sends."""
        if sends < MIN_SENDS:
            return
        sample = elapsed / sends
        if self._reference is None:
            self._reference = sample
        rise = 1 + _REFERENCE_RISE * max(0, now - self._referenced_at)
        self._reference = min(sample, self._reference * rise)
        self._referenced_at = now
        is_slow = sample > _SLOW_FACTOR * self._reference
        self._samples.append((now, is_slow))

    def is_slow(self, now: Instant) -> bool:
        """Return whether most of the latest work took far too long."""
        slow = sum(
            1
            for recorded_at, is_slow in self._samples
            if is_slow and now - recorded_at < _MAX_AGE
        )
        return slow >= _SLOW_SAMPLES

    def may_take_work(self, now: Instant) -> bool:
        """Return whether another VM may delegate work to this one."""
        if not self.is_slow(now):
            return True
        return now - self._samples[-1][0] >= _PROBE_INTERVAL
