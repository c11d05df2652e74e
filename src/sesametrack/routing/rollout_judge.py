"""Decides how a roll-out goes on, from what all VMs report."""

from dataclasses import dataclass

from sesametrack.contracts.rollouts import (
    RolloutReport,
    RolloutSpending,
    VersionSample,
)
from sesametrack.contracts.types import Instant, Seconds, VmId
from sesametrack.routing.rollout_exposure import Exposure
from sesametrack.routing.rollout_orders import (
    RolloutBounds,
    RolloutOrder,
    RolloutPhase,
)
from sesametrack.routing.rollout_verdict import Sample, Verdict, VersionTest

# Parts of an order's time until a version that is good is moved to, and until
# one that is not known to be good is decided on.
_DECISION_PART = 0.75
_LAST_DECISION_PART = 0.88
# What is left for the move at least.
_MIN_MOVE_TIME: Seconds = 4
_MIN_LAST_MOVE_TIME: Seconds = 3
# How long VMs are waited for that don't confirm the move: they have ended, or
# can't reach the judge, and follow the order's status. VMs that wait for
# answers of other versions are waited for as long as there is time.
_CONFIRMATION_TIME: Seconds = 2.5
# Time in which the status is written and read before the order's time ends.
_WRITE_TIME: Seconds = 1.2
# Part of the bound of a bad version at which a move is taken back.
_MOVING_SUSPICION = 0.5
# The version is watched under its full load for as long as the bounds leave
# room for it, in this part of which a bad one is noticed and stopped.
_WATCHED_PART = 0.65
_MIN_WATCH_TIME: Seconds = 0.5

_Process = tuple[VmId, int]


@dataclass(frozen=True, slots=True)
class _Totals:
    requests: int = 0
    trial_sends: int = 0


