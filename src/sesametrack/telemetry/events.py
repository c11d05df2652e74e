"""Events that each process records for the time line."""

from collections import deque
from collections.abc import Callable

from msgspec import Struct

from sesametrack.contracts.types import MemberId

_KEPT_EVENTS = 4096


class Event(Struct, frozen=True):
    """One event of one process.

    `sequence` orders the events of a process, `wall` is its clock in
    seconds since the epoch, `monotonic` its monotonic clock.
    """

    process: MemberId
    sequence: int
    wall: float
    monotonic: float
    part: str
    name: str
    request_id: str = ''
    details: dict[str, str | int | float | bool] = {}


class EventLog:
    """Keeps the latest events in memory; VMs have no disks."""

    def __init__(
        self,
        process: MemberId,
        wall: Callable[[], float],
        monotonic: Callable[[], float],
    ) -> None:
        """Bind the process name and the two clocks."""
        self._process = process
        self._wall = wall
        self._monotonic = monotonic
        self._sequence = 0
        self._events: deque[Event] = deque(maxlen=_KEPT_EVENTS)

    def record(
        self,
        part: str,
        name: str,
        request_id: str = '',
        **details: str | float | bool,
    ) -> None:
        """Record one event."""
        self._sequence += 1
        self._events.append(
            Event(
                self._process,
                self._sequence,
                self._wall(),
                self._monotonic(),
                part,
                name,
                request_id,
                details,
            )
        )

    def since(self, sequence: int) -> list[Event]:
        """Return the kept events after a sequence number."""
        return [event for event in self._events if event.sequence > sequence]
