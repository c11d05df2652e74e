"""Queue of sub-queries, earliest deadline first."""

from dataclasses import dataclass
from heapq import heappop, heappush

from sesametrack.contracts.messages import SubQuery, SubQueryKind
from sesametrack.contracts.types import Instant, MemberId, SubQueryId


@dataclass(frozen=True, slots=True)
class QueuedSubQuery:
    """A sub-query that has not been sent to the upstream yet."""

    sender: MemberId
    sub_query: SubQuery
    deadline: Instant
    queued_at: Instant


class DeadlineQueue:
    """Priority queue of sub-queries by deadline, with removal by id."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._heap: list[tuple[Instant, int, SubQueryId]] = []
        self._by_id: dict[SubQueryId, QueuedSubQuery] = {}
        self._pushed = 0

    def __len__(self) -> int:
        """Return the number of queued sub-queries."""
        return len(self._by_id)

    def push(self, queued: QueuedSubQuery) -> None:
        """Add a sub-query."""
        self._pushed += 1
        heap_item = (queued.deadline, self._pushed, queued.sub_query.id)
        heappush(self._heap, heap_item)
        self._by_id[queued.sub_query.id] = queued

    def peek(self) -> QueuedSubQuery | None:
        """Return the sub-query with the earliest deadline, or None."""
        while self._heap:
            queued = self._by_id.get(self._heap[0][-1])
            if queued is not None:
                return queued
            heappop(self._heap)
        return None

    def remove(self, sub_query_id: SubQueryId) -> QueuedSubQuery | None:
        """Remove and return a sub-query by id, or None if it is not queued."""
        return self._by_id.pop(sub_query_id, None)

    def pop_expired(self, latest_start: Instant) -> list[QueuedSubQuery]:
        """Remove and return the sub-queries with an earlier deadline."""
        expired = []
        queued = self.peek()
        while queued is not None and queued.deadline < latest_start:
            expired.append(queued)
            self.remove(queued.sub_query.id)
            queued = self.peek()
        return expired

    def pop_all(self) -> list[QueuedSubQuery]:
        """Remove and return all sub-queries."""
        queued = list(self._by_id.values())
        self._by_id.clear()
        self._heap.clear()
        return queued

    def has_canary(self) -> bool:
        """Return whether the next sub-query is a canary."""
        queued = self.peek()
        if queued is None:
            return False
        return queued.sub_query.kind is SubQueryKind.canary
