"""Pacing of sends to cold upstreams."""

from sesametrack.contracts.types import (
    Instant,
    Seconds,
    ServiceId,
    UpstreamId,
)
from sesametrack.routing.desired_state import ServiceSpec
from sesametrack.routing.directory import Upstream
from sesametrack.routing.shares import LimitShares


class ColdStartPacer:
    """Keeps this VM's share of the rate that a cold upstream bears.

    Each VM spaces its sends by its part of the stated rate, so the sum over
    all VMs stays below the rate plus one send for each.
    """

    def __init__(self) -> None:
        """Start with no stated rates."""
        self._shares = LimitShares()
        self._spec_by_id: dict[ServiceId, ServiceSpec] = {}
        self._next_at_by_id: dict[UpstreamId, Instant] = {}

    def configure(self, spec_by_id: dict[ServiceId, ServiceSpec]) -> None:
        """Take over the services' stated limits."""
        self._spec_by_id = spec_by_id

    def set_shares(self, shares: LimitShares) -> None:
        """Share the rates with the other VMs."""
        self._shares = shares

    def allows(self, upstream: Upstream, now: Instant) -> bool:
        """Tell whether an upstream may get one more request now."""
        if now >= upstream.cold_until or not self._spacing(upstream):
            return True
        return now >= self._next_at_by_id.get(upstream.id, 0)

    def record_send(self, upstream: Upstream, now: Instant) -> None:
        """Count a send to an upstream that is still cold."""
        if now >= upstream.cold_until:
            self._next_at_by_id.pop(upstream.id, None)
            return
        spacing = self._spacing(upstream)
        if spacing:
            self._next_at_by_id[upstream.id] = now + spacing

    def remove_upstream(self, upstream_id: UpstreamId) -> None:
        """Drop an upstream that has gone."""
        self._next_at_by_id.pop(upstream_id, None)

    def _spacing(self, upstream: Upstream) -> Seconds:
        service = upstream.record.service
        spec = self._spec_by_id.get(service)
        if spec is None or spec.cold_rate <= 0:
            return 0
        return 1 / (spec.cold_rate * self._shares.fraction(service))
