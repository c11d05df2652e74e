"""HTTP/1.1 server over h11 that limits the size and time of requests."""

from asyncio import (
    CancelledError,
    Server,
    StreamReader,
    StreamWriter,
    Task,
    current_task,
    start_server,
    wait,
)
from collections.abc import Awaitable, Callable
from functools import partial
from logging import getLogger

from h11 import RemoteProtocolError

from sesametrack.contracts.settings import CallerLimits
from sesametrack.links.http import (
    HttpRequest,
    HttpResponse,
    problem_response,
)
from sesametrack.links.listener import start_listening
from sesametrack.links.server_connection import (
    BodyBytes,
    RequestRefusedError,
    ServerConnection,
)

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]

# Reading a connection pauses when twice as much is buffered.
_BUFFER_SIZE = 16 * 1024
# Part of the maximum of connections that is accepted at once.
_ACCEPTED_FRACTION = 8
_UNAVAILABLE = 503
_log = getLogger('http-server')


class HttpServer:
    """Listens on one address and passes complete requests to a handler."""

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        limits: CallerLimits | None = None,
        on_limited: Callable[[str], None] | None = None,
    ) -> None:
        """Store the address, handler and limits; `start` listens.

        `on_limited` is called with the name of a limit on all connections
        together each time that it acts.
        """
        self._host = host
        self._port = port
        self._handler = handler
        self._limits = limits or CallerLimits()
        self._on_limited = on_limited or (lambda limit: None)
        self._bodies = BodyBytes(self._limits.max_held_bytes)
        self._server: Server | None = None
        self._connection_by_task: dict[Task, ServerConnection] = {}
        self._is_draining = False

    async def start(self) -> None:
        """Listen; raises OSError if the address is in use."""
        self._server = await start_listening(
            partial(start_server, self._handle_connection, limit=_BUFFER_SIZE),
            self._host,
            self._port,
            self._limits.max_connections // _ACCEPTED_FRACTION,
        )

    def drain(self) -> None:
        """Close each connection after its next response."""
        self._is_draining = True

    def stop_listening(self) -> None:
        """Stop accepting connections, and close those that are idle."""
        self._is_draining = True
        if self._server is not None:
            self._server.close()
        for connection in self._connection_by_task.values():
            connection.close_if_idle()

    @property
    def active_request_count(self) -> int:
        """Number of connections with a request in progress."""
        return sum(
            1
            for connection in self._connection_by_task.values()
            if connection.is_busy
        )

    async def close(self) -> None:
        """Close all connections, including those in use."""
        self.stop_listening()
        tasks = list(self._connection_by_task)
        for task in tasks:
            task.cancel()
        if tasks:
            await wait(tasks)

    async def _handle_connection(
        self, reader: StreamReader, writer: StreamWriter
    ) -> None:
        task = current_task()
        connection = ServerConnection(
            reader, writer, self._limits, self._bodies
        )
        if not self._has_room():
            connection.send(
                problem_response(
                    503,
                    'Too many connections',
                    'the connection limit is reached',
                    {'outcome': 'not-run'},
                    {'retry-after': '1'},
                ),
                is_last=True,
            )
            await connection.close()
            return
        self._connection_by_task[task] = connection
        try:
            await self._serve_requests(connection)
        except (OSError, EOFError, TimeoutError, RemoteProtocolError):
            _log.debug('connection failed or was closed by the client')
        except CancelledError:
            _log.debug('connection closed because the server is shutting down')
        finally:
            self._connection_by_task.pop(task, None)
            await connection.close()

    def _has_room(self) -> bool:
        """Return whether one more connection may be served.

        If not, the one that was idle or incomplete for longest gives way.
        """
        if len(self._connection_by_task) < self._limits.max_connections:
            return True
        for task, connection in self._connection_by_task.items():
            if not connection.is_handling:
                self._on_limited('server-connections')
                del self._connection_by_task[task]
                connection.abort()
                return True
        return False

    async def _serve_requests(self, connection: 'ServerConnection') -> None:
        while True:
            try:
                request = await connection.read_request()
            except RequestRefusedError as rejection:
                if rejection.response.status == _UNAVAILABLE:
                    self._on_limited('server-bodies')
                connection.send(rejection.response, is_last=True)
                return
            if request is None:
                return
            response = await connection.run(self._handler(request))
            if response is None:
                return
            connection.release_body()
            is_last = connection.send(response, is_last=self._is_draining)
            await connection.flush()
            if is_last:
                return
