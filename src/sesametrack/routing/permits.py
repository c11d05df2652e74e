"""Permits of the coordinator to send to upstreams with a limited rate.

The sum of what all VMs send to an upstream can't be limited by each VM alone:
a share of one request per second is nothing for each of 67 VMs, and VMs that
see different fleets assume different shares. So each send needs a permit, and
all permits for an upstream come from one VM.
"""

from dataclasses import dataclass
from typing import Protocol

from sesametrack.contracts.permits import (
    LimitedUpstream,
    Permit,
    PermitReply,
    PermitRequest,
)
from sesametrack.contracts.types import (
    Instant,
    Milliseconds,
    Seconds,
    UpstreamId,
)

# Longest time for which a permit may be reserved in advance.
MAX_PERMIT_WAIT: Seconds = 0.5
# Permits that were not needed at once may be used later, but not so many that
# a window of 4 s gets more than 1.5 times the limit and 5 requests. The bound
# of a cold start holds for each second.
_VALIDITY: Seconds = 1
_COLD_VALIDITY: Seconds = 0.05
_BURST_TIME: Seconds = 0.25
# An upstream that states a lower limit gets this rate, so that the end of the
# limit is noticed.
_MIN_PER_S = 0.25
# A permit for a version on trial is used by the request that waits for it. If
# there is none, it is asked for again after the wait.
_TRIAL_VALIDITY: Seconds = 0.25
_EXHAUSTED_WAIT: Seconds = 1
_EXPIRY_TIME: Seconds = 60
_MAX_SCHEDULES = 2000

_Incarnation = tuple[UpstreamId, Milliseconds]


@dataclass(slots=True)
class _Schedule:
    """Times of the permits for one incarnation of an upstream.

    `next_at` is when the next permit is due at an even rate.
    """

    next_at: Instant
    per_s: float
    heard_at: Instant

    @property
    def interval(self) -> Seconds:
        """Return the time between permits."""
        return 1 / max(_MIN_PER_S, self.per_s)


@dataclass(frozen=True, slots=True)
class _Option:
    """The best upstream for a need, and how long its permit would take."""

    upstream: LimitedUpstream
    wait: Seconds


class TrialPermits(Protocol):
    """Permits for versions on trial, by order."""

    def has_permit(self, order: str) -> bool:
        """Return whether there is a permit."""

    def take_permit(self, order: str) -> bool:
        """Use up a permit; return whether there was one."""


class PermitIssuer:
    """Issues permits at the rate of each upstream.

    An issuer knows nothing of the permits of its predecessor, so it starts
    after the last of them is due, and without a burst.
    """

    def __init__(
        self, starts_at: Instant, trials: TrialPermits | None = None
    ) -> None:
        """Issue permits that are due from `starts_at` on.

        Without `trials` there are none for versions on trial.
        """
        self._starts_at = starts_at
        self._trials = trials
        self._schedule_by_incarnation: dict[_Incarnation, _Schedule] = {}

    def issue(self, request: PermitRequest, now: Instant) -> PermitReply:
        """Return the permits for a request, or how long it has to wait."""
        options = [
            min(
                (self._option(upstream, now) for upstream in need),
                key=lambda option: option.wait,
            )
            for need in request.needs
            if need
        ]
        max_wait = min(request.max_wait, MAX_PERMIT_WAIT)
        due = [option for option in options if option.wait <= max_wait]
        waits = sorted(option.wait for option in options)
        retry_after = 0.0
        if len(due) < request.min_permits:
            due = []
            position = min(request.min_permits, len(waits)) - 1
            retry_after = waits[position] if waits else 0
        permits = [
            self._permit(option, now)
            for option in due
            if self._take_trial(option.upstream)
        ]
        wait_by_upstream = {
            option.upstream.id: option.wait
            for option in options
            if option.wait > max_wait
        }
        return PermitReply(
            request.request_id,
            is_coordinator=True,
            permits=permits,
            wait_by_upstream=wait_by_upstream,
            retry_after=retry_after,
        )

    def _take_trial(self, upstream: LimitedUpstream) -> bool:
        """Return whether a version may get one more request."""
        if not upstream.order:
            return True
        return self._trials is not None and self._trials.take_permit(
            upstream.order
        )

    def _option(self, upstream: LimitedUpstream, now: Instant) -> _Option:
        if upstream.order:
            trials = self._trials
            if trials is None or not trials.has_permit(upstream.order):
                return _Option(upstream, _EXHAUSTED_WAIT)
            if not upstream.per_s:
                return _Option(upstream, max(now, self._starts_at) - now)
        schedule = self._schedule(upstream, now)
        burst_time = 0 if upstream.is_cold else _BURST_TIME
        due_at = max(now, self._starts_at, schedule.next_at - burst_time)
        return _Option(upstream, due_at - now)

    def _permit(self, option: _Option, now: Instant) -> Permit:
        upstream = option.upstream
        if upstream.order and not upstream.per_s:
            return Permit(upstream.id, option.wait, _TRIAL_VALIDITY)
        schedule = self._schedule(upstream, now)
        schedule.next_at = max(now, schedule.next_at) + schedule.interval
        validity = _COLD_VALIDITY if upstream.is_cold else _VALIDITY
        return Permit(upstream.id, option.wait, validity)

    def _schedule(self, upstream: LimitedUpstream, now: Instant) -> _Schedule:
        incarnation = (upstream.id, upstream.started_ms)
        schedule = self._schedule_by_incarnation.get(incarnation)
        heard_at = now - upstream.age
        if schedule is None:
            self._drop_expired(now)
            schedule = _Schedule(
                self._starts_at + _BURST_TIME, upstream.per_s, heard_at
            )
            self._schedule_by_incarnation[incarnation] = schedule
        elif heard_at > schedule.heard_at:
            schedule.per_s = upstream.per_s
            schedule.heard_at = heard_at
        return schedule

    def _drop_expired(self, now: Instant) -> None:
        if len(self._schedule_by_incarnation) < _MAX_SCHEDULES:
            return
        self._schedule_by_incarnation = {
            incarnation: schedule
            for incarnation, schedule in self._schedule_by_incarnation.items()
            if schedule.next_at > now - _EXPIRY_TIME
        }
