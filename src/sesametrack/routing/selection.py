"""Choice of the upstream that gets a request."""

from collections.abc import Iterable
from random import Random

from sesametrack.contracts.types import (
    FailureDomainId,
    Instant,
    Seconds,
    UpstreamId,
)
from sesametrack.routing.directory import Upstream
from sesametrack.routing.pacing import ColdStartPacer

# A replica of another failure domain must promise to be better by this
# factor and time: its bytes are priced, and its path has more that fails.
_DOMAIN_FACTOR = 1.3
_DOMAIN_PENALTY: Seconds = 0.002
# What one failed send costs a request: the wait until it is noticed.
_FAILURE_COST: Seconds = 0.06
# Equal choices are broken at random, so that VMs spread over replicas.
_JITTER = 0.1


class Selector:
    """Chooses by the expected time, own failure domain first."""

    def __init__(
        self, domain: FailureDomainId, pacer: ColdStartPacer, rng: Random
    ) -> None:
        """Bind the failure domain of this VM."""
        self._domain = domain
        self._pacer = pacer
        self._rng = rng

    def choose(
        self,
        candidates: Iterable[Upstream],
        avoided: set[UpstreamId],
        usual: Seconds,
        max_outstanding: int,
        now: Instant,
        *,
        is_conservative: bool = False,
    ) -> Upstream | None:
        """Return the best upstream with room, None if there is none.

        A request that cannot be hedged is chosen for carefully.

        Ejected upstreams are a last resort, and unreachable ones get
        nothing until a connection to them opens again.
        """
        best: Upstream | None = None
        best_score = (True, float('inf'))
        for upstream in candidates:
            health = upstream.health
            if upstream.id in avoided or health.is_unreachable:
                continue
            if health.outstanding >= max_outstanding:
                continue
            if not self._pacer.allows(upstream, now):
                continue
            score = (
                health.is_ejected(now),
                self._score(
                    upstream, usual, now, is_conservative=is_conservative
                ),
            )
            if score < best_score:
                best, best_score = upstream, score
        return best

    def _score(
        self,
        upstream: Upstream,
        usual: Seconds,
        now: Instant,
        *,
        is_conservative: bool,
    ) -> Seconds:
        health = upstream.health
        expected = health.expected_time(
            usual, upstream.record.slots, now, is_conservative=is_conservative
        )
        expected += health.expected_failures(now) * _FAILURE_COST
        if upstream.record.failure_domain != self._domain:
            expected = expected * _DOMAIN_FACTOR + _DOMAIN_PENALTY
        return expected * (1 + _JITTER * self._rng.random())
