"""Requests that were sent to an upstream and have not ended."""

from collections.abc import Iterator
from dataclasses import dataclass

from sesametrack.contracts.messages import SubQuery, SubQueryKind
from sesametrack.contracts.types import Instant, Seconds, SubQueryId
from sesametrack.upstreams.queue import QueuedSubQuery

# Connections that fail within this time belong to the same crash.
_CRASH_WINDOW: Seconds = 0.5


@dataclass(slots=True)
class InFlightRequest:
    """A request in flight and its monitoring state."""

    queued: QueuedSubQuery
    sent_at: Instant
    is_cancelled: bool = False
    is_overdue: bool = False
    is_counted_slow: bool = False

    @property
    def sub_query(self) -> SubQuery:
        """The sub-query that was sent."""
        return self.queued.sub_query


class InFlightRequests:
    """The requests in flight, by connection number."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._by_connection: dict[int, InFlightRequest] = {}
        self._failed_at: list[Instant] = []

    def __len__(self) -> int:
        """Return the number of requests in flight."""
        return len(self._by_connection)

    def __iter__(self) -> Iterator[tuple[int, InFlightRequest]]:
        """Iterate over a copy of the connection numbers and requests."""
        return iter(list(self._by_connection.items()))

    def add(self, number: int, queued: QueuedSubQuery, now: Instant) -> None:
        """Add a sub-query that was sent on a connection."""
        self._by_connection[number] = InFlightRequest(queued, now)

    def remove(self, number: int) -> InFlightRequest | None:
        """Remove and return the request on a connection, or None."""
        return self._by_connection.pop(number, None)

    def find(self, sub_query_id: SubQueryId) -> InFlightRequest | None:
        """Return the request with an id, or None if it is not in flight."""
        for request in self._by_connection.values():
            if request.sub_query.id == sub_query_id:
                return request
        return None

    def may_start(self, kind: SubQueryKind) -> bool:
        """Return whether a sub-query may run beside those in flight.

        A canary runs alone, so that a crash can only be attributed to it.
        """
        if not self._by_connection:
            return True
        if kind is SubQueryKind.canary:
            return False
        return not any(
            request.sub_query.kind is SubQueryKind.canary
            for request in self._by_connection.values()
        )

    def remove_failed(
        self, number: int, now: Instant
    ) -> tuple[InFlightRequest, int]:
        """Remove the request on a connection that failed.

        Return it with the number of requests in flight at the crash. The
        connections of one crash fail one after the other, so requests lost
        within the crash window count as well.
        """
        self._failed_at = [
            failed_at
            for failed_at in self._failed_at
            if now - failed_at < _CRASH_WINDOW
        ]
        in_flight = len(self._by_connection) + len(self._failed_at)
        self._failed_at.append(now)
        return self._by_connection.pop(number), in_flight

    def has_request(self, number: int) -> bool:
        """Return whether a connection has a request in flight."""
        return number in self._by_connection
