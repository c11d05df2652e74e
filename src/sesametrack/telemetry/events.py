"""Events that each process records for the timeline."""

from collections import deque
from collections.abc import Callable

from msgspec import Struct

from sesametrack.contracts.types import MemberId

_MAX_EVENTS = 4096


class Event(Struct, frozen=True):
    """One event of one process.

    `sequence` orders the events of a process. `wall` is its wall clock in
    seconds since the epoch, `monotonic` its monotonic clock in seconds.
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
    """Ring buffer of the latest events, in memory since VMs have no disks."""

    def __init__(
        self,
        process: MemberId,
        wall: Callable[[], float],
        monotonic: Callable[[], float],
    ) -> None:
        """Create an empty log for a process with its two clocks."""
        self._process = process
        self._wall = wall
        self._monotonic = monotonic
        self._sequence = 0
        self._events: deque[Event] = deque(maxlen=_MAX_EVENTS)

    def record(
        self,
        part: str,
        name: str,
        request_id: str = '',
        **details: str | float | bool,
    ) -> None:
        """Append an event; a full log drops its oldest one."""
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
        """Return the stored events after a sequence number."""
        return [event for event in self._events if event.sequence > sequence]
