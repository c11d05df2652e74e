"""One connection of the HTTP server, with limits on size and time."""

from asyncio import (
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    get_running_loop,
    sleep,
    wait,
    wait_for,
)
from collections.abc import Awaitable
from contextlib import suppress
from dataclasses import dataclass
from itertools import count

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

_READ_SIZE = 65536
_EVENTS_PER_TURN = 64
_UNAVAILABLE = 503


class RequestRefusedError(Exception):
    """The request gets an error response and the connection is closed."""

    def __init__(self, status: int, title: str, detail: str) -> None:
        self.response = problem_response(
            status,
            title,
            detail,
            headers={'retry-after': '1'} if status == _UNAVAILABLE else None,
        )
        super().__init__(detail)


class _IdleTimeoutError(Exception):
    """The client sent no further request within the idle timeout."""


@dataclass(slots=True)
class BodyBytes:
    """The bodies that all connections of a server hold together."""

    limit: int
    used: int = 0


class ServerConnection:
    """One client connection."""

    def __init__(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        limits: CallerLimits,
        bodies: BodyBytes,
    ) -> None:
        """Store the streams and limits; `bodies` is shared by the server."""
        self._bodies = bodies
        self._body_size = 0
        self.is_busy = False
        # Whether the handler works on a complete request.
        self.is_handling = False
        self._reader = reader
        self._writer = writer
        self._limits = limits
        self._protocol = Connection(
            SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._read_task: Task | None = None
        self._read_deadline: float | None = None

    def close_if_idle(self) -> None:
        """Close the connection unless a request has begun."""
        if not self.is_busy:
            self._writer.close()

    def abort(self) -> None:
        """Close the connection immediately."""
        self._writer.transport.abort()

    def release_body(self) -> None:
        """Count the body of the last request no longer."""
        self._bodies.used -= self._body_size
        self._body_size = 0

    async def close(self) -> None:
        """Close the connection once all is written, or soon."""
        self.release_body()
        if self._read_task is not None:
            self._read_task.cancel()
        self._writer.close()
        with suppress(OSError, TimeoutError):
            await wait_for(self._writer.wait_closed(), 1)

    async def flush(self) -> None:
        """Wait until the client has taken most of the response."""
        await self._writer.drain()

    async def read_request(self) -> HttpRequest | None:
        """Read one request; None if the connection ends before it begins."""
        head = await self._read_head()
        if head is None:
            return None
        self.is_busy = True
        self._check_length(head)
        body = bytearray()
        for number in count(1):
            if not number % _EVENTS_PER_TURN:
                # Many small chunks may be ready.
                await sleep(0)
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
                raise self._content_too_large()
            self._hold_body(len(body))

    async def run(
        self, handler_call: Awaitable[HttpResponse]
    ) -> HttpResponse | None:
        """Return the handler's response.

        Cancels the handler and returns None if the client disconnects.
        """
        handler_task = create_task(handler_call)
        self.is_handling = True
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
            self.is_handling = False
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

    def _check_length(self, head: Request) -> None:
        for name, text in head.headers:
            if name == b'content-length':
                if int(text) > self._limits.max_body_bytes:
                    raise self._content_too_large()

    def _hold_body(self, size: int) -> None:
        others = self._bodies.used - self._body_size
        if others and others + size > self._bodies.limit:
            raise RequestRefusedError(
                _UNAVAILABLE, 'Too many bodies', 'try again later'
            )
        self._bodies.used = others + size
        self._body_size = size

    def _content_too_large(self) -> RequestRefusedError:
        return RequestRefusedError(
            413,
            'Content too large',
            f'the limit is {self._limits.max_body_bytes} bytes',
        )

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
                raise RequestRefusedError(
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
        and RequestRefusedError if one is incomplete after the read timeout.
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
            raise RequestRefusedError(
                408,
                'Request timeout',
                f'not whole after {self._limits.read_timeout_s} s',
            )
        chunk = self._read_task.result()
        self._read_task = None
        if self._read_deadline is None:
            self._read_deadline = loop.time() + self._limits.read_timeout_s
        return chunk
