"""What this VM has learned of one upstream from its own exchanges."""

from dataclasses import dataclass, field
from math import exp

from sesametrack.contracts.types import Instant, Seconds

# Weight of a new sample in the averages.
_GAIN = 0.25
# One reply moves the slowness by a bounded step, so that a short pause of
# an upstream does not look like a slow upstream.
_MAX_SLOWNESS = 8.0
# What was learned of an upstream that gets no work fades with this time
# constant, and the upstream is tried again: soon by requests that can be
# hedged, late by those that would be lost to a slow upstream.
_FADE: Seconds = 2.5
_CAREFUL_FADE: Seconds = 12
_FAILURES_TO_EJECT = 3
_FIRST_EJECTION: Seconds = 0.5
_MAX_EJECTION: Seconds = 4
# VMs repeat hints while what they tell of lasts.
_HINT_REPEAT: Seconds = 1.5
# A load report counts for so long.
_LOAD_AGE: Seconds = 0.25


@dataclass(slots=True)
class UpstreamHealth:
    """Slowness, failures and work under way of one upstream.

    `slowness` is the ratio of this upstream's reply times to those that
    are usual on the route, so that routes of different work compare.
    """

    slowness: float = 1
    failure_rate: float = 0
    updated_at: Instant = float('-inf')
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: Instant = float('-inf')
    is_unreachable: bool = False
    is_unresponsive: bool = False
    sent_at_by_attempt: dict[int, Instant] = field(default_factory=dict)
    waiting: int = 0
    running: int = 0
    load_until: Instant = float('-inf')
    hinted_slowness: float = 1
    hinted_failure_rate: float = 0
    hinted_at: Instant = float('-inf')

    @property
    def outstanding(self) -> int:
        """Number of this VM's requests at the upstream."""
        return len(self.sent_at_by_attempt)

    def is_ejected(self, now: Instant) -> bool:
        """Tell whether the upstream gets work only as a last resort."""
        return self.is_unreachable or now < self.ejected_until

    def start_attempt(self, attempt_id: int, now: Instant) -> None:
        """Note that a request was handed to the upstream's connections."""
        self.sent_at_by_attempt[attempt_id] = now

    def end_attempt(self, attempt_id: int) -> None:
        """Note that a request has ended without telling anything."""
        self.sent_at_by_attempt.pop(attempt_id, None)

    def record_reply(
        self, attempt_id: int, usual: Seconds, now: Instant
    ) -> None:
        """Learn from a whole reply, where `usual` is the route's time."""
        sent_at = self.sent_at_by_attempt.pop(attempt_id, now)
        ratio = min(_MAX_SLOWNESS, (now - sent_at) / max(usual, 1e-4))
        current = self._faded(self.slowness, 1, now)
        self.slowness = current + _GAIN * (ratio - current)
        self.failure_rate = self._faded(self.failure_rate, 0, now) * (1 - _GAIN)
        self.updated_at = now
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = float('-inf')
        self.is_unreachable = False
        self.is_unresponsive = False

    def record_failure(self, attempt_id: int, now: Instant) -> bool:
        """Learn from a failed request; return whether it ejects."""
        self.end_attempt(attempt_id)
        rate = self._faded(self.failure_rate, 0, now)
        self.failure_rate = rate + _GAIN * (1 - rate)
        self.slowness = self._faded(self.slowness, 1, now)
        self.updated_at = now
        self.consecutive_failures += 1
        if self.consecutive_failures < _FAILURES_TO_EJECT:
            return False
        self._eject(now)
        return True

    def record_unreachable(self, now: Instant) -> None:
        """Note that no connection could be opened."""
        self.is_unreachable = True
        self._eject(now)

    def record_unresponsive(self, now: Instant) -> None:
        """Note that it did not even acknowledge a request.

        It gets no work for a while that grows until it replies: a stopped
        process may still take connections.
        """
        self.is_unresponsive = True
        self.record_unreachable(now)

    def record_reachable(self) -> None:
        """Note that a connection was opened again."""
        if not self.is_unreachable:
            return
        self.is_unreachable = False
        if not self.is_unresponsive:
            self.ejected_until = float('-inf')

    def record_load(self, running: int, waiting: int, now: Instant) -> None:
        """Keep the load that a reply reported."""
        self.running = running
        self.waiting = waiting
        self.load_until = now + _LOAD_AGE

    def record_hint(
        self, slowness: float, failure_rate: float, now: Instant
    ) -> bool:
        """Keep what another VM has seen; return whether it is news."""
        is_news = now - self.hinted_at > _HINT_REPEAT
        self.hinted_slowness = slowness
        self.hinted_failure_rate = failure_rate
        self.hinted_at = now
        return is_news

    def oldest_age(self, now: Instant) -> Seconds:
        """Return for how long the oldest request has been under way."""
        sent_at = next(iter(self.sent_at_by_attempt.values()), now)
        return now - sent_at

    def expected_failures(self, now: Instant) -> float:
        """Return the share of requests that is likely to fail."""
        own = self._faded(self.failure_rate, 0, now)
        return max(own, self._hinted(self.hinted_failure_rate, 0, now, _FADE))

    def expected_time(
        self,
        usual: Seconds,
        slots: int,
        now: Instant,
        *,
        is_conservative: bool = False,
    ) -> Seconds:
        """Return how long one more request is likely to take.

        A careful estimate trusts what was learned for longer.
        """
        fade = _CAREFUL_FADE if is_conservative else _FADE
        slowness = max(
            self._faded(self.slowness, 1, now, fade),
            self._hinted(self.hinted_slowness, 1, now, fade),
        )
        service_time = usual * max(0.2, slowness)
        age = self.oldest_age(now)
        if age > 2 * service_time:
            # A reply is overdue: the upstream may be paused or gone.
            service_time = age
        ahead = self.outstanding
        if now < self.load_until:
            ahead = max(ahead, self.running + self.waiting - 1)
        queued = max(0, ahead + 1 - slots)
        return service_time * (1 + queued / max(1, slots)) + (
            0.1 * service_time * ahead
        )

    def _eject(self, now: Instant) -> None:
        pause = min(_MAX_EJECTION, _FIRST_EJECTION * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + pause

    def _hinted(
        self, level: float, rest: float, now: Instant, fade: Seconds
    ) -> float:
        if self.hinted_at <= self.updated_at or level == rest:
            # What this VM has seen since then counts more.
            return rest
        return rest + (level - rest) * exp((self.hinted_at - now) / fade)

    def _faded(
        self, level: float, rest: float, now: Instant, fade: Seconds = _FADE
    ) -> float:
        if level == rest:
            return rest
        return rest + (level - rest) * exp((self.updated_at - now) / fade)
