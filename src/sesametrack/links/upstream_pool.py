"""The connections of this VM to one upstream."""

from asyncio import AbstractEventLoop, Task, timeout
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from sesametrack.contracts.settings import split_address
from sesametrack.contracts.types import Address, Instant, Seconds
from sesametrack.links.reply_parser import ReplyMemory
from sesametrack.links.upstream_http import (
    ConnectionState,
    OutgoingRequest,
    ReplyReader,
    UpstreamConnection,
)
from sesametrack.routing.events import FailureKind, UpstreamReply
from sesametrack.telemetry.traffic import Traffic

# An available upstream accepts within milliseconds; the rest allows for one
# lost packet between failure domains.
_CONNECT_TIMEOUT: Seconds = 0.3
# Fractions of the upstream's keep-alive timeout during which an idle
# connection is reused. The upstream may close it while a request is on its
# way, so one that must not be repeated has a larger safety margin.
_REPEATABLE_IDLE_FRACTION = 0.85
_UNREPEATABLE_IDLE_FRACTION = 0.4
# Reason reported for requests that waited for a connection for too long.
_EXPIRED = 'deadline'


@dataclass(slots=True)
class PendingSend:
    """A request that waits for a connection."""

    attempt_id: int
    # Called when the request is written, as it states the remaining time.
    build_request: Callable[[], OutgoingRequest]
    read_reply: ReplyReader
    is_repeatable: bool
    # The request is not written after this instant, its deadline or the end
    # of the permit for it.
    write_by: Instant
    # Attempts of the same request use different connections: a late copy of
    # one's reply could not be told from the other's.
    request_id: str = ''
    # Kind of its traffic.
    kind: str = ''


class PoolOwner:
    """Callbacks of a pool; the owner assigns the attempt ids."""

    def on_reply(self, attempt_id: int, reply: UpstreamReply) -> None:
        """Handle a complete reply."""

    def on_written(self, attempt_id: int) -> None:
        """Handle a request that has been written to a connection."""

    def on_interim(self, attempt_id: int) -> None:
        """Handle an interim response."""

    def on_failure(self, attempt_id: int, kind: FailureKind, why: str) -> None:
        """Handle an attempt that ended without a reply."""

    def on_connected(self, pool: 'UpstreamPool', elapsed: Seconds) -> None:
        """Handle a new connection, opened in the given time."""

    def on_unreachable(self, pool: 'UpstreamPool', why: str) -> None:
        """Handle the failure to open a connection."""

    def on_path_lost(self, pool: 'UpstreamPool') -> None:
        """Handle the failure of the last connection, which was idle."""

    def on_refused(self, pool: 'UpstreamPool') -> None:
        """Handle a refused connection: no process listens at the address."""


