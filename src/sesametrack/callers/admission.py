"""Admission control: refuses whole queries before any shard runs."""

from dataclasses import dataclass

from sesametrack.contracts.answers import Answer
from sesametrack.contracts.outcomes import Outcome, Reason
from sesametrack.contracts.types import Instant, Seconds, ServiceId

_INITIAL_LIMIT = 64
_MIN_LIMIT = 4
_DECREASE_FACTOR = 0.85
_DECREASE_INTERVAL: Seconds = 0.2
# Fair shares apply from this fraction of the total limit upwards.
_FAIR_SHARE_THRESHOLD = 0.75
_OVERLOAD_REASONS = frozenset(
    (Reason.overload, Reason.queue_full, Reason.deadline, Reason.shed)
)


@dataclass(slots=True)
class _ServiceLoad:
    in_flight: int = 0
    limit: float = _INITIAL_LIMIT
    decreased_at: Instant = float('-inf')
    weight: int = 1


class Admission:
    """Limits the number of queries in flight, in total and by service.

    The limit of a service increases additively with successful answers and
    decreases multiplicatively when a shard refuses for overload or misses the
    deadline.
    When the entry is nearly full, its capacity is divided between services in
    proportion to their weights.
    """

    def __init__(self, total_limit: int, *, is_adaptive: bool) -> None:
        """Set the total limit; without `is_adaptive` it is the only limit."""
        self._total_limit = total_limit
        self._is_adaptive = is_adaptive
        self._in_flight = 0
        self._load_by_service: dict[ServiceId, _ServiceLoad] = {}

    @property
    def in_flight(self) -> int:
        """Number of admitted queries that have not ended."""
        return self._in_flight

    def admit(
        self,
        service: ServiceId,
        weight: int,
        expected_latency: Seconds,
        timeout: Seconds,
    ) -> Reason:
        """Admit a query, or return the reason for refusing it.

        `expected_latency` is the expected time until the slowest shard
        answers, and `timeout` the time to the deadline. Returns Reason.none
        for an admitted query.
        """
        load = self._load_by_service.setdefault(service, _ServiceLoad())
        load.weight = weight
        if self._in_flight >= self._total_limit:
            return Reason.overload
        if self._is_adaptive:
            if expected_latency > timeout or load.in_flight >= load.limit:
                return Reason.overload
            if self._exceeds_fair_share(load):
                return Reason.overload
        load.in_flight += 1
        self._in_flight += 1
        return Reason.none

    def release(
        self, service: ServiceId, answer: Answer | None, now: Instant
    ) -> None:
        """Record the end of an admitted query and adjust its limit."""
        load = self._load_by_service[service]
        was_limit_used = load.in_flight * 2 >= load.limit
        load.in_flight -= 1
        self._in_flight -= 1
        if answer is None:
            return
        if _shows_overload(answer):
            if now >= load.decreased_at + _DECREASE_INTERVAL:
                load.decreased_at = now
                load.limit = max(_MIN_LIMIT, load.limit * _DECREASE_FACTOR)
        elif was_limit_used and answer.outcome is Outcome.ran:
            increased = load.limit + 1 / load.limit
            load.limit = min(self._total_limit, increased)

    def describe(self) -> dict[ServiceId, tuple[int, float]]:
        """Return the queries in flight and the limit of each service."""
        return {
            service: (load.in_flight, load.limit)
            for service, load in self._load_by_service.items()
        }

    def _exceeds_fair_share(self, load: _ServiceLoad) -> bool:
        if self._in_flight < self._total_limit * _FAIR_SHARE_THRESHOLD:
            return False
        weights = sum(
            other.weight
            for other in self._load_by_service.values()
            if other.in_flight
        )
        share = self._total_limit * load.weight / max(weights, load.weight)
        return load.in_flight >= share


def _shows_overload(answer: Answer) -> bool:
    if answer.reason in _OVERLOAD_REASONS:
        return True
    return any(
        shard.reason in _OVERLOAD_REASONS for shard in answer.coverage.missing
    )
