"""Queue of waiting sub-queries, earliest deadline first."""

from dataclasses import dataclass
from heapq import heappop, heappush

from sesametrack.contracts.messages import SubQuery, SubQueryKind
from sesametrack.contracts.types import Instant, MemberId, SubQueryId


@dataclass(frozen=True, slots=True)
class QueuedSubQuery:
    """A sub-query that has not been sent to the upstream."""

    sender: MemberId
    sub_query: SubQuery
    deadline: Instant
    queued_at: Instant


class DeadlineQueue:
    """Sub-queries in the order of their deadlines; removal by id."""

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[Instant, int, SubQueryId]] = []
        self._by_id: dict[SubQueryId, QueuedSubQuery] = {}
        self._arrivals = 0

    def __len__(self) -> int:
        """Count the sub-queries that wait."""
        return len(self._by_id)

    def push(self, waiting: QueuedSubQuery) -> None:
        """Add a sub-query."""
        self._arrivals += 1
        entry = (waiting.deadline, self._arrivals, waiting.sub_query.id)
        heappush(self._heap, entry)
        self._by_id[waiting.sub_query.id] = waiting

    def peek(self) -> QueuedSubQuery | None:
        """Return the sub-query whose deadline comes first, or None."""
        while self._heap:
            waiting = self._by_id.get(self._heap[0][-1])
            if waiting is not None:
                return waiting
            heappop(self._heap)
        return None

    def remove(self, sub_query_id: SubQueryId) -> QueuedSubQuery | None:
        """Remove a sub-query by id; None if it does not wait."""
        return self._by_id.pop(sub_query_id, None)

    def pop_late(self, latest_start: Instant) -> list[QueuedSubQuery]:
        """Remove the sub-queries whose deadline lies before an instant."""
        late = []
        waiting = self.peek()
        while waiting is not None and waiting.deadline < latest_start:
            late.append(waiting)
            self.remove(waiting.sub_query.id)
            waiting = self.peek()
        return late

    def pop_all(self) -> list[QueuedSubQuery]:
        """Remove everything."""
        waiting = list(self._by_id.values())
        self._by_id.clear()
        self._heap.clear()
        return waiting

    def has_canary(self) -> bool:
        """Tell whether the next sub-query is a canary."""
        waiting = self.peek()
        if waiting is None:
            return False
        return waiting.sub_query.kind is SubQueryKind.canary
