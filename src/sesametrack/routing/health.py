"""Health of one upstream, estimated from this VM's exchanges and hints."""

from dataclasses import dataclass, field
from math import exp

from sesametrack.contracts.types import Instant, Seconds
from sesametrack.routing.load_reports import LoadReport, ReportedLoad

# Weight of a new sample in the exponential moving averages.
_EWMA_ALPHA = 0.25
# Limits the effect of one reply, so that a short pause of an upstream does
# not make it look slow.
_MAX_SLOWNESS = 8.0
_MIN_SLOWNESS = 0.2
# Time constants of the decay of estimates to neutral values, after which an
# upstream without requests is tried again: soon for requests that can be
# hedged, later for those that would fail if the upstream is still slow.
_DECAY_TIME: Seconds = 2.5
_CONSERVATIVE_DECAY_TIME: Seconds = 12
# The same for the speed of an upstream that reports its pace: without it, the
# speed is its own for good.
_SPEED_DECAY_TIME: Seconds = 12
_FAILURES_TO_EJECT = 3
_FIRST_EJECTION: Seconds = 0.5
_MAX_EJECTION: Seconds = 4
# VMs repeat a hint while its condition lasts; a hint after a longer gap
# reports a new condition.
_HINT_REPEAT_INTERVAL: Seconds = 1.5


