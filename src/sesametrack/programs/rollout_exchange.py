"""Reports evidence of roll-outs, and judges them if this VM is the judge."""

from asyncio import AbstractEventLoop, Task, TimerHandle
from collections.abc import Callable
from dataclasses import dataclass
from logging import getLogger

from sesametrack.contracts.exceptions import PlatformError
from sesametrack.contracts.rollouts import (
    RolloutNotice,
    RolloutReport,
    RolloutSpending,
)
from sesametrack.contracts.types import (
    Address,
    Instant,
    Seconds,
    UpstreamId,
    VmId,
)
from sesametrack.platform.rollout_objects import RolloutStatusWriter
from sesametrack.programs.permit_exchange import PermitExchange
from sesametrack.routing.directory import UpstreamDirectory
from sesametrack.routing.rollout_evidence import RolloutEvidence
from sesametrack.routing.rollout_judge import RolloutJudge
from sesametrack.routing.rollout_orders import (
    RolloutBounds,
    RolloutOrder,
    RolloutPhase,
)
from sesametrack.routing.version_gate import VersionGate
from sesametrack.telemetry.metrics import Metrics
from sesametrack.telemetry.structured_log import log_event

_TICK: Seconds = 0.2
# Interval of reports, at least, and for each VM of the fleet: what the judge
# has to read grows with the fleet. VMs that send to a version on trial, or
# learn of another phase, report at the shorter one.
_REPORT_INTERVAL: Seconds = 0.5
_REPORT_INTERVAL_PER_VM: Seconds = 0.0025
_MOVING_INTERVAL_PER_VM: Seconds = 0.0005
# Without news, VMs still report this often, so that a judge that has ended is
# noticed.
_IDLE_REPORT_INTERVAL: Seconds = 2
_MAX_SILENT_REPORTS = 4

_log = getLogger('rollouts')


@dataclass(slots=True)
class _SentReport:
    """The last report of an order, and when it was sent."""

    report: RolloutReport
    at: Instant


