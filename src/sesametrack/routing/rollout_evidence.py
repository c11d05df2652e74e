"""What this VM has seen of the versions of services with an order."""

from dataclasses import dataclass, field
from math import floor, log2

from msgspec.structs import replace

from sesametrack.contracts.rollouts import RolloutReport, VersionSample
from sesametrack.contracts.types import (
    Instant,
    Seconds,
    ServiceId,
    UpstreamId,
    VmId,
)
from sesametrack.routing.directory import Upstream, UpstreamDirectory
from sesametrack.routing.rollout_orders import RolloutOrder

# Two buckets of time for each doubling, from a millisecond on.
_BUCKETS_PER_DOUBLING = 2
_FIRST_BUCKET_TIME: Seconds = 0.001
_MAX_BUCKET = 40
# A request that waited for its connection was written to a new one, which may
# take the upstream some time. A version on trial has more of these.
_MIN_WAIT: Seconds = 0.001
_NEW_CONNECTION_TIME: Seconds = 0.01
# Sends without an answer to one upstream within this time are one failure: the
# end of its process, or of the path to it.
_LOSS_INTERVAL: Seconds = 1


def time_bucket(elapsed: Seconds) -> int:
    """Return the bucket of an answer's time."""
    doublings = log2(max(elapsed, _FIRST_BUCKET_TIME) / _FIRST_BUCKET_TIME)
    return min(_MAX_BUCKET, floor(doublings * _BUCKETS_PER_DOUBLING))


@dataclass(slots=True)
class _OrderEvidence:
    requests: int = 0
    trial_sends: int = 0
    sequence: int = 0
    known_since: Instant = float('inf')
    sample_by_key: dict[tuple[str, UpstreamId], VersionSample] = field(
        default_factory=dict
    )
    lost_at: dict[UpstreamId, Instant] = field(default_factory=dict)


class RolloutEvidence:
    """Sums of each order that is not at its end, for the judge."""

    def __init__(
        self, vm: VmId, process: int, directory: UpstreamDirectory
    ) -> None:
        """Start without evidence; `process` tells processes of a VM apart."""
        self.vm = vm
        self._process = process
        self._directory = directory
        self._evidence_by_order: dict[str, _OrderEvidence] = {}

    def record_send(self, upstream: Upstream) -> None:
        """Count a send to the version on trial."""
        found = self._find(upstream.record.service)
        if found is None:
            return
        order, evidence = found
        if upstream.record.version == order.ordered_version:
            evidence.trial_sends += 1

    def record_answer(
        self,
        upstream: Upstream,
        route: str,
        sent_at: Instant,
        written_at: Instant,
        now: Instant,
        *,
        is_first: bool,
        has_failed: bool | None,
    ) -> None:
        """Record a complete answer to a send.

        `is_first` is set for the first send of a request; `has_failed` is
        None if the upstream has not run it.
        """
        found = self._find(upstream.record.service)
        if found is None:
            return
        order, evidence = found
        evidence.requests += is_first
        if has_failed is None or sent_at < upstream.cold_until:
            return
        sample = _sample(order, evidence, upstream, route)
        sample.failed += has_failed
        sample.succeeded += not has_failed
        elapsed = now - written_at
        if written_at > sent_at + _MIN_WAIT:
            elapsed -= _NEW_CONNECTION_TIME
        bucket = time_bucket(elapsed)
        sample.times[bucket] = sample.times.get(bucket, 0) + 1

    def record_loss(self, upstream: Upstream, route: str, now: Instant) -> None:
        """Record a send that may have run and ended without an answer."""
        found = self._find(upstream.record.service)
        if found is None:
            return
        order, evidence = found
        lost_at = evidence.lost_at.get(upstream.id, float('-inf'))
        if now >= lost_at + _LOSS_INTERVAL:
            evidence.lost_at[upstream.id] = now
            _sample(order, evidence, upstream, route).failed += 1

    def make_reports(self, now: Instant) -> list[RolloutReport]:
        """Return a report for each order; drop what has no order."""
        phases = self._directory.gate.phases
        orders = [
            order
            for order in phases.order_by_service.values()
            if not order.is_final
        ]
        self._evidence_by_order = {
            order.id: self._evidence_by_order.get(order.id, _OrderEvidence())
            for order in orders
        }
        return [
            self._make_report(order, int(phases.phase(order)), now)
            for order in orders
        ]

    def _make_report(
        self, order: RolloutOrder, phase: int, now: Instant
    ) -> RolloutReport:
        evidence = self._evidence_by_order[order.id]
        evidence.known_since = min(evidence.known_since, now)
        evidence.sequence += 1
        others_in_flight = sum(
            upstream.health.outstanding
            for upstream in self._directory.of_service(order.service)
            if upstream.record.version != order.ordered_version
        )
        return RolloutReport(
            self.vm,
            self._process,
            evidence.sequence,
            order.id,
            evidence.requests,
            evidence.trial_sends,
            phase,
            others_in_flight,
            now - evidence.known_since,
            [
                replace(sample, times=dict(sample.times))
                for sample in evidence.sample_by_key.values()
            ],
        )

    def _find(
        self, service: ServiceId
    ) -> tuple[RolloutOrder, _OrderEvidence] | None:
        order = self._directory.gate.phases.order_by_service.get(service)
        if order is None or order.is_final:
            return None
        return order, self._evidence_by_order.setdefault(
            order.id, _OrderEvidence()
        )


def _sample(
    order: RolloutOrder,
    evidence: _OrderEvidence,
    upstream: Upstream,
    route: str,
) -> VersionSample:
    is_target = upstream.record.version == order.ordered_version
    upstream_id = upstream.id if is_target else ''
    return evidence.sample_by_key.setdefault(
        (route, upstream_id), VersionSample(route, upstream_id)
    )
