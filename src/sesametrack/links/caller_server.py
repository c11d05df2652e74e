"""HTTP server for callers that limits requests and connections."""

from asyncio import AbstractEventLoop, Server, TimerHandle, sleep
from collections.abc import Callable
from functools import partial
from operator import attrgetter

from sesametrack.contracts.types import Instant, Seconds
from sesametrack.links.caller_connection import (
    CallerConnection,
    IncomingRequest,
)
from sesametrack.links.held_bytes import HeldBytes, ParseTurns
from sesametrack.links.listener import start_listening
from sesametrack.links.request_reader import RequestReader
from sesametrack.routing.byte_allowance import allowed_bytes
from sesametrack.routing.desired_state import ClientLimits

# Limits of a server that is given none.
_MAX_CONNECTIONS = 2000
_MEMORY_MB = 300
_BODY_TIMEOUT: Seconds = 60
# Parts of the maximum of connections that are accepted, or closed, at once.
_ACCEPTED_FRACTION = 8
_EVICTED_FRACTION = 16
_TIMEOUT_CHECK_INTERVAL: Seconds = 0.5
_FLUSH_POLL_INTERVAL: Seconds = 0.01


class CallerServer:
    """Listens for callers and passes complete requests to a callback."""

    def __init__(
        self,
        host: str,
        port: int,
        loop: AbstractEventLoop,
        now: Callable[[], Instant],
        on_request: Callable[[CallerConnection, IncomingRequest], None],
        on_disconnect: Callable[[CallerConnection], None],
        on_refused: Callable[[int], None],
        memory: HeldBytes | None = None,
        max_connections: int = _MAX_CONNECTIONS,
    ) -> None:
        """Store the address and callbacks; `start` listens.

        `on_disconnect` is called when a caller disconnects before its
        response, `on_refused` with the status of each request that the
        server itself rejects. Servers may share the `memory` for requests.
        """
        self.loop = loop
        self.now = now
        self.on_request = on_request
        self.on_disconnect = on_disconnect
        self.on_refused = on_refused
        self.memory = memory or HeldBytes(
            allowed_bytes(_MEMORY_MB), now, lambda limit: None
        )
        self.turns = ParseTurns(loop)
        self.limits = ClientLimits()
        # From the first byte of a request to the last.
        self.body_timeout: Seconds = _BODY_TIMEOUT
        self._max_connections = max_connections
        self.connections: set[CallerConnection] = set()
        self._host = host
        self._port = port
        self._server: Server | None = None
        self._timer: TimerHandle | None = None

    async def start(self) -> None:
        """Listen; raises OSError if the address is in use."""
        self._server = await start_listening(
            partial(self.loop.create_server, lambda: CallerConnection(self)),
            self._host,
            self._port,
            self._max_connections // _ACCEPTED_FRACTION,
        )
        self._check_all_timeouts()

    def new_reader(self) -> RequestReader:
        """Return a reader that limits the size of a request head."""
        return RequestReader(self.limits.max_header_bytes)

    def remove(self, connection: CallerConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.discard(connection)

    def add(self, connection: CallerConnection) -> None:
        """Add a connection; the least recently used ones give way to it."""
        self.connections.add(connection)
        if len(self.connections) <= self._max_connections:
            return
        self.memory.record_limited('connections')
        others = [
            other
            for other in self.connections
            if not other.is_busy and other is not connection
        ]
        others.sort(key=attrgetter('last_activity_at'))
        count = max(1, self._max_connections // _EVICTED_FRACTION)
        for evicted in others[:count] or [connection]:
            self.connections.discard(evicted)
            evicted.abort()

    @property
    def active_request_count(self) -> int:
        """Number of requests without a response."""
        return sum(1 for connection in self.connections if connection.is_busy)

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def stop_listening(self) -> None:
        """Refuse further connections."""
        if self._server is not None:
            self._server.close()

    async def flush(self, timeout: Seconds) -> None:
        """Wait until the last responses have been written, up to a timeout."""
        flushed_by = self.now() + timeout
        while self.now() < flushed_by and any(
            connection.is_closing for connection in self.connections
        ):
            await sleep(_FLUSH_POLL_INTERVAL)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._timer is not None:
            self._timer.cancel()
        self.stop_listening()
        for connection in list(self.connections):
            connection.abort()

    def _check_all_timeouts(self) -> None:
        now = self.now()
        for connection in list(self.connections):
            connection.check_timeouts(now, self.limits)
        self.memory.sweep()
        self._timer = self.loop.call_later(
            _TIMEOUT_CHECK_INTERVAL, self._check_all_timeouts
        )
