"""Applies the allowance of bytes, and turns at parsing, to connections."""

from asyncio import AbstractEventLoop
from collections import deque
from collections.abc import Callable
from typing import Protocol

from sesametrack.contracts.types import Instant
from sesametrack.routing.byte_allowance import (
    ByteAllowance,
    Holding,
    Verdict,
)


class LimitedConnection(Protocol):
    """A connection that shares the allowance with the others."""

    def evict(self) -> None:
        """End the exchange, which made no progress, for others."""

    def refuse(self) -> None:
        """Refuse the request that is being read, of which nothing has run."""

    def read_on(self) -> None:
        """Go on reading."""


class HeldBytes:
    """The bytes that all connections make this process hold.

    `on_limited` is called with the name of a limit each time that it acts.
    """

    def __init__(
        self,
        limit: int,
        now: Callable[[], Instant],
        on_limited: Callable[[str], None],
    ) -> None:
        """Start with nothing held."""
        self._allowance = ByteAllowance(limit)
        self._now = now
        self._on_limited = on_limited
        self._connection_by_holding: dict[Holding, LimitedConnection] = {}

    @property
    def used(self) -> int:
        """Number of bytes that are held."""
        return self._allowance.used

    def register(self, connection: LimitedConnection) -> Holding:
        """Return the holding of a new connection."""
        holding = Holding()
        self._connection_by_holding[holding] = connection
        return holding

    def remove(self, holding: Holding) -> None:
        """Remove a connection that has ended."""
        self._allowance.release(holding)
        self._connection_by_holding.pop(holding, None)

    def release(self, holding: Holding) -> None:
        """Hold nothing any more for a connection."""
        self._allowance.release(holding)

    def read(self, holding: Holding, size: int) -> Verdict:
        """Record the size of an incomplete request; return what it may do."""
        verdict, evicted = self._allowance.read(holding, size, self._now())
        self._evict(evicted)
        if verdict is Verdict.wait:
            self._on_limited('body-waits')
        elif verdict is Verdict.refuse:
            self._on_limited('body-refused')
        return verdict

    def hold(self, holding: Holding, size: int) -> bool:
        """Return whether a complete request may be held until its answer."""
        has_room, evicted = self._allowance.hold(holding, size, self._now())
        self._evict(evicted)
        if not has_room:
            self._on_limited('request-refused')
        return has_room

    def queue_response(self, holding: Holding, size: int) -> None:
        """Record how much of a response its reader has not taken."""
        self._evict(self._allowance.queue_response(holding, size, self._now()))

    def sweep(self) -> None:
        """Let connections that wait for memory go on, or refuse them."""
        swept = self._allowance.sweep(self._now())
        self._evict(swept.evicted)
        for holding in swept.refused:
            self._on_limited('body-refused')
            self._connection_by_holding[holding].refuse()
        for resumed in swept.resumed:
            self._connection_by_holding[resumed].read_on()

    def record_limited(self, name: str) -> None:
        """Report that a limit of a connection has acted."""
        self._on_limited(name)

    def _evict(self, holdings: list[Holding]) -> None:
        for holding in holdings:
            self._on_limited('stalled-evicted')
            self._connection_by_holding[holding].evict()


class ParseTurns:
    """Lets connections with much to parse take turns with all other work."""

    def __init__(self, loop: AbstractEventLoop) -> None:
        """Start with no connection."""
        self._loop = loop
        self._waiting: deque[Callable[[], None]] = deque()
        self._is_scheduled = False

    def add(self, read_on: Callable[[], None]) -> None:
        """Call `read_on` in a later iteration of the loop."""
        self._waiting.append(read_on)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run_next)

    def _run_next(self) -> None:
        self._waiting.popleft()()
        self._is_scheduled = bool(self._waiting)
        if self._is_scheduled:
            self._loop.call_soon(self._run_next)
