"""HTTP/1.1 server over h11 that limits the size and time of requests."""

from asyncio import (
    CancelledError,
    Server,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    current_task,
    get_running_loop,
    start_server,
    wait,
    wait_for,
)
from collections.abc import Awaitable, Callable
from contextlib import suppress
from logging import getLogger

from h11 import (
    DONE,
    ERROR,
    MUST_CLOSE,
    NEED_DATA,
    PAUSED,
    SERVER,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    InformationalResponse,
    LocalProtocolError,
    RemoteProtocolError,
    Request,
    Response,
)

from sesametrack.contracts.settings import CallerLimits
from sesametrack.links.http import (
    HttpRequest,
    HttpResponse,
    decode_headers,
    problem_response,
)

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]

_READ_SIZE = 65536
_log = getLogger('http-server')


class _RequestRejectedError(Exception):
    """The request gets an error response and the connection is closed."""

    def __init__(self, status: int, title: str, detail: str) -> None:
        self.response = problem_response(status, title, detail)
        super().__init__(detail)


class _IdleTimeoutError(Exception):
    """The client sent no further request within the idle timeout."""


class HttpServer:
    """Listens on one address and passes complete requests to a handler."""

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        limits: CallerLimits | None = None,
    ) -> None:
        """Store the address, handler and limits; `start` listens."""
        self._host = host
        self._port = port
        self._handler = handler
        self._limits = limits or CallerLimits()
        self._server: Server | None = None
        self._connection_by_task: dict[Task, _ClientConnection] = {}
        self._is_draining = False

    async def start(self) -> None:
        """Listen; raises OSError if the address is in use."""
        self._server = await start_server(
            self._handle_connection, self._host, self._port, backlog=1024
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
        connection = _ClientConnection(reader, writer, self._limits)
        if len(self._connection_by_task) >= self._limits.max_connections:
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

    async def _serve_requests(self, connection: '_ClientConnection') -> None:
        while True:
            try:
                request = await connection.read_request()
            except _RequestRejectedError as rejection:
                connection.send(rejection.response, is_last=True)
                return
            if request is None:
                return
            response = await connection.run(self._handler(request))
            if response is None:
                return
            is_last = connection.send(response, is_last=self._is_draining)
            await connection.flush()
            if is_last:
                return


class _ClientConnection:
    """One client connection."""

    def __init__(
        self, reader: StreamReader, writer: StreamWriter, limits: CallerLimits
    ) -> None:
        self.is_busy = False
        self._reader = reader
        self._writer = writer
        self._limits = limits
        self._protocol = Connection(
            SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._read_task: Task | None = None
        self._read_deadline: float | None = None

    def close_if_idle(self) -> None:
        if not self.is_busy:
            self._writer.close()

    async def close(self) -> None:
        if self._read_task is not None:
            self._read_task.cancel()
        self._writer.close()
        with suppress(OSError, TimeoutError):
            await wait_for(self._writer.wait_closed(), 1)

    async def flush(self) -> None:
        await self._writer.drain()

    async def read_request(self) -> HttpRequest | None:
        """Read one request; None if the connection ends before it begins."""
        head = await self._read_head()
        if head is None:
            return None
        self.is_busy = True
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, EndOfMessage):
                return HttpRequest(
                    head.method.decode('ascii'),
                    head.target.decode('latin-1'),
                    decode_headers(head.headers),
                    bytes(body),
                )
            if not isinstance(event, Data):
                raise EOFError('client closed the connection during a request')
            body.extend(event.data)
            if len(body) > self._limits.max_body_bytes:
                raise _RequestRejectedError(
                    413,
                    'Content too large',
                    f'the limit is {self._limits.max_body_bytes} bytes',
                )

    async def run(
        self, handler_call: Awaitable[HttpResponse]
    ) -> HttpResponse | None:
        """Return the handler's response.

        Cancels the handler and returns None if the client disconnects.
        """
        handler_task = create_task(handler_call)
        try:
            while not handler_task.done():
                if self._read_task is None:
                    self._read_task = create_task(self._reader.read(_READ_SIZE))
                await wait(
                    (handler_task, self._read_task),
                    return_when='FIRST_COMPLETED',
                )
                if handler_task.done() or not self._read_task.done():
                    continue
                if not self._is_client_connected():
                    return None
                await wait((handler_task,))
        finally:
            if not handler_task.done():
                handler_task.cancel()
                await wait((handler_task,))
        return handler_task.result()

    def send(self, response: HttpResponse, *, is_last: bool) -> bool:
        """Write a response; return whether the connection must be closed."""
        headers = [
            *response.headers.items(),
            ('content-length', str(len(response.body))),
        ]
        if is_last:
            headers.append(('connection', 'close'))
        try:
            chunks = [
                self._protocol.send(
                    Response(status_code=response.status, headers=headers)
                ),
                self._protocol.send(Data(data=response.body)),
                self._protocol.send(EndOfMessage()),
            ]
        except LocalProtocolError:
            return True
        self._writer.write(b''.join(chunks))
        self.is_busy = False
        if is_last or self._protocol.our_state in {MUST_CLOSE, ERROR}:
            return True
        if self._protocol.their_state is not DONE:
            return True
        self._protocol.start_next_cycle()
        return False

    def _is_client_connected(self) -> bool:
        if self._read_task.exception() is not None:
            return False
        return bool(self._read_task.result())

    async def _read_head(self) -> Request | None:
        self._read_deadline = None
        while True:
            try:
                event = await self._next_event()
            except _IdleTimeoutError:
                return None
            if isinstance(event, Request):
                return event
            if isinstance(event, ConnectionClosed):
                return None

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._protocol.next_event()
            except RemoteProtocolError as error:
                raise _RequestRejectedError(
                    error.error_status_hint, 'Bad request', str(error)
                ) from error
            if event is PAUSED:
                raise EOFError('client sent a pipelined request')
            if event is not NEED_DATA:
                return event
            if self._protocol.they_are_waiting_for_100_continue:
                interim = InformationalResponse(status_code=100, headers=[])
                self._writer.write(self._protocol.send(interim))
            self._protocol.receive_data(await self._read())

    async def _read(self) -> bytes:
        """Return the next bytes from the client, empty at the end.

        Raises _IdleTimeoutError if no request begins within the idle timeout,
        and _RequestRejectedError if one is incomplete after the read timeout.
        """
        loop = get_running_loop()
        timeout = self._limits.idle_timeout_s
        if self._read_deadline is not None:
            timeout = max(0, self._read_deadline - loop.time())
        if self._read_task is None:
            self._read_task = create_task(self._reader.read(_READ_SIZE))
        await wait((self._read_task,), timeout=timeout)
        if not self._read_task.done():
            if self._read_deadline is None:
                raise _IdleTimeoutError
            raise _RequestRejectedError(
                408,
                'Request timeout',
                f'not whole after {self._limits.read_timeout_s} s',
            )
        chunk = self._read_task.result()
        self._read_task = None
        if self._read_deadline is None:
            self._read_deadline = loop.time() + self._limits.read_timeout_s
        return chunk
