"""Whether a version is worse than the others of its service.

The samples of a version are compared with those of the others on the same
route over the last seconds. Two sequential tests run on each route, for failed
and for slow answers:

- Page's CUSUM (E. S. Page, Continuous inspection schemes, Biometrika 41,
  1954) finds a version that is bad from any moment on;
- Wald's sequential probability ratio test (A. Wald, Sequential tests of
  statistical hypotheses, Ann. Math. Statist. 16, 1945) accepts a good one.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from math import exp, log

from sesametrack.contracts.types import Instant, Seconds, UpstreamId

# Rate of either error.
_ERROR_RATE = 0.01
# Samples of each stream for which the rate of false alarms is bounded.
_HORIZON = 100
# Share of bad samples, beyond that of the others, which is to be detected.
_FAILURE_DIFFERENCE = 0.2
_SLOWNESS_DIFFERENCE = 0.25
# A version is not bad for one upstream alone: without the worst one, the sum
# must still reach this part of the bound.
_OTHERS_PART = 1 / 3
# Sums above this part of the bound are suspicious.
_SUSPICIOUS_PART = 1 / 3
_ACCEPT_BOUND = log(_ERROR_RATE / (1 - _ERROR_RATE))
# Time constants with which the others' failures and times are forgotten.
_FAILURE_MEMORY: Seconds = 6
_TIME_MEMORY: Seconds = 15
# What is assumed of the others before there are samples: few fail.
_PRIOR_SAMPLES = 10
_PRIOR_FAILURES = 0.2
_MIN_SLOW_SHARE = 0.05
_SLOW_QUANTILE = 0.9
# Buckets of time between the quantile and what counts as slow.
_SLOW_MARGIN = 1
_MIN_TIMED = 8
_MIN_ACCEPTED = 5


class Verdict(Enum):
    """What the evidence says of a version."""

    bad = 'bad'
    # No more than is expected by chance, but not enough to accept it.
    open = 'open'
    suspicious = 'suspicious'
    good = 'good'


@dataclass(slots=True)
class Sample:
    """New answers of one version, or of one upstream of the tested one."""

    route: str
    upstream: UpstreamId = ''
    succeeded: int = 0
    failed: int = 0
    times: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Baseline:
    """The others' answers on one route, older ones with less weight."""

    answers: float = 0
    failures: float = 0
    times: dict[int, float] = field(default_factory=dict)
    at: Instant = float('-inf')

    def add(self, sample: Sample, now: Instant) -> None:
        self.decay(now)
        self.answers += sample.succeeded + sample.failed
        self.failures += sample.failed
        for bucket, count in sample.times.items():
            self.times[bucket] = self.times.get(bucket, 0) + count

    def decay(self, now: Instant) -> None:
        elapsed = max(0, now - self.at)
        self.at = now
        weight = exp(-elapsed / _FAILURE_MEMORY)
        self.answers *= weight
        self.failures *= weight
        weight = exp(-elapsed / _TIME_MEMORY)
        self.times = {
            bucket: count * weight for bucket, count in self.times.items()
        }

    @property
    def failure_share(self) -> float:
        return (self.failures + _PRIOR_FAILURES) / (
            self.answers + _PRIOR_SAMPLES
        )

    def slow_above(self) -> tuple[int, float] | None:
        """Return from which bucket on answers are slow, and their share."""
        total = sum(self.times.values())
        if total < _MIN_TIMED:
            return None
        below = 0.0
        quantile = 0
        for quantile in sorted(self.times):
            below += self.times[quantile]
            if below >= _SLOW_QUANTILE * total:
                break
        limit = quantile + _SLOW_MARGIN
        slow = sum(
            count for bucket, count in self.times.items() if bucket > limit
        )
        return limit, max(_MIN_SLOW_SHARE, (slow + 0.5) / (total + 5))


