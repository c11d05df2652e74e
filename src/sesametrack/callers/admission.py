"""Refusal of whole queries before any shard runs."""

from dataclasses import dataclass

from sesametrack.contracts.answers import Answer
from sesametrack.contracts.outcomes import Outcome, Reason
from sesametrack.contracts.types import Instant, Seconds, ServiceId

_FIRST_LIMIT = 64
_LEAST_LIMIT = 4
_DECREASE = 0.85
_DECREASE_PAUSE: Seconds = 0.2
# Below this part of the total limit a service may exceed its share.
_SHARE_FREE_PART = 0.75
_OVERLOAD_REASONS = frozenset(
    (Reason.overload, Reason.queue_full, Reason.deadline, Reason.shed)
)


@dataclass(slots=True)
class _ServiceLoad:
    in_flight: int = 0
    limit: float = _FIRST_LIMIT
    decreased_at: Instant = float('-inf')
    weight: int = 1


class Admission:
    """Admits queries by service, and learns how many may be in flight.

    Each service has a limit of its own that grows with complete answers and
    shrinks when a shard refused for overload or did not answer in time.
    When the entry itself is full, services share it by their weights.
    """

    def __init__(self, total_limit: int, *, is_adaptive: bool) -> None:
        """Bound all services together; the baseline learns nothing."""
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
        expected: Seconds,
        allowed: Seconds,
    ) -> Reason:
        """Admit a query, or return why not.

        `expected` is when the slowest shard is likely to answer, `allowed`
        the time until the deadline, both in seconds.
        """
        load = self._load_by_service.setdefault(service, _ServiceLoad())
        load.weight = weight
        if self._in_flight >= self._total_limit:
            return Reason.overload
        if self._is_adaptive:
            if expected > allowed or load.in_flight >= load.limit:
                return Reason.overload
            if self._exceeds_share(load):
                return Reason.overload
        load.in_flight += 1
        self._in_flight += 1
        return Reason.none

    def release(
        self, service: ServiceId, answer: Answer | None, now: Instant
    ) -> None:
        """Note that an admitted query has ended."""
        load = self._load_by_service[service]
        was_used = load.in_flight * 2 >= load.limit
        load.in_flight -= 1
        self._in_flight -= 1
        if answer is None:
            return
        if _shows_overload(answer):
            if now >= load.decreased_at + _DECREASE_PAUSE:
                load.decreased_at = now
                load.limit = max(_LEAST_LIMIT, load.limit * _DECREASE)
        elif was_used and answer.outcome is Outcome.ran:
            grown = load.limit + 1 / load.limit
            load.limit = min(self._total_limit, grown)

    def describe(self) -> dict[ServiceId, tuple[int, float]]:
        """Return in-flight queries and the limit of each service."""
        return {
            service: (load.in_flight, load.limit)
            for service, load in self._load_by_service.items()
        }

    def _exceeds_share(self, load: _ServiceLoad) -> bool:
        if self._in_flight < self._total_limit * _SHARE_FREE_PART:
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
