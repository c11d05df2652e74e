"""The connections of this VM to one upstream."""

from asyncio import AbstractEventLoop, Task, timeout
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from sesametrack.contracts.settings import split_address
from sesametrack.contracts.types import Address, Instant, Seconds
from sesametrack.links.upstream_http import (
    ConnectionState,
    OutgoingRequest,
    ReplyReader,
    UpstreamConnection,
)
from sesametrack.routing.events import FailureKind, UpstreamReply

# An upstream that answers opens a connection within milliseconds; the rest
# covers one lost packet on a path between failure domains.
_CONNECT_TIMEOUT: Seconds = 0.3
# Parts of the idle time an upstream allows for which a connection is used
# again: the close of an idle one may cross a request, and a request that
# may not be repeated must not be lost so.
_KEEP_PART = 0.85
_SAFE_KEEP_PART = 0.4


@dataclass(slots=True)
class PendingSend:
    """A request that waits for a connection."""

    attempt_id: int
    # Built when the request is written, since it holds the time left.
    build: Callable[[], OutgoingRequest]
    read_reply: ReplyReader
    is_repeatable: bool


class PoolOwner:
    """What a pool reports to; the attempt ids are the owner's."""

    def on_reply(self, attempt_id: int, reply: UpstreamReply) -> None:
        """Take a whole reply."""

    def on_interim(self, attempt_id: int) -> None:
        """Take an interim response."""

    def on_failure(self, attempt_id: int, kind: FailureKind, why: str) -> None:
        """Take the end of a send without a reply."""

    def on_connected(self, pool: 'UpstreamPool', elapsed: Seconds) -> None:
        """Take a new connection's opening time."""

    def on_unreachable(self, pool: 'UpstreamPool', why: str) -> None:
        """Take the failure to open a connection."""


class UpstreamPool:
    """Opens connections as requests need them, up to a limit."""

    def __init__(
        self,
        upstream_id: str,
        address: Address,
        limit: int,
        owner: PoolOwner,
        loop: AbstractEventLoop,
        now: Callable[[], Instant],
    ) -> None:
        """Bind the address; nothing is opened before it is needed."""
        self.upstream_id = upstream_id
        self.limit = limit
        self.opened_count = 0
        self._host, self._port = split_address(address)
        self._owner = owner
        self._loop = loop
        self._now = now
        self._idle: list[UpstreamConnection] = []
        self._connections: set[UpstreamConnection] = set()
        self._waiting: deque[PendingSend] = deque()
        self._tasks: set[Task] = set()
        self._is_closed = False

    @property
    def size(self) -> int:
        """Number of connections that are open or opening."""
        return len(self._connections) + len(self._tasks)

    @property
    def is_connecting(self) -> bool:
        """Tell whether a connection is being opened."""
        return bool(self._tasks)

    def send(self, pending: PendingSend) -> None:
        """Send on an idle connection, or wait for one."""
        connection = self._take_idle(pending)
        if connection is not None:
            self._write(connection, pending)
            return
        self._waiting.append(pending)
        if self.size < self.limit and len(self._tasks) < len(self._waiting):
            self.open()

    def cancel_waiting(self, attempt_id: int) -> bool:
        """Drop a request that still waits for a connection."""
        for pending in self._waiting:
            if pending.attempt_id == attempt_id:
                self._waiting.remove(pending)
                return True
        return False

    def abort(self, attempt_id: int, why: str) -> None:
        """Close the connection that a request is on."""
        for connection in self._connections:
            if connection.attempt_id == attempt_id:
                connection.abort(why)
                return

    def open(self) -> None:
        """Open one more connection."""
        task = self._loop.create_task(self._open())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close_expired(self) -> None:
        """Close idle connections that may not be used again."""
        now = self._now()
        for connection in list(self._idle):
            if now - connection.idle_since > connection.keep * _KEEP_PART:
                connection.abort('idle')

    def retire(self) -> None:
        """Close what is idle now, and the rest once its reply is there."""
        self._is_closed = True
        for connection in list(self._idle):
            connection.abort('retired')
        self._fail_waiting('retired')

    def close(self) -> None:
        """Close all connections."""
        self._is_closed = True
        for task in list(self._tasks):
            task.cancel()
        for connection in list(self._connections):
            connection.abort('closed')
        self._fail_waiting('closed')

    async def _open(self) -> None:
        begun = self._now()
        connection = UpstreamConnection(
            self._now,
            self._rest,
            self._take_reply,
            self._take_end,
            self._take_interim,
        )
        try:
            async with timeout(_CONNECT_TIMEOUT):
                await self._loop.create_connection(
                    lambda: connection, self._host, self._port
                )
        except (OSError, TimeoutError) as failed:
            self._report_unreachable(repr(failed))
            return
        self.opened_count += 1
        self._owner.on_connected(self, self._now() - begun)

    def _report_unreachable(self, why: str) -> None:
        self._owner.on_unreachable(self, why)
        if not self._connections:
            self._fail_waiting(why)

    def _fail_waiting(self, why: str) -> None:
        while self._waiting:
            pending = self._waiting.popleft()
            self._owner.on_failure(
                pending.attempt_id, FailureKind.not_sent, why
            )

    def _take_idle(self, pending: PendingSend) -> UpstreamConnection | None:
        part = _KEEP_PART if pending.is_repeatable else _SAFE_KEEP_PART
        now = self._now()
        while self._idle:
            connection = self._idle[-1]
            if connection.state is not ConnectionState.idle:
                self._idle.pop()
                continue
            if now - connection.idle_since > connection.keep * part:
                # The others have been idle for longer.
                return None
            return self._idle.pop()
        return None

    def _write(
        self, connection: UpstreamConnection, pending: PendingSend
    ) -> None:
        connection.send(pending.attempt_id, pending.build(), pending.read_reply)

    def _rest(self, connection: UpstreamConnection) -> None:
        self._connections.add(connection)
        if self._is_closed:
            connection.abort('retired')
        elif self._waiting:
            self._write(connection, self._waiting.popleft())
        else:
            self._idle.append(connection)

    def _take_reply(
        self, connection: UpstreamConnection, reply: UpstreamReply
    ) -> None:
        self._owner.on_reply(connection.attempt_id, reply)

    def _take_interim(self, connection: UpstreamConnection) -> None:
        if connection.attempt_id is not None:
            self._owner.on_interim(connection.attempt_id)

    def _take_end(self, connection: UpstreamConnection, why: str) -> None:
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        attempt_id, connection.attempt_id = connection.attempt_id, None
        if attempt_id is not None:
            self._owner.on_failure(attempt_id, FailureKind.broken, why)
        if self._waiting and not self._is_closed:
            if self.size < self.limit:
                self.open()
