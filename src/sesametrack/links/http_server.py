"""HTTP/1.1 server over h11 with limits on what clients may send."""

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


class _RefusedError(Exception):
    """A request is answered with an error and the connection closed."""

    def __init__(self, status: int, title: str, detail: str) -> None:
        self.response = problem_response(status, title, detail)
        super().__init__(detail)


class _IdleError(Exception):
    """The client has sent nothing of a further request."""


class HttpServer:
    """Listens on one address and passes complete requests to a handler."""

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        limits: CallerLimits | None = None,
    ) -> None:
        """Bind the parts; `start` listens."""
        self._host = host
        self._port = port
        self._handler = handler
        self._limits = limits or CallerLimits()
        self._server: Server | None = None
        self._session_by_task: dict[Task, _Session] = {}
        self._is_draining = False

    async def start(self) -> None:
        """Listen; raises OSError if the address is taken."""
        self._server = await start_server(
            self._serve, self._host, self._port, backlog=1024
        )

    def drain(self) -> None:
        """Close each connection after its present response."""
        self._is_draining = True

    def stop_listening(self) -> None:
        """Refuse new connections, and close those that are idle."""
        self._is_draining = True
        if self._server is not None:
            self._server.close()
        for session in self._session_by_task.values():
            session.close_if_idle()

    @property
    def active_request_count(self) -> int:
        """Number of connections with a request under way."""
        return sum(
            1 for session in self._session_by_task.values() if session.is_busy
        )

    async def close(self) -> None:
        """Close all connections, also those in use."""
        self.stop_listening()
        tasks = list(self._session_by_task)
        for task in tasks:
            task.cancel()
        if tasks:
            await wait(tasks)

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        task = current_task()
        session = _Session(reader, writer, self._limits)
        if len(self._session_by_task) >= self._limits.max_connections:
            session.send(
                problem_response(
                    503,
                    'Too many connections',
                    'the connection limit is reached',
                    {'outcome': 'not-run'},
                    {'retry-after': '1'},
                ),
                is_last=True,
            )
            await session.close()
            return
        self._session_by_task[task] = session
        try:
            await self._serve_requests(session)
        except (OSError, EOFError, TimeoutError, RemoteProtocolError):
            _log.debug('connection ended early')
        except CancelledError:
            _log.debug('connection closed by shutdown')
        finally:
            self._session_by_task.pop(task, None)
            await session.close()

    async def _serve_requests(self, session: '_Session') -> None:
        while True:
            try:
                request = await session.read_request()
            except _RefusedError as refused:
                session.send(refused.response, is_last=True)
                return
            if request is None:
                return
            response = await session.run(self._handler(request))
            if response is None:
                return
            is_last = session.send(response, is_last=self._is_draining)
            await session.flush()
            if is_last:
                return


class _Session:
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
        self._read_ahead: Task | None = None
        self._read_until: float | None = None

    def close_if_idle(self) -> None:
        if not self.is_busy:
            self._writer.close()

    async def close(self) -> None:
        if self._read_ahead is not None:
            self._read_ahead.cancel()
        self._writer.close()
        with suppress(OSError, TimeoutError):
            await wait_for(self._writer.wait_closed(), 1)

    async def flush(self) -> None:
        await self._writer.drain()

    async def read_request(self) -> HttpRequest | None:
        """Read one request; None when the client has closed."""
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
                raise EOFError('the client closed inside a request')
            body.extend(event.data)
            if len(body) > self._limits.max_body_bytes:
                raise _RefusedError(
                    413,
                    'Content too large',
                    f'the limit is {self._limits.max_body_bytes} bytes',
                )

    async def run(
        self, handling: Awaitable[HttpResponse]
    ) -> HttpResponse | None:
        """Await the handler; cancel it when the client goes away."""
        work = create_task(handling)
        try:
            while not work.done():
                if self._read_ahead is None:
                    self._read_ahead = create_task(
                        self._reader.read(_READ_SIZE)
                    )
                await wait(
                    (work, self._read_ahead), return_when='FIRST_COMPLETED'
                )
                if work.done() or not self._read_ahead.done():
                    continue
                if not self._is_client_there():
                    return None
                await wait((work,))
        finally:
            if not work.done():
                work.cancel()
                await wait((work,))
        return work.result()

    def send(self, response: HttpResponse, *, is_last: bool) -> bool:
        """Write a response; return whether the connection must end."""
        headers = [
            *response.headers.items(),
            ('content-length', str(len(response.body))),
        ]
        if is_last:
            headers.append(('connection', 'close'))
        try:
            parts = [
                self._protocol.send(
                    Response(status_code=response.status, headers=headers)
                ),
                self._protocol.send(Data(data=response.body)),
                self._protocol.send(EndOfMessage()),
            ]
        except LocalProtocolError:
            return True
        self._writer.write(b''.join(parts))
        self.is_busy = False
        if is_last or self._protocol.our_state in {MUST_CLOSE, ERROR}:
            return True
        if self._protocol.their_state is not DONE:
            return True
        self._protocol.start_next_cycle()
        return False

    def _is_client_there(self) -> bool:
        if self._read_ahead.exception() is not None:
            return False
        return bool(self._read_ahead.result())

    async def _read_head(self) -> Request | None:
        self._read_until = None
        while True:
            try:
                event = await self._next_event()
            except _IdleError:
                return None
            if isinstance(event, Request):
                return event
            if isinstance(event, ConnectionClosed):
                return None

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._protocol.next_event()
            except RemoteProtocolError as broken:
                raise _RefusedError(
                    broken.error_status_hint, 'Bad request', str(broken)
                ) from broken
            if event is PAUSED:
                raise EOFError('the client sent more than one request')
            if event is not NEED_DATA:
                return event
            if self._protocol.they_are_waiting_for_100_continue:
                go_on = InformationalResponse(status_code=100, headers=[])
                self._writer.write(self._protocol.send(go_on))
            self._protocol.receive_data(await self._read())

    async def _read(self) -> bytes:
        """Read a chunk; a whole request must arrive within a time."""
        loop = get_running_loop()
        timeout = self._limits.idle_timeout_s
        if self._read_until is not None:
            timeout = max(0, self._read_until - loop.time())
        if self._read_ahead is None:
            self._read_ahead = create_task(self._reader.read(_READ_SIZE))
        await wait((self._read_ahead,), timeout=timeout)
        if not self._read_ahead.done():
            if self._read_until is None:
                raise _IdleError
            raise _RefusedError(
                408,
                'Request timeout',
                f'not whole after {self._limits.read_timeout_s} s',
            )
        chunk = self._read_ahead.result()
        self._read_ahead = None
        if self._read_until is None:
            self._read_until = loop.time() + self._limits.read_timeout_s
        return chunk
