"""Pacing of sends to upstreams during their cold start."""

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
    """Limits sends to cold upstreams to this VM's share of their rate.

    Each VM spaces its sends by the inverse of its share of the declared
    rate, so that all VMs together exceed the rate by at most one send each.
    """

    def __init__(self) -> None:
        """Create a pacer without rate limits."""
        self._shares = LimitShares()
        self._spec_by_id: dict[ServiceId, ServiceSpec] = {}
        self._next_send_at_by_id: dict[UpstreamId, Instant] = {}

    def configure(self, spec_by_id: dict[ServiceId, ServiceSpec]) -> None:
        """Set the declared limits of the services."""
        self._spec_by_id = spec_by_id

    def set_shares(self, shares: LimitShares) -> None:
        """Set this VM's shares of the rates."""
        self._shares = shares

    def allows(self, upstream: Upstream, now: Instant) -> bool:
        """Return whether an upstream may get one more request now."""
        if now >= upstream.cold_until or not self._send_interval(upstream):
            return True
        return now >= self._next_send_at_by_id.get(upstream.id, 0)

    def record_send(self, upstream: Upstream, now: Instant) -> None:
        """Record a send, which delays the next one while it is cold."""
        if now >= upstream.cold_until:
            self._next_send_at_by_id.pop(upstream.id, None)
            return
        interval = self._send_interval(upstream)
        if interval:
            self._next_send_at_by_id[upstream.id] = now + interval

    def remove_upstream(self, upstream_id: UpstreamId) -> None:
        """Drop the state of an upstream that was removed."""
        self._next_send_at_by_id.pop(upstream_id, None)

    def _send_interval(self, upstream: Upstream) -> Seconds:
        service = upstream.record.service
        spec = self._spec_by_id.get(service)
        if spec is None or spec.cold_requests_per_s <= 0:
            return 0
        return 1 / (spec.cold_requests_per_s * self._shares.fraction(service))
