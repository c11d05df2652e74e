"""Pacing of sends to upstreams that limit their request rate.

An upstream limits its rate while it is cold, or by what it states in its
replies. The limit holds for all VMs together, so each send needs a permit of
the coordinator.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from sesametrack.contracts.permits import LimitedUpstream
from sesametrack.contracts.types import (
    Instant,
    Seconds,
    ServiceId,
    UpstreamId,
)
from sesametrack.routing.desired_state import ServiceSpec
from sesametrack.routing.directory import Upstream

# A permit that has been requested for this long was lost.
PERMIT_TIMEOUT: Seconds = 0.03
# Requests for permits while other upstreams have capacity. They let this VM
# use what the upstream takes, and notice the end of its limit.
_SPARE_REQUEST_INTERVAL: Seconds = 0.25
# Without an answer of the coordinator, permits are requested again after this.
NO_COORDINATOR_DELAY: Seconds = 0.25


class _Window(NamedTuple):
    """The time in which a permit may be used."""

    starts_at: Instant
    ends_at: Instant


@dataclass(slots=True)
class _PermitState:
    """Permits for one upstream, and the state of the request for more."""

    permits: deque[_Window] = field(default_factory=deque)
    requested_at: Instant = float('-inf')
    is_requested: bool = False
    # No permit can be had before this instant.
    denied_until: Instant = float('-inf')


class UpstreamPacer:
    """Allows sends to limited upstreams only with a permit."""

    def __init__(self) -> None:
        """Create a pacer without limits."""
        self._spec_by_id: dict[ServiceId, ServiceSpec] = {}
        self._state_by_id: dict[UpstreamId, _PermitState] = {}
        self._passed_over: dict[UpstreamId, Upstream] = {}

    def configure(self, spec_by_id: dict[ServiceId, ServiceSpec]) -> None:
        """Set the declared limits of the services."""
        self._spec_by_id = spec_by_id

    def limit(self, upstream: Upstream, now: Instant) -> float | None:
        """Return the requests per second of all VMs, None without a limit."""
        cold_rate = self._cold_rate(upstream, now)
        stated_per_s = upstream.rate_limit.per_s
        if cold_rate is None or stated_per_s is None:
            return cold_rate if stated_per_s is None else stated_per_s
        return min(cold_rate, stated_per_s)

    def needs_permit(self, upstream: Upstream, now: Instant) -> bool:
        """Return whether each send needs a permit of the coordinator."""
        return bool(upstream.trial) or self.limit(upstream, now) is not None

    def allows(self, upstream: Upstream, now: Instant) -> bool:
        """Return whether an upstream may get one more request now."""
        if not self.needs_permit(upstream, now):
            return True
        state = self._state_by_id.get(upstream.id)
        if state is None:
            return False
        while state.permits and state.permits[0].ends_at <= now:
            state.permits.popleft()
        return bool(state.permits) and state.permits[0].starts_at <= now

    def record_send(self, upstream: Upstream, now: Instant) -> Instant:
        """Use a permit if the upstream has a limit.

        Return the end of the permit, by which the request must be written.
        """
        is_free = not self.needs_permit(upstream, now)
        if is_free or not self.allows(upstream, now):
            return float('inf')
        return self._state_by_id[upstream.id].permits.popleft().ends_at

    def record_passed_over(self, upstream: Upstream) -> None:
        """Record that a request could not use an upstream for its limit."""
        self._passed_over[upstream.id] = upstream

    def take_requests(
        self, now: Instant, *, has_alternative: bool
    ) -> list[Upstream]:
        """Return the upstreams to request permits for, and mark them so.

        `has_alternative` is set if the request that passed them over was
        sent to another upstream.
        """
        passed_over, self._passed_over = self._passed_over, {}
        interval = _SPARE_REQUEST_INTERVAL if has_alternative else 0
        return [
            upstream
            for upstream in passed_over.values()
            if self._start_request(upstream.id, interval, now)
        ]

    def start_trial_request(
        self, trials: list[Upstream], now: Instant
    ) -> Upstream | None:
        """Return the upstream on trial to request a permit for.

        It is None if one is requested already, or was denied for now.
        """
        states = [self._state(upstream.id) for upstream in trials]
        if any(now < state.denied_until for state in states):
            return None
        chosen = min(
            trials,
            key=lambda one: (
                one.health.outstanding,
                self._state(one.id).requested_at,
            ),
        )
        return chosen if self._start_request(chosen.id, 0, now) else None

    def is_requested(self, upstream_id: UpstreamId) -> bool:
        """Return whether a permit is requested that has not been answered."""
        return self._state(upstream_id).is_requested

    def describe(self, upstream: Upstream, now: Instant) -> LimitedUpstream:
        """Return what to tell the coordinator about a limited upstream."""
        cold_rate = self._cold_rate(upstream, now)
        return LimitedUpstream(
            upstream.id,
            upstream.record.started_ms,
            self.limit(upstream, now) or 0,
            now - upstream.rate_limit.heard_at if cold_rate is None else 0,
            cold_rate is not None,
            upstream.trial,
        )

    def add_permit(
        self,
        upstream_id: UpstreamId,
        wait: Seconds,
        validity: Seconds,
        now: Instant,
    ) -> None:
        """Store a permit that may be used after `wait` for `validity`."""
        state = self._state(upstream_id)
        state.is_requested = False
        state.permits.append(_Window(now + wait, now + wait + validity))

    def record_denied(
        self, upstream_id: UpstreamId, wait: Seconds, now: Instant
    ) -> None:
        """Record that the next permit takes longer than `wait`."""
        state = self._state(upstream_id)
        state.is_requested = False
        state.denied_until = now + wait

    def earliest_send_at(
        self, upstreams: Iterable[Upstream], now: Instant
    ) -> Instant:
        """Return when one of these limited upstreams might get a request."""
        return min(self._earliest_send_at(one.id, now) for one in upstreams)

    def remove_upstream(self, upstream_id: UpstreamId) -> None:
        """Drop the state of an upstream that was removed."""
        self._state_by_id.pop(upstream_id, None)

    def _earliest_send_at(
        self, upstream_id: UpstreamId, now: Instant
    ) -> Instant:
        state = self._state_by_id.get(upstream_id)
        if state is None:
            return now
        if state.permits:
            return max(now, state.permits[0].starts_at)
        return max(now, state.denied_until)

    def _start_request(
        self, upstream_id: UpstreamId, interval: Seconds, now: Instant
    ) -> bool:
        state = self._state(upstream_id)
        age = now - state.requested_at
        is_pending = state.is_requested and age < PERMIT_TIMEOUT
        if state.permits or is_pending or age < interval:
            return False
        if now < state.denied_until:
            return False
        state.is_requested = True
        state.requested_at = now
        return True

    def _state(self, upstream_id: UpstreamId) -> _PermitState:
        return self._state_by_id.setdefault(upstream_id, _PermitState())

    def _cold_rate(self, upstream: Upstream, now: Instant) -> float | None:
        spec = self._spec_by_id.get(upstream.record.service)
        if spec is None or spec.cold_requests_per_s <= 0:
            return None
        return spec.cold_requests_per_s if now < upstream.cold_until else None
