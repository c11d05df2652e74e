"""Requests that were sent to an upstream and have not ended."""

from collections.abc import Iterator
from dataclasses import dataclass

from sesametrack.contracts.messages import SubQuery, SubQueryKind
from sesametrack.contracts.types import Instant, Seconds, SubQueryId
from sesametrack.upstreams.queue import QueuedSubQuery

# Connections that die within this time belong to one crash.
_SAME_CRASH: Seconds = 0.5


@dataclass(slots=True)
class InFlightRequest:
    """A request in flight, and what was noted of it."""

    queued: QueuedSubQuery
    sent_at: Instant
    is_cancelled: bool = False
    has_probed: bool = False
    is_jump_counted: bool = False

    @property
    def sub_query(self) -> SubQuery:
        """The sub-query that was sent."""
        return self.queued.sub_query


class InFlightRequests:
    """The requests in flight, by the number of their connection."""

    def __init__(self) -> None:
        """Start with none."""
        self._by_connection: dict[int, InFlightRequest] = {}
        self._deaths: list[Instant] = []

    def __len__(self) -> int:
        """Count the requests in flight."""
        return len(self._by_connection)

    def __iter__(self) -> Iterator[tuple[int, InFlightRequest]]:
        """Iterate over connection numbers and requests, as they are now."""
        return iter(list(self._by_connection.items()))

    def start(self, number: int, waiting: QueuedSubQuery, now: Instant) -> None:
        """Note that a sub-query was sent on a connection."""
        self._by_connection[number] = InFlightRequest(waiting, now)

    def end(self, number: int) -> InFlightRequest | None:
        """Remove the request of a connection; None if it had none."""
        return self._by_connection.pop(number, None)

    def find(self, sub_query_id: SubQueryId) -> InFlightRequest | None:
        """Return a request by its id; None if it is not in flight."""
        for running in self._by_connection.values():
            if running.sub_query.id == sub_query_id:
                return running
        return None

    def allow(self, kind: SubQueryKind) -> bool:
        """Tell whether a sub-query may run beside those in flight.

        A canary has the upstream to itself, so that its death convicts it
        and nothing that ran beside it.
        """
        if not self._by_connection:
            return True
        if kind is SubQueryKind.canary:
            return False
        return not any(
            running.sub_query.kind is SubQueryKind.canary
            for running in self._by_connection.values()
        )

    def record_death(
        self, number: int, now: Instant
    ) -> tuple[InFlightRequest, int]:
        """Remove a request whose connection died.

        Returns it with the number in flight at the crash: the connections
        of one crash end one after the other, and each request counts for
        all of them.
        """
        self._deaths = [
            death for death in self._deaths if now - death < _SAME_CRASH
        ]
        in_flight = len(self._by_connection) + len(self._deaths)
        self._deaths.append(now)
        return self._by_connection.pop(number), in_flight

    def has(self, number: int) -> bool:
        """Tell whether a connection has a request in flight."""
        return number in self._by_connection