@dataclass(slots=True)
class _Stream:
    """The sums of one test on one route.

    The sums by upstream are those without its own samples.
    """

    alarm: float = 0
    acceptance: float = 0
    alarm_without: dict[UpstreamId, float] = field(default_factory=dict)

    def add(
        self,
        upstream: UpstreamId,
        bad: int,
        fine: int,
        usual: float,
        diff: float,
    ) -> None:
        """Add samples; `usual` is the share of bad ones among the others."""
        usual = min(usual, 1 - 2 * diff / 3)
        worse = min(usual + diff, 1 - (1 - usual) / 3)
        up, down = log(worse / usual), log((1 - worse) / (1 - usual))
        if upstream not in self.alarm_without:
            self.alarm_without[upstream] = self.alarm
        change = bad * up + fine * down
        self.acceptance += change
        self.alarm = max(0, self.alarm + change)
        for other in self.alarm_without:
            if other != upstream:
                before = self.alarm_without[other]
                self.alarm_without[other] = max(0, before + change)

    def without_worst(self) -> float:
        """Return the sum without the upstream that adds most."""
        if len(self.alarm_without) < 2:
            return self.alarm
        return min(self.alarm_without.values())


class VersionTest:
    """Sequential tests of one version."""

    def __init__(self) -> None:
        """Start without evidence."""
        self._baseline_by_route: dict[str, _Baseline] = {}
        self._stream_by_key: dict[tuple[str, str], _Stream] = {}
        self.succeeded = 0
        self.failed = 0

    def add(
        self,
        others: Iterable[Sample],
        tested: Iterable[Sample],
        now: Instant,
    ) -> None:
        """Add the answers since the last call."""
        for sample in others:
            self._baseline(sample.route).add(sample, now)
        for sample in tested:
            self._add_tested(sample, now)

    @property
    def verdict(self) -> Verdict:
        """Return what the evidence so far says."""
        streams = self._stream_by_key.values()
        bound = self._bound
        if any(
            stream.alarm >= bound
            and stream.without_worst() >= bound * _OTHERS_PART
            for stream in streams
        ):
            return Verdict.bad
        if self.suspicion >= _SUSPICIOUS_PART:
            return Verdict.suspicious
        acceptance = sum(
            stream.acceptance
            for (_, test), stream in self._stream_by_key.items()
            if test == 'failed'
        )
        if self.succeeded >= _MIN_ACCEPTED and acceptance <= _ACCEPT_BOUND:
            return Verdict.good
        return Verdict.open

    @property
    def suspicion(self) -> float:
        """Return the greatest sum, as a part of the bound of a bad version."""
        sums = (stream.alarm for stream in self._stream_by_key.values())
        return max(sums, default=0) / self._bound

    @property
    def has_answered(self) -> bool:
        """Return whether the version has answered often enough to be used."""
        return self.succeeded >= _MIN_ACCEPTED

    def describe(self) -> dict[str, float]:
        """Return the sums by route and test, for the log."""
        sums = {
            f'{route}:{test}': round(stream.alarm, 2)
            for (route, test), stream in self._stream_by_key.items()
        }
        return {**sums, 'bound': round(self._bound, 2)}

    @property
    def _bound(self) -> float:
        streams = max(1, len(self._stream_by_key))
        return log(_HORIZON * streams / _ERROR_RATE)

    def _add_tested(self, sample: Sample, now: Instant) -> None:
        self.succeeded += sample.succeeded
        self.failed += sample.failed
        baseline = self._baseline(sample.route)
        baseline.decay(now)
        self._stream(sample.route, 'failed').add(
            sample.upstream,
            sample.failed,
            sample.succeeded,
            baseline.failure_share,
            _FAILURE_DIFFERENCE,
        )
        slow_above = baseline.slow_above()
        if slow_above is None:
            return
        limit, usual = slow_above
        total = sum(sample.times.values())
        slow = sum(
            count for bucket, count in sample.times.items() if bucket > limit
        )
        self._stream(sample.route, 'slow').add(
            sample.upstream, slow, total - slow, usual, _SLOWNESS_DIFFERENCE
        )

    def _baseline(self, route: str) -> _Baseline:
        return self._baseline_by_route.setdefault(route, _Baseline())

    def _stream(self, route: str, test: str) -> _Stream:
        return self._stream_by_key.setdefault((route, test), _Stream())
