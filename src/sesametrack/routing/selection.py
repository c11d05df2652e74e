"""Selection of the upstream for a request."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf
from random import Random

from sesametrack.contracts.types import (
    FailureDomainId,
    Instant,
    Seconds,
    UpstreamId,
)
from sesametrack.routing.directory import Upstream
from sesametrack.routing.leaving import LeavingPolicy
from sesametrack.routing.pacing import UpstreamPacer

# A replica in another failure domain must be expected to be faster by this
# factor and time: its traffic is billed, and its path is less reliable.
_REMOTE_FACTOR = 1.3
_REMOTE_PENALTY: Seconds = 0.002
# Delay of a request by one failed send: the time until it is detected.
_FAILURE_PENALTY: Seconds = 0.06
# A version on trial is used whenever there is a permit: permits are few.
_PERMITTED_TRIAL_COST: Seconds = -1
# Breaks ties at random, so that VMs spread their requests over replicas.
_JITTER_FRACTION = 0.1


@dataclass(frozen=True, slots=True)
class _Ranked:
    """An upstream and the expected cost of a request there."""

    is_ejected: bool
    cost: Seconds
    upstream: Upstream


def _rank_key(ranked: _Ranked) -> tuple[bool, Seconds]:
    return ranked.is_ejected, ranked.cost


class Selector:
    """Selects by expected time and prefers this VM's failure domain."""

    def __init__(
        self, domain: FailureDomainId, pacer: UpstreamPacer, rng: Random
    ) -> None:
        """Create a selector for a VM in the given failure domain."""
        self._domain = domain
        self._pacer = pacer
        self._rng = rng
        self.leaving = LeavingPolicy()

    def choose(
        self,
        candidates: Iterable[Upstream],
        excluded: set[UpstreamId],
        reference_time: Seconds,
        max_outstanding: int,
        now: Instant,
        *,
        is_conservative: bool = False,
        time_left: Seconds = inf,
    ) -> Upstream | None:
        """Return the best upstream with free capacity, or None.

        `reference_time` is the route's median reply time. Requests that
        cannot be hedged need conservative estimates. The request stays in
        this VM's failure domain if the reply is expected to be in time there:
        it is wanted in `time_left`.

        Ejected upstreams are a last resort. Unreachable ones are skipped
        until a connection to them can be opened again, and those that have
        asked for a pause until its end. Upstreams that are skipped for want of
        a permit are recorded by the pacer; those on trial only if there is no
        other.
        """
        ranked = self._rank(
            [
                upstream
                for upstream in candidates
                if upstream.id not in excluded
                and upstream.health.accepts_requests(now)
                and upstream.health.outstanding < max_outstanding
            ],
            reference_time,
            now,
            is_conservative=is_conservative,
        )
        if not ranked:
            return None
        best = min(ranked, key=_rank_key)
        near = [one for one in ranked if self.is_near(one.upstream)]
        home = min(near, key=_rank_key, default=None)
        if home is None or home.is_ejected or best.upstream.trial:
            return best.upstream
        if best is home:
            self.leaving.stay(now)
            return home.upstream
        may_leave = self.leaving.may_leave(
            home.upstream,
            best.upstream,
            home.cost,
            reference_time,
            time_left,
            now,
        )
        return best.upstream if may_leave else home.upstream

    def is_near(self, upstream: Upstream) -> bool:
        """Return whether an upstream is in this VM's failure domain."""
        return upstream.record.failure_domain == self._domain

    def _rank(
        self,
        candidates: list[Upstream],
        reference_time: Seconds,
        now: Instant,
        *,
        is_conservative: bool,
    ) -> list[_Ranked]:
        """Return those that have a permit, or need none, with their costs."""
        ranked = []
        passed_over: list[Upstream] = []
        for upstream in candidates:
            if not self._pacer.allows(upstream, now):
                passed_over.append(upstream)
                continue
            cost = self._expected_cost(
                upstream,
                reference_time,
                now,
                is_conservative=is_conservative,
            )
            ranked.append(
                _Ranked(upstream.health.is_ejected(now), cost, upstream)
            )
        self._record_passed_over(passed_over, has_choice=bool(ranked))
        return ranked

    def _record_passed_over(
        self, upstreams: list[Upstream], *, has_choice: bool
    ) -> None:
        for upstream in upstreams:
            if not upstream.trial or not has_choice:
                self._pacer.record_passed_over(upstream)

    def _expected_cost(
        self,
        upstream: Upstream,
        reference_time: Seconds,
        now: Instant,
        *,
        is_conservative: bool,
    ) -> Seconds:
        if upstream.trial:
            return _PERMITTED_TRIAL_COST
        health = upstream.health
        cost = health.expected_time(
            reference_time,
            upstream.record.slots,
            now,
            is_conservative=is_conservative,
        )
        cost += health.expected_failure_rate(now) * _FAILURE_PENALTY
        if not self.is_near(upstream):
            cost = cost * _REMOTE_FACTOR + _REMOTE_PENALTY
        return cost * (1 + _JITTER_FRACTION * self._rng.random())