@dataclass(slots=True)
class UpstreamHealth:
    """Slowness, failure rate and outstanding requests of one upstream.

    `slowness` is the ratio of this upstream's reply times to the median of
    the route, so that samples of all routes can be averaged; if the upstream
    reports its pace, it is the ratio at the usual pace. `load` is what the
    upstream reported. The `hinted_` fields hold the latest hint of another VM.
    Until `paused_until` the upstream wants no request of this VM.
    """

    slowness: float = 1
    failure_rate: float = 0
    measured_at: Instant = float('-inf')
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: Instant = float('-inf')
    is_unreachable: bool = False
    is_unresponsive: bool = False
    sent_at_by_attempt: dict[int, Instant] = field(default_factory=dict)
    load: ReportedLoad = field(default_factory=ReportedLoad)
    paused_until: Instant = float('-inf')
    hinted_slowness: float = 1
    hinted_failure_rate: float = 0
    hinted_at: Instant = float('-inf')

    @property
    def outstanding(self) -> int:
        """Return the number of this VM's requests at the upstream."""
        return len(self.sent_at_by_attempt)

    def is_ejected(self, now: Instant) -> bool:
        """Return whether the upstream is to be used only as a last resort."""
        return self.is_unreachable or now < self.ejected_until

    def is_paused(self, now: Instant) -> bool:
        """Return whether the upstream wants no request for now."""
        return now < self.paused_until

    def accepts_requests(self, now: Instant) -> bool:
        """Return whether the upstream may be sent a request at all."""
        return not self.is_unreachable and not self.is_paused(now)

    def record_pause(self, pause: Seconds, now: Instant) -> None:
        """Record that the upstream wants no request for a while.

        A shorter pause doesn't end a longer one.
        """
        self.paused_until = max(self.paused_until, now + pause)

    def start_attempt(self, attempt_id: int, now: Instant) -> None:
        """Record that a request was passed to the connection pool."""
        self.sent_at_by_attempt[attempt_id] = now

    def end_attempt(self, attempt_id: int) -> None:
        """Record the end of a request without updating the estimates."""
        self.sent_at_by_attempt.pop(attempt_id, None)

    def record_reply(
        self, attempt_id: int, reference_time: Seconds, now: Instant
    ) -> None:
        """Update the estimates from a complete reply.

        `reference_time` is the reply time that counts as slowness 1.
        """
        sent_at = self.sent_at_by_attempt.pop(attempt_id, now)
        elapsed = now - sent_at
        # The report of this reply has just been recorded.
        if self.load.heard_at == now:
            elapsed /= self.load.pace(now)
        ratio = min(_MAX_SLOWNESS, elapsed / max(reference_time, 1e-4))
        current = self._decayed(self.slowness, 1, now, self._learning_time)
        self.slowness = current + _EWMA_ALPHA * (ratio - current)
        self.failure_rate = self._decayed(self.failure_rate, 0, now) * (
            1 - _EWMA_ALPHA
        )
        self.measured_at = now
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = float('-inf')
        self.is_unreachable = False
        self.is_unresponsive = False

    def record_failure(self, attempt_id: int, now: Instant) -> bool:
        """Update the estimates from a failure; return whether it ejects."""
        self.end_attempt(attempt_id)
        rate = self._decayed(self.failure_rate, 0, now)
        self.failure_rate = rate + _EWMA_ALPHA * (1 - rate)
        self.slowness = self._decayed(
            self.slowness, 1, now, self._learning_time
        )
        self.measured_at = now
        self.consecutive_failures += 1
        if self.consecutive_failures < _FAILURES_TO_EJECT:
            return False
        self._eject(now)
        return True

    def record_unreachable(self, now: Instant) -> None:
        """Eject the upstream because no connection could be opened."""
        self.is_unreachable = True
        self._eject(now)

    def record_unresponsive(self, now: Instant) -> None:
        """Eject the upstream because it did not acknowledge a request.

        A stopped process may still accept connections, so an opened
        connection does not end this ejection. Its duration doubles up to a
        maximum until a reply arrives.
        """
        self.is_unresponsive = True
        self.record_unreachable(now)

    def record_reachable(self) -> None:
        """Record that a connection was opened, which ends the ejection.

        An unresponsive upstream stays ejected for the full duration, unless
        it replies earlier.
        """
        if not self.is_unreachable:
            return
        self.is_unreachable = False
        if not self.is_unresponsive:
            self.ejected_until = float('-inf')

    def record_load(self, load: LoadReport, now: Instant) -> None:
        """Store the load that a reply reported."""
        self.load.record(load, now)

    def record_hint(
        self, slowness: float, failure_rate: float, now: Instant
    ) -> bool:
        """Store a hint of another VM; return whether it is a new one."""
        is_new = now - self.hinted_at > _HINT_REPEAT_INTERVAL
        self.hinted_slowness = slowness
        self.hinted_failure_rate = failure_rate
        self.hinted_at = now
        return is_new

    def oldest_attempt_age(self, now: Instant) -> Seconds:
        """Return the age of the oldest outstanding request."""
        sent_at = next(iter(self.sent_at_by_attempt.values()), now)
        return now - sent_at

    def expected_failure_rate(self, now: Instant) -> float:
        """Return the expected share of failed requests."""
        measured = self._decayed(self.failure_rate, 0, now)
        return max(
            measured,
            self._decayed_hint(self.hinted_failure_rate, 0, now, _DECAY_TIME),
        )

    def expected_time(
        self,
        reference_time: Seconds,
        slots: int,
        now: Instant,
        *,
        is_conservative: bool = False,
    ) -> Seconds:
        """Return the expected reply time of one more request.

        A conservative estimate decays more slowly to the reference time.
        """
        decay_time = (
            _CONSERVATIVE_DECAY_TIME if is_conservative else _DECAY_TIME
        )
        service_time = reference_time * self._expected_slowness(now, decay_time)
        age = self.oldest_attempt_age(now)
        if age > 2 * service_time:
            # An overdue reply: the upstream may be paused or may have stopped.
            service_time = age
        outstanding = self.load.occupancy(self.sent_at_by_attempt.values(), now)
        waiting = max(0, outstanding + 1 - slots)
        return service_time * (1 + waiting / max(1, slots)) + (
            0.1 * service_time * outstanding
        )

    @property
    def _learning_time(self) -> Seconds:
        return _SPEED_DECAY_TIME if self.load.has_pace else _DECAY_TIME

    def _expected_slowness(self, now: Instant, decay_time: Seconds) -> float:
        """Return the expected ratio of the reply time to the reference time.

        An upstream that reports no pace is not expected to be faster than
        usual: a fast reply may just have met an idle moment.
        """
        hinted = self._decayed_hint(self.hinted_slowness, 1, now, decay_time)
        if not self.load.has_pace:
            own = self._decayed(self.slowness, 1, now, decay_time)
            return max(own, hinted)
        own = self._decayed(self.slowness, 1, now, _SPEED_DECAY_TIME)
        if hinted > 1:
            own = max(own, hinted)
        return max(_MIN_SLOWNESS, own) * self.load.pace(now)

    def _eject(self, now: Instant) -> None:
        duration = min(_MAX_EJECTION, _FIRST_EJECTION * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + duration

    def _decayed_hint(
        self, estimate: float, neutral: float, now: Instant, decay_time: Seconds
    ) -> float:
        if self.hinted_at <= self.measured_at or estimate == neutral:
            # This VM's newer measurements take precedence.
            return neutral
        return neutral + (estimate - neutral) * exp(
            (self.hinted_at - now) / decay_time
        )

    def _decayed(
        self,
        estimate: float,
        neutral: float,
        now: Instant,
        decay_time: Seconds = _DECAY_TIME,
    ) -> float:
        if estimate == neutral:
            return neutral
        return neutral + (estimate - neutral) * exp(
            (self.measured_at - now) / decay_time
        )