class UpstreamPool:
    """Connection pool of one upstream; connects on demand up to a limit."""

    def __init__(
        self,
        upstream_id: str,
        address: Address,
        limit: int,
        owner: PoolOwner,
        loop: AbstractEventLoop,
        now: Callable[[], Instant],
        memory: ReplyMemory | None = None,
        traffic: Traffic | None = None,
        peer_kind: str = 'upstream',
    ) -> None:
        """Store the address and owner; connections are opened on demand."""
        self.upstream_id = upstream_id
        self.limit = limit
        self.opened_count = 0
        self._host, self._port = split_address(address)
        self._owner = owner
        self._loop = loop
        self._now = now
        self._memory = memory
        self._traffic = traffic
        self._peer_kind = peer_kind
        self._idle: list[UpstreamConnection] = []
        self._connections: set[UpstreamConnection] = set()
        self._waiting: deque[PendingSend] = deque()
        self._connect_tasks: set[Task] = set()
        self._is_closed = False

    @property
    def size(self) -> int:
        """Number of connections that are open or opening."""
        return len(self._connections) + len(self._connect_tasks)

    @property
    def is_connecting(self) -> bool:
        """Return whether a connection is being opened."""
        return bool(self._connect_tasks)

    def has_survived(self, since: Instant, *, needs_reply: bool) -> bool:
        """Return whether a connection from before an instant is still open.

        A process that ends takes its connections with it, unless the path to
        it is lost as well: then only a reply shows that it goes on.
        """
        return any(
            connection.opened_at < since
            and (connection.replied_at > since or not needs_reply)
            for connection in self._connections
        )

    def send(self, pending: PendingSend) -> None:
        """Send on an idle connection, or queue until one is available."""
        connection = self._pop_idle_connection(pending)
        if connection is not None:
            self._write(connection, pending)
            return
        self._waiting.append(pending)
        self._connect_for_waiting()

    def cancel_waiting(self, attempt_id: int) -> bool:
        """Remove a queued request; return whether it was still queued."""
        for pending in self._waiting:
            if pending.attempt_id == attempt_id:
                self._waiting.remove(pending)
                return True
        return False

    def withdraw_waiting(self) -> None:
        """End all queued requests, which the upstream does not want."""
        self._fail_waiting('unwanted', FailureKind.withdrawn)

    def abort(self, attempt_id: int, why: str) -> None:
        """Close the connection that an attempt uses, or withdraw it."""
        if self.cancel_waiting(attempt_id):
            self._owner.on_failure(attempt_id, FailureKind.not_sent, why)
            return
        for connection in self._connections:
            if connection.attempt_id == attempt_id:
                connection.abort(why)
                return

    def open(self, reason: str = 'request') -> None:
        """Open another connection, which is counted by its reason."""
        task = self._loop.create_task(self._connect(reason))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    def close_expired(self) -> None:
        """Close connections that have been idle for too long to be reused."""
        now = self._now()
        for connection in list(self._idle):
            if (
                now - connection.idle_since
                > connection.keep_alive_timeout * _REPEATABLE_IDLE_FRACTION
            ):
                connection.abort('idle')

    def retire(self) -> None:
        """Close idle connections now, and each other one after its reply."""
        self._is_closed = True
        for connection in list(self._idle):
            connection.abort('retired')
        self._fail_waiting('retired')

    def close(self) -> None:
        """Close all connections."""
        self._is_closed = True
        for task in list(self._connect_tasks):
            task.cancel()
        for connection in list(self._connections):
            connection.abort('closed')
        self._fail_waiting('closed')

    async def _connect(self, reason: str) -> None:
        started_at = self._now()
        connection = UpstreamConnection(
            self._now,
            self._handle_idle,
            self._handle_reply,
            self._handle_end,
            self._handle_interim,
            self._memory,
            self._traffic,
        )
        try:
            async with timeout(_CONNECT_TIMEOUT):
                await self._loop.create_connection(
                    lambda: connection, self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            if isinstance(error, ConnectionRefusedError):
                self._owner.on_refused(self)
                if self._connections:
                    self._record_attempt(reason, type(error).__name__)
                    # Requests wait for one of the open connections.
                    return
            self._record_attempt(reason, type(error).__name__)
            self._report_unreachable(repr(error))
            return
        self._record_attempt(reason, 'accepted')
        self.opened_count += 1
        self._owner.on_connected(self, self._now() - started_at)

    def _record_attempt(self, reason: str, outcome: str) -> None:
        if self._traffic is not None:
            self._traffic.record_connection(
                f'{self._peer_kind}-{reason}', outcome
            )

    def _report_unreachable(self, why: str) -> None:
        self._owner.on_unreachable(self, why)
        if not self._connections:
            self._fail_waiting(why)

    def _fail_waiting(
        self, why: str, kind: FailureKind = FailureKind.not_sent
    ) -> None:
        while self._waiting:
            pending = self._waiting.popleft()
            self._owner.on_failure(pending.attempt_id, kind, why)

    def _fail_expired(self) -> None:
        """Fail the queued requests that must not be written any more."""
        now = self._now()
        expired = [
            pending for pending in self._waiting if pending.write_by <= now
        ]
        for pending in expired:
            if self.cancel_waiting(pending.attempt_id):
                self._owner.on_failure(
                    pending.attempt_id, FailureKind.not_sent, _EXPIRED
                )

    def _connect_for_waiting(self) -> None:
        """Open a connection for a queued request that can't use the others.

        At the limit, an idle connection makes room for it.
        """
        if len(self._connect_tasks) >= len(self._waiting):
            return
        if self.size < self.limit:
            self.open()
        elif self._idle and not self._connect_tasks:
            # The next connection is opened when this one has ended.
            self._idle[0].abort('not reusable')

    def _pop_idle_connection(
        self, pending: PendingSend
    ) -> UpstreamConnection | None:
        fraction = (
            _REPEATABLE_IDLE_FRACTION
            if pending.is_repeatable
            else _UNREPEATABLE_IDLE_FRACTION
        )
        now = self._now()
        for connection in reversed(list(self._idle)):
            if connection.state is not ConnectionState.idle:
                self._idle.remove(connection)
                continue
            if (
                now - connection.idle_since
                > connection.keep_alive_timeout * fraction
            ):
                # All others have been idle for longer.
                return None
            if not _is_repeated(pending, connection):
                self._idle.remove(connection)
                return connection
        return None

    def _pop_waiting(
        self, connection: UpstreamConnection
    ) -> PendingSend | None:
        """Return the first queued request for which a connection is usable."""
        for pending in self._waiting:
            if not _is_repeated(pending, connection):
                self._waiting.remove(pending)
                return pending
        return None

    def _write(
        self, connection: UpstreamConnection, pending: PendingSend
    ) -> None:
        connection.request_id = pending.request_id
        connection.send(
            pending.attempt_id,
            pending.build_request(),
            pending.read_reply,
            pending.kind,
        )
        self._owner.on_written(pending.attempt_id)

    def _handle_idle(self, connection: UpstreamConnection) -> None:
        self._connections.add(connection)
        if self._is_closed:
            connection.abort('retired')
            return
        self._fail_expired()
        # The failures may have led to a send on this connection's pool.
        pending = self._pop_waiting(connection)
        if pending is not None:
            self._write(connection, pending)
            return
        self._idle.append(connection)
        if self._waiting:
            self._connect_for_waiting()

    def _handle_reply(
        self, connection: UpstreamConnection, reply: UpstreamReply
    ) -> None:
        self._owner.on_reply(connection.attempt_id, reply)

    def _handle_interim(self, connection: UpstreamConnection) -> None:
        if connection.attempt_id is not None:
            self._owner.on_interim(connection.attempt_id)

    def _handle_end(self, connection: UpstreamConnection, why: str) -> None:
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if (
            connection.has_failed
            and connection.replied_at < connection.opened_at
        ):
            self._record_attempt('unused', 'reset')
        attempt_id, connection.attempt_id = connection.attempt_id, None
        if attempt_id is not None:
            kind = FailureKind.closed
            if connection.is_aborted:
                kind = FailureKind.broken
            self._owner.on_failure(attempt_id, kind, why)
        elif connection.has_failed and not self.size:
            self._owner.on_path_lost(self)
        if self._waiting and not self._is_closed:
            if self.size < self.limit:
                self.open()


def _is_repeated(pending: PendingSend, connection: UpstreamConnection) -> bool:
    """Return whether the connection's last request was the same one."""
    return bool(pending.request_id) and (
        pending.request_id == connection.request_id
    )