class RolloutJudge:
    """Judges one order as long as this VM holds the coordinator's lease."""

    def __init__(
        self,
        order: RolloutOrder,
        bounds: RolloutBounds,
        now: Instant,
        spending: RolloutSpending | None,
        age: Seconds,
        *,
        is_spending_known: bool,
    ) -> None:
        """Begin, or go on after another judge that wrote `spending`.

        `age` is how long this VM has known the order.
        """
        self.order = order
        self.phase = order.phase or RolloutPhase.trial
        known_age = 0 if spending is None else spending.age
        self._ordered_at = now - max(age, known_age)
        self.exposure = Exposure(
            bounds,
            0 if spending is None else spending.reserved,
            now,
            is_known=is_spending_known,
        )
        self.test = VersionTest()
        self._moving_since = now
        self._report_by_process: dict[_Process, RolloutReport] = {}
        self._fresh_others: list[Sample] = []
        self._fresh_tested: list[Sample] = []
        self._totals = _Totals()
        # Why the order is in its phase.
        self.reason = ''

    @property
    def requests(self) -> int:
        """Return the requests of the service that VMs have reported."""
        return self._totals.requests

    @property
    def trial_sends(self) -> int:
        """Return the sends to the version that VMs have reported."""
        return self._totals.trial_sends

    def age(self, now: Instant) -> Seconds:
        """Return the time since the order."""
        return now - self._ordered_at

    def record_report(self, report: RolloutReport, now: Instant) -> None:
        """Add what is new in a report."""
        self._ordered_at = min(self._ordered_at, now - report.age)
        process = (report.vm, report.process)
        previous = self._report_by_process.get(process)
        if previous is not None and previous.sequence >= report.sequence:
            return
        self._report_by_process[process] = report
        before = previous or RolloutReport(
            report.vm, report.process, 0, report.order, 0, 0, 0, 0, 0
        )
        self._totals = _Totals(
            self._totals.requests + report.requests - before.requests,
            self._totals.trial_sends + report.trial_sends - before.trial_sends,
        )
        known = {(one.route, one.upstream): one for one in before.samples}
        for one in report.samples:
            fresh = _subtract(one, known.get((one.route, one.upstream)))
            target = self._fresh_tested if one.upstream else self._fresh_others
            target.append(fresh)

    def decide(self, vms: set[VmId], has_upstreams: bool, now: Instant) -> bool:
        """Return whether the phase has changed.

        `vms` are the live VMs, and `has_upstreams` says whether the version
        has any.
        """
        self.test.add(self._fresh_others, self._fresh_tested, now)
        self._fresh_others = []
        self._fresh_tested = []
        before = self.phase
        if self.phase is RolloutPhase.trial:
            self._decide_trial(has_upstreams, now)
        elif self.phase is RolloutPhase.moving:
            self._decide_moving(vms, now)
        return self.phase is not before

    def wanted_reservation(self, now: Instant) -> int:
        """Return how many permits the next write of the lease reserves."""
        allowed = self.exposure.allowed(
            self.requests, self.age(now) / self._decision_time
        )
        return self.exposure.update(allowed, now)

    @property
    def has_permit(self) -> bool:
        """Return whether the version may get one more request."""
        return self.phase is RolloutPhase.trial and self.exposure.has_permit

    def take_permit(self) -> bool:
        """Issue a permit for the version; return whether there was one."""
        return self.phase is RolloutPhase.trial and self.exposure.take()

    @property
    def _decision_time(self) -> Seconds:
        over = self.order.over
        return max(over / 2, min(_DECISION_PART * over, over - _MIN_MOVE_TIME))

    @property
    def _last_decision_time(self) -> Seconds:
        over = self.order.over
        last = min(_LAST_DECISION_PART * over, over - _MIN_LAST_MOVE_TIME)
        return max(self._decision_time, last)

    def _decide_trial(self, has_upstreams: bool, now: Instant) -> None:
        verdict = self.test.verdict
        age = self.age(now)
        if verdict is Verdict.bad:
            self._enter(RolloutPhase.rolled_back, 'worse', now)
            return
        if age < self._decision_time:
            return
        if verdict is Verdict.good and has_upstreams:
            self._enter(RolloutPhase.moving, 'accepted', now)
            return
        if age >= self._last_decision_time:
            self._decide_at_last(verdict, has_upstreams, now)

    def _decide_at_last(
        self, verdict: Verdict, has_upstreams: bool, now: Instant
    ) -> None:
        if verdict is Verdict.suspicious:
            self._enter(RolloutPhase.rolled_back, 'suspicious', now)
        elif has_upstreams and self.test.has_answered:
            self._enter(RolloutPhase.moving, 'no-difference', now)
        else:
            self._enter(RolloutPhase.rolled_back, 'untried', now)

    def _decide_moving(self, vms: set[VmId], now: Instant) -> None:
        if self.test.suspicion >= _MOVING_SUSPICION:
            # The bounds leave no time for more evidence.
            self._enter(RolloutPhase.rolled_back, 'worse-while-moving', now)
            return
        elapsed = now - self._moving_since
        is_last_moment = self.age(now) >= self.order.over - _WRITE_TIME
        if elapsed < self._watch_time(now) and not is_last_moment:
            return
        moved, busy = self._moved()
        missing = len(vms - moved)
        if not missing and not busy:
            self._enter(RolloutPhase.complete, 'confirmed', now)
        elif is_last_moment or (elapsed >= _CONFIRMATION_TIME and not busy):
            reason = f'without {missing}, {len(busy)} busy'
            self._enter(RolloutPhase.complete, reason, now)

    def _watch_time(self, now: Instant) -> Seconds:
        """Return how long all requests go to the version before it is final."""
        per_s = self.requests / max(1, self.age(now))
        room = self.exposure.left_to_move(self.requests) / max(1, per_s)
        longest = min(_CONFIRMATION_TIME, _WATCHED_PART * room)
        return max(_MIN_WATCH_TIME, longest)

    def _moved(self) -> tuple[set[VmId], set[VmId]]:
        """Return the VMs that have moved, and those of them still waiting.

        These wait for what they have sent to other versions before.
        """
        latest: dict[VmId, RolloutReport] = {}
        for (vm, _), report in self._report_by_process.items():
            # Insertion order is that of the first report of each process.
            latest[vm] = report
        moved = {
            vm
            for vm, report in latest.items()
            if report.phase >= RolloutPhase.moving
        }
        return moved, {vm for vm in moved if latest[vm].others_in_flight}

    def _enter(self, phase: RolloutPhase, reason: str, now: Instant) -> None:
        self.phase = phase
        self.reason = reason
        self._moving_since = now


def _subtract(sample: VersionSample, before: VersionSample | None) -> Sample:
    """Return what a sample has more than an earlier one."""
    if before is None:
        before = VersionSample(sample.route, sample.upstream)
    return Sample(
        sample.route,
        sample.upstream,
        sample.succeeded - before.succeeded,
        sample.failed - before.failed,
        {
            bucket: count - before.times.get(bucket, 0)
            for bucket, count in sample.times.items()
            if count > before.times.get(bucket, 0)
        },
    )
