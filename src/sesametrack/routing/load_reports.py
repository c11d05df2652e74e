"""What upstreams report of their load, and what that says a while later."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import exp

from sesametrack.contracts.types import Instant, Seconds

# Numbers of requests are out of date after this time.
_COUNTS_TTL: Seconds = 0.25
# Time constant at which a reported pace returns to the mean of the reports:
# that of an upstream which shares its machine changes again and again.
_PACE_DECAY_TIME: Seconds = 0.5
# Time constant at which the mean returns to the usual pace without reports, so
# that an upstream which was slow for long is tried again.
_MEAN_DECAY_TIME: Seconds = 12
# Weight of a report in the mean.
_EWMA_ALPHA = 0.1
# Bounds of a pace that is believed.
_MIN_PACE = 0.25
_MAX_PACE = 8.0
_USUAL_PACE = 1.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an upstream reported of its load in a reply.

    `running` and `queued` are numbers of requests. `pace` is the time that
    work takes at this moment, as a multiple of the usual one; None if the
    upstream doesn't report it.
    """

    running: int
    queued: int
    pace: float | None = None


@dataclass(slots=True)
class ReportedLoad:
    """The latest report of one upstream, and the mean of its paces."""

    report: LoadReport = LoadReport(0, 0)
    heard_at: Instant = float('-inf')
    mean_pace: float = _USUAL_PACE

    @property
    def has_pace(self) -> bool:
        """Return whether the upstream reports its pace."""
        return self.report.pace is not None

    def record(self, report: LoadReport, now: Instant) -> None:
        """Replace the report."""
        mean_pace = self._mean_pace(now)
        self.report = report
        self.heard_at = now
        self.mean_pace = mean_pace + _EWMA_ALPHA * (
            self._reported_pace - mean_pace
        )

    def pace(self, now: Instant) -> float:
        """Return the expected pace, which is the usual one without reports.

        One that was good a moment ago is expected to be better than the mean.
        """
        mean_pace = self._mean_pace(now)
        weight = exp((self.heard_at - now) / _PACE_DECAY_TIME)
        return mean_pace + (self._reported_pace - mean_pace) * weight

    def reported_requests(self, now: Instant) -> int:
        """Return the requests of the latest report, 0 if it is out of date."""
        if now >= self.heard_at + _COUNTS_TTL:
            return 0
        return self.report.running + self.report.queued

    def occupancy(self, sent_at: Iterable[Instant], now: Instant) -> int:
        """Return how many requests the upstream has, as far as is known.

        `sent_at` holds the times of this VM's own pending sends. The report
        was made with the reply to one more, which has left since.
        """
        own = list(sent_at)
        if now >= self.heard_at + _COUNTS_TTL:
            return len(own)
        reported = max(0, self.report.running + self.report.queued - 1)
        if self.report.pace is not None:
            reported += sum(1 for one in own if one > self.heard_at)
        return max(len(own), reported)

    def _mean_pace(self, now: Instant) -> float:
        weight = exp((self.heard_at - now) / _MEAN_DECAY_TIME)
        return _USUAL_PACE + (self.mean_pace - _USUAL_PACE) * weight

    @property
    def _reported_pace(self) -> float:
        if self.report.pace is None:
            return _USUAL_PACE
        return min(_MAX_PACE, max(_MIN_PACE, self.report.pace))