class RolloutExchange:
    """Drives the evidence, and while the lease is held the judges."""

    def __init__(
        self,
        evidence: RolloutEvidence,
        store: Address,
        directory: UpstreamDirectory,
        bounds: RolloutBounds,
        permits: PermitExchange,
        metrics: Metrics,
        loop: AbstractEventLoop,
        now: Callable[[], Instant],
        on_barred: Callable[[list[UpstreamId]], None],
    ) -> None:
        """Make versions count in the directory; `start` begins to report.

        `on_barred` is called with upstreams that get nothing any more.
        """
        directory.gate = VersionGate()
        self.evidence = evidence
        self.vms: set[VmId] = set()
        self._directory = directory
        self._bounds = bounds
        self._permits = permits
        self._on_barred = on_barred
        self._metrics = metrics
        self._loop = loop
        self._now = now
        self._writer = RolloutStatusWriter(store)
        self._judge_by_order: dict[str, RolloutJudge] = {}
        # What the claim that this VM's one replaced says was spent.
        self._inherited: dict[str, RolloutSpending] = {}
        self._is_spending_known = True
        self._seen_at_by_order: dict[str, Instant] = {}
        self._sent_by_order: dict[str, _SentReport] = {}
        self._written_revision_by_order: dict[str, int] = {}
        self._silent_reports = 0
        self._writing: Task | None = None
        self._timer: TimerHandle | None = None

    def start(self) -> None:
        """Begin to report and to judge."""
        self._tick()

    def close(self) -> None:
        """Stop; what was reported stays with the judge."""
        if self._timer is not None:
            self._timer.cancel()
        if self._writing is not None:
            self._writing.cancel()
        self._writer.close()

    @property
    def store_calls(self) -> int:
        """Number of calls made to the store."""
        return self._writer.calls

    def apply_orders(self, orders: list[RolloutOrder]) -> None:
        """Replace the orders."""
        now = self._now()
        known = {
            order.id: self._phase(order)
            for order in self._directory.gate.phases.order_by_service.values()
        }
        self._directory.apply_rollouts(orders, now)
        self._seen_at_by_order = {
            order.id: self._seen_at_by_order.get(order.id, now)
            for order in orders
        }
        for order in orders:
            phase = self._phase(order)
            if known.pop(order.id, None) is not phase:
                log_event(
                    _log,
                    'rollout',
                    order=order.id,
                    over_s=order.over,
                    phase=phase.name,
                )
                self._bar_upstreams(order)
        for order_id in known:
            log_event(_log, 'rollout-withdrawn', order=order_id)
            self._judge_by_order.pop(order_id, None)

    def record_orders_lost(self) -> None:
        """Record that the store is unavailable for orders."""
        self._directory.gate.record_orders_lost()

    # Callbacks of the permit exchange.

    def has_permit(self, order: str) -> bool:
        """Return whether a version may get one more request."""
        judge = self._judge_by_order.get(order)
        return judge is not None and judge.has_permit

    def take_permit(self, order: str) -> bool:
        """Use up a permit of an order."""
        judge = self._judge_by_order.get(order)
        if judge is None or not judge.take_permit():
            return False
        self._metrics.count('rollouts.permits')
        return True

    def on_report(self, report: RolloutReport) -> RolloutNotice:
        """Return the phase of a report's order."""
        judge = self._judge_by_order.get(report.order)
        if judge is None:
            return RolloutNotice(report.order, int(RolloutPhase.trial))
        judge.record_report(report, self._now())
        return RolloutNotice(report.order, int(judge.phase))

    def on_notice(self, notice: RolloutNotice) -> None:
        """Apply what the coordinator says of an order."""
        self._silent_reports = 0
        try:
            phase = RolloutPhase(notice.phase)
        except ValueError:
            return
        # The end of a move is only in the status of the order.
        if phase is not RolloutPhase.complete:
            self._apply_phase(notice.order, phase)

    def on_lease_taken(
        self, rollouts: dict[str, RolloutSpending], *, is_known: bool
    ) -> None:
        """Go on after another judge."""
        self._judge_by_order.clear()
        self._inherited = dict(rollouts)
        self._is_spending_known = is_known

    def on_lease_renewed(self, rollouts: dict[str, RolloutSpending]) -> None:
        """Issue what the lease has reserved."""
        for order_id, spending in rollouts.items():
            judge = self._judge_by_order.get(order_id)
            if judge is not None:
                judge.exposure.record_reserved(spending.reserved)

    def get_rollouts(self) -> dict[str, RolloutSpending]:
        """Return what to write into the lease."""
        now = self._now()
        kept = {
            order_id: spending
            for order_id, spending in self._inherited.items()
            if order_id in self._seen_at_by_order
        }
        return kept | {
            order_id: RolloutSpending(
                judge.wanted_reservation(now), judge.age(now)
            )
            for order_id, judge in self._judge_by_order.items()
        }

    def _tick(self) -> None:
        now = self._now()
        self._directory.settle_versions(now)
        self._report(now)
        if self._permits.is_coordinator:
            self._judge(now)
        self._timer = self._loop.call_later(_TICK, self._tick)

    def _report(self, now: Instant) -> None:
        has_sent = False
        for report in self.evidence.make_reports(now):
            sent = self._sent_by_order.get(report.order)
            if sent is not None and now < sent.at + self._interval(
                report, sent.report
            ):
                continue
            if self._permits.report(report):
                has_sent = True
                self._sent_by_order[report.order] = _SentReport(report, now)
        if not has_sent or self._permits.is_coordinator:
            return
        self._silent_reports += 1
        if self._silent_reports >= _MAX_SILENT_REPORTS:
            self._silent_reports = 0
            self._permits.record_silence()

    def _interval(self, report: RolloutReport, sent: RolloutReport) -> Seconds:
        """Return the time from the last report to this one."""
        vm_count = len(self.vms)
        if report.phase == RolloutPhase.moving:
            return max(_TICK, _MOVING_INTERVAL_PER_VM * vm_count)
        if report.trial_sends != sent.trial_sends:
            return _REPORT_INTERVAL
        shared = _REPORT_INTERVAL_PER_VM * vm_count
        if report.requests != sent.requests:
            return max(_REPORT_INTERVAL, shared)
        return max(_IDLE_REPORT_INTERVAL, shared)

    def _judge(self, now: Instant) -> None:
        orders = [
            order
            for order in self._directory.gate.phases.order_by_service.values()
            if not order.is_final
        ]
        ids = {order.id for order in orders}
        for ended in self._judge_by_order.keys() - ids:
            self._judge_by_order.pop(ended)
        if orders:
            self._permits.keep_lease()
        for order in orders:
            judge = self._judge_by_order.get(order.id)
            if judge is None:
                judge = self._make_judge(order, now)
            judge.order = order
            self._judge_one(judge, now)
        if self._writing is None or self._writing.done():
            pending = [
                judge
                for judge in self._judge_by_order.values()
                if judge.phase is not judge.order.phase
            ]
            if pending:
                self._writing = self._loop.create_task(
                    self._write_statuses(pending)
                )

    def _judge_one(self, judge: RolloutJudge, now: Instant) -> None:
        order = judge.order
        has_upstreams = any(
            upstream.record.version == order.ordered_version
            and not upstream.record.is_draining
            for upstream in self._directory.of_service(order.service)
        )
        if judge.decide(self.vms | {self.evidence.vm}, has_upstreams, now):
            self._metrics.count(f'rollouts.{judge.phase.name}')
            log_event(
                _log,
                'rollout-decided',
                order=order.id,
                phase=judge.phase.name,
                reason=judge.reason,
                age_s=round(judge.age(now), 1),
                requests=judge.requests,
                trial_sends=judge.trial_sends,
                permits=judge.exposure.issued,
                succeeded=judge.test.succeeded,
                failed=judge.test.failed,
                sums=judge.test.describe(),
            )
            if judge.phase is not RolloutPhase.complete:
                self._apply_phase(order.id, judge.phase)
                self._permits.announce(
                    RolloutNotice(order.id, int(judge.phase))
                )
        wanted = judge.wanted_reservation(now)
        if judge.exposure.needs_write(wanted):
            self._permits.renew_lease_soon()

    def _make_judge(self, order: RolloutOrder, now: Instant) -> RolloutJudge:
        spending = self._inherited.get(order.id)
        is_known = self._is_spending_known and (
            spending is not None or order.phase is None
        )
        judge = RolloutJudge(
            order,
            self._bounds,
            now,
            spending,
            now - self._seen_at_by_order[order.id],
            is_spending_known=is_known,
        )
        self._judge_by_order[order.id] = judge
        log_event(
            _log,
            'rollout-judged-here',
            order=order.id,
            phase=judge.phase.name,
            permits=judge.exposure.issued,
            is_spending_known=is_known,
        )
        return judge

    async def _write_statuses(self, judges: list[RolloutJudge]) -> None:
        """Write the phases that the store doesn't have yet.

        What is not written is tried again by the next tick.
        """
        for judge in judges:
            if not self._permits.is_coordinator:
                return
            order = judge.order
            phase = judge.phase
            written = self._written_revision_by_order.get(order.id, 0)
            try:
                revision = await self._writer.write(
                    order, max(order.revision, written), phase
                )
            except PlatformError:
                continue
            if revision is None:
                self._written_revision_by_order.pop(order.id, None)
                continue
            self._written_revision_by_order[order.id] = revision
            log_event(_log, 'rollout-status', order=order.id, phase=phase.name)

    def _apply_phase(self, order_id: str, phase: RolloutPhase) -> None:
        if self._directory.apply_phase(order_id, phase, self._now()):
            log_event(_log, 'rollout-phase', order=order_id, phase=phase.name)
            order = self._directory.gate.phases.find(order_id)
            self._bar_upstreams(order)

    def _bar_upstreams(self, order: RolloutOrder) -> None:
        """Give up what belongs to a version that gets nothing any more."""
        if not self._phase(order).is_final:
            return
        barred = [
            upstream.id
            for upstream in self._directory.of_service(order.service)
            if not self._directory.gate.allows(
                order.service, upstream.record.version
            )
        ]
        if barred:
            self._on_barred(barred)

    def _phase(self, order: RolloutOrder) -> RolloutPhase:
        return self._directory.gate.phases.phase(order)
