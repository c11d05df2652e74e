"""HTTP server for callers, with limits on what they send."""

from asyncio import (
    AbstractEventLoop,
    Protocol,
    Server,
    TimerHandle,
    Transport,
)
from collections.abc import Callable
from dataclasses import dataclass

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

from sesametrack.contracts.types import Instant, Seconds
from sesametrack.links.socket_options import enable_dead_peer_detection
from sesametrack.routing.desired_state import ClientLimits
from sesametrack.routing.events import Headers

_BACKLOG = 1024
_SWEEP_INTERVAL: Seconds = 0.5
# After an error that leaves bytes unread, so long is read and dropped, so
# that the answer is not lost to a reset.
_LINGER: Seconds = 1
# An interim answer (RFC 2518, section 10.1).
_PROCESSING = 102
_STATUS_BAD = 400
_STATUS_SLOW = 408
_STATUS_LARGE = 413
_STATUS_LARGE_HEAD = 431


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A whole request as it came from the socket."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_at: Instant


@dataclass(frozen=True, slots=True)
class OutgoingResponse:
    """A whole response as it goes to the socket."""

    status: int
    headers: Headers
    body: bytes = b''


class CallerConnection(Protocol):
    """Owns one caller's socket; one request at a time."""

    def __init__(self, server: 'CallerServer') -> None:
        """Bind the server that the connection belongs to."""
        self._server = server
        self._transport: Transport | None = None
        self._http = server.new_parser()
        self._head: Request | None = None
        self._body = bytearray()
        self._since: Instant = server.now()
        self._arrived_at: Instant | None = None
        self._is_lingering = False
        self.is_busy = False

    def connection_made(self, transport: Transport) -> None:
        """Keep the transport."""
        self._transport = transport
        enable_dead_peer_detection(transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the server that the caller has left."""
        self._server.connections.discard(self)
        if self.is_busy:
            self.is_busy = False
            self._server.on_left(self)

    def data_received(self, data: bytes) -> None:
        """Take bytes of a request."""
        if self._is_lingering:
            return
        if self._arrived_at is None and not self.is_busy:
            self._arrived_at = self._server.now()
        if not self.is_busy:
            self._since = self._server.now()
        self._http.receive_data(data)
        self._read_events()

    def eof_received(self) -> bool:
        """Treat the end of a caller's bytes as its leaving."""
        return False

    def send_processing(self) -> None:
        """Tell that the request was read and is being worked on."""
        if not self.is_busy:
            return
        self._transport.write(
            self._http.send(
                InformationalResponse(status_code=_PROCESSING, headers=[])
            )
        )

    def respond(self, response: OutgoingResponse, *, is_last: bool) -> None:
        """Answer the request that was passed on."""
        if not self.is_busy:
            return
        self.is_busy = False
        is_last = is_last or self._http.our_state is MUST_CLOSE
        self._write(response, is_last=is_last)
        if is_last or self._http.our_state is not DONE:
            self._transport.close()
            return
        if self._http.their_state is not DONE:
            self._transport.close()
            return
        self._http.start_next_cycle()
        self._since = self._server.now()
        self._arrived_at = None
        if self._http.trailing_data[0]:
            self._arrived_at = self._since
            self._read_events()

    def check_time(self, now: Instant, limits: ClientLimits) -> None:
        """Close a connection that is idle or too slow for too long."""
        if self.is_busy or self._is_lingering:
            return
        waited = now - self._since
        if self._arrived_at is None:
            if waited > limits.idle_timeout:
                self._transport.close()
        elif now - self._arrived_at > limits.header_timeout and (
            self._head is None or waited > limits.header_timeout
        ):
            self._refuse(_STATUS_SLOW)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is under way."""
        if not self.is_busy and self._arrived_at is None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()

    def _read_events(self) -> None:
        try:
            while not self.is_busy and not self._is_lingering:
                event = self._http.next_event()
                if event is NEED_DATA or event is PAUSED:
                    return
                self._take(event)
        except RemoteProtocolError as refused:
            self._refuse(refused.error_status_hint or _STATUS_BAD)

    def _take(self, event: object) -> None:
        if isinstance(event, Request):
            self._head = event
            self._expect_body()
        elif isinstance(event, Data):
            self._body.extend(event.data)
            if len(self._body) > self._server.limits.max_body_bytes:
                self._refuse(_STATUS_LARGE)
        elif isinstance(event, EndOfMessage):
            self._pass_on()
        elif isinstance(event, ConnectionClosed):
            self._is_lingering = True
            self._transport.close()

    def _expect_body(self) -> None:
        headers = list(self._head.headers)
        size = sum(len(name) + len(text) + 4 for name, text in headers)
        size += len(self._head.target)
        limits = self._server.limits
        names = [name for name, _ in headers]
        lengths = [text for name, text in headers if name == b'content-length']
        if size > limits.max_header_bytes:
            self._refuse(_STATUS_LARGE_HEAD)
        elif b'transfer-encoding' in names and lengths:
            # Two framings of one body are a way to smuggle a request.
            self._refuse(_STATUS_BAD)
        elif lengths and int(lengths[0]) > limits.max_body_bytes:
            self._refuse(_STATUS_LARGE)
        elif self._http.they_are_waiting_for_100_continue:
            self._transport.write(
                self._http.send(
                    InformationalResponse(status_code=100, headers=[])
                )
            )

    def _pass_on(self) -> None:
        head, body = self._head, bytes(self._body)
        self._head = None
        self._body.clear()
        self.is_busy = True
        self._server.on_request(
            self,
            IncomingRequest(
                head.method,
                head.target,
                list(head.headers),
                body,
                self._arrived_at,
            ),
        )

    def _refuse(self, status: int) -> None:
        self._is_lingering = True
        self._head = None
        self._body.clear()
        if self._http.our_state is not ERROR:
            self._write(OutgoingResponse(status, []), is_last=True)
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._server.loop.call_later(_LINGER, self._transport.abort)
        self._server.on_refused(status)

    def _write(self, response: OutgoingResponse, *, is_last: bool) -> None:
        headers = [
            *response.headers,
            (b'content-length', str(len(response.body)).encode()),
        ]
        if is_last:
            headers.append((b'connection', b'close'))
        try:
            chunks = [
                self._http.send(
                    Response(status_code=response.status, headers=headers)
                )
            ]
            if response.body:
                chunks.append(self._http.send(Data(data=response.body)))
            chunks.append(self._http.send(EndOfMessage()))
        except LocalProtocolError:
            self._transport.abort()
            return
        self._transport.write(b''.join(chunks))


class CallerServer:
    """Listens for callers and passes whole requests to its owner."""

    def __init__(
        self,
        host: str,
        port: int,
        loop: AbstractEventLoop,
        now: Callable[[], Instant],
        on_request: Callable[[CallerConnection, IncomingRequest], None],
        on_left: Callable[[CallerConnection], None],
        on_refused: Callable[[int], None],
    ) -> None:
        """Bind address and callbacks; `start` listens."""
        self.loop = loop
        self.now = now
        self.on_request = on_request
        self.on_left = on_left
        self.on_refused = on_refused
        self.limits = ClientLimits()
        self.connections: set[CallerConnection] = set()
        self._host = host
        self._port = port
        self._server: Server | None = None
        self._timer: TimerHandle | None = None

    async def start(self) -> None:
        """Listen; raises OSError if the address is taken."""
        self._server = await self.loop.create_server(
            lambda: CallerConnection(self),
            self._host,
            self._port,
            backlog=_BACKLOG,
        )
        self._sweep()

    def new_parser(self) -> Connection:
        """Return a parser that bounds the size of a head."""
        return Connection(
            SERVER, max_incomplete_event_size=self.limits.max_header_bytes
        )

    @property
    def active_request_count(self) -> int:
        """Number of requests under way."""
        return sum(1 for one in self.connections if one.is_busy)

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in list(self.connections):
            connection.close_if_idle()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    def _sweep(self) -> None:
        now = self.now()
        for connection in list(self.connections):
            connection.check_time(now, self.limits)
        self._timer = self.loop.call_later(_SWEEP_INTERVAL, self._sweep)
