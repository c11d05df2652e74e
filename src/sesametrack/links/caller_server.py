"""HTTP server for callers that limits the size and time of requests."""

from asyncio import (
    AbstractEventLoop,
    Protocol,
    Server,
    TimerHandle,
    Transport,
    sleep,
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
from sesametrack.links.socket_options import (
    enable_dead_peer_detection,
    read_round_trip_time,
)
from sesametrack.routing.desired_state import ClientLimits
from sesametrack.routing.events import Headers

_BACKLOG = 1024
_TIMEOUT_CHECK_INTERVAL: Seconds = 0.5
_FLUSH_POLL_INTERVAL: Seconds = 0.01
# Closing a socket with unread bytes sends a reset, which may discard the
# error response. A lingering close reads and discards input for this long.
_LINGER_TIME: Seconds = 1
# 102 is an interim response (RFC 2518, section 10.1).
_STATUS_PROCESSING = 102
_STATUS_BAD_REQUEST = 400
_STATUS_REQUEST_TIMEOUT = 408
_STATUS_CONTENT_TOO_LARGE = 413
_STATUS_HEADERS_TOO_LARGE = 431


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A complete request as received from the socket."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_at: Instant
    # What the network adds to the time that the caller waits: the ways of the
    # request and the answer, and the opening of the connection for its first
    # request. None if it is unknown.
    network_time: Seconds | None = None


@dataclass(frozen=True, slots=True)
class OutgoingResponse:
    """A complete response to be written to the socket."""

    status: int
    headers: Headers
    body: bytes = b''


class CallerConnection(Protocol):
    """Server side of a caller's connection; handles one request at a time."""

    def __init__(self, server: 'CallerServer') -> None:
        """Create a connection of the given server."""
        self._server = server
        self._transport: Transport | None = None
        self._parser = server.new_parser()
        self._head: Request | None = None
        self._body = bytearray()
        self._last_activity_at: Instant = server.now()
        self._arrived_at: Instant | None = None
        self._is_lingering = False
        self._has_requested = False
        self.is_busy = False

    def connection_made(self, transport: Transport) -> None:
        """Store the transport and enable dead peer detection."""
        self._transport = transport
        enable_dead_peer_detection(transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report a caller that disconnected before its response."""
        self._server.connections.discard(self)
        if self.is_busy:
            self.is_busy = False
            self._server.on_disconnect(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of a request."""
        if self._is_lingering:
            return
        if self._arrived_at is None and not self.is_busy:
            self._arrived_at = self._server.now()
        self._parser.receive_data(data)
        if self.is_busy:
            self._limit_pipelined_bytes()
            return
        self._last_activity_at = self._server.now()
        self._read_events()

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its sending side."""
        return False

    def send_processing(self) -> None:
        """Send a 102 (Processing) response for the current request."""
        if not self.is_busy:
            return
        self._transport.write(
            self._parser.send(
                InformationalResponse(
                    status_code=_STATUS_PROCESSING, headers=[]
                )
            )
        )

    def respond(self, response: OutgoingResponse, *, is_last: bool) -> None:
        """Send the response to the current request.

        Does nothing if the caller has disconnected.
        """
        if not self.is_busy:
            return
        self.is_busy = False
        is_last = is_last or self._parser.our_state is MUST_CLOSE
        self._write(response, is_last=is_last)
        if is_last or self._parser.our_state is not DONE:
            self._transport.close()
            return
        if self._parser.their_state is not DONE:
            self._transport.close()
            return
        self._parser.start_next_cycle()
        self._last_activity_at = self._server.now()
        self._arrived_at = None
        if self._parser.trailing_data[0]:
            self._arrived_at = self._last_activity_at
            self._read_events()

    def check_timeouts(self, now: Instant, limits: ClientLimits) -> None:
        """Close the connection if an idle or header timeout has expired."""
        if self.is_busy or self._is_lingering:
            return
        idle_time = now - self._last_activity_at
        if self._arrived_at is None:
            if idle_time > limits.idle_timeout:
                self._transport.close()
        elif now - self._arrived_at > limits.header_timeout and (
            self._head is None or idle_time > limits.header_timeout
        ):
            self._reject(_STATUS_REQUEST_TIMEOUT)

    @property
    def is_closing(self) -> bool:
        """Return whether the connection closes once all is written."""
        return self._transport.is_closing()

    def close_if_idle(self) -> None:
        """Close the connection unless a request has begun."""
        if not self.is_busy and self._arrived_at is None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection immediately."""
        self._transport.abort()

    def _limit_pipelined_bytes(self) -> None:
        """Close the connection if more than one request waits in it.

        Reading can't be paused instead, as the end of the connection would
        go unnoticed.
        """
        limits = self._server.limits
        waiting = len(self._parser.trailing_data[0])
        if waiting > limits.max_header_bytes + limits.max_body_bytes:
            self._transport.abort()

    def _read_events(self) -> None:
        try:
            while not self.is_busy and not self._is_lingering:
                event = self._parser.next_event()
                if event is NEED_DATA or event is PAUSED:
                    return
                self._handle_event(event)
        except RemoteProtocolError as error:
            self._reject(error.error_status_hint or _STATUS_BAD_REQUEST)

    def _handle_event(self, event: object) -> None:
        if isinstance(event, Request):
            self._head = event
            self._check_head()
        elif isinstance(event, Data):
            self._body.extend(event.data)
            if len(self._body) > self._server.limits.max_body_bytes:
                self._reject(_STATUS_CONTENT_TOO_LARGE)
        elif isinstance(event, EndOfMessage):
            self._dispatch()
        elif isinstance(event, ConnectionClosed):
            self._is_lingering = True
            self._transport.close()

    def _check_head(self) -> None:
        headers = list(self._head.headers)
        size = sum(len(name) + len(text) + 4 for name, text in headers)
        size += len(self._head.target)
        limits = self._server.limits
        names = [name for name, _ in headers]
        lengths = [text for name, text in headers if name == b'content-length']
        if size > limits.max_header_bytes:
            self._reject(_STATUS_HEADERS_TOO_LARGE)
        elif b'transfer-encoding' in names and lengths:
            # Conflicting framing headers allow request smuggling.
            self._reject(_STATUS_BAD_REQUEST)
        elif lengths and int(lengths[0]) > limits.max_body_bytes:
            self._reject(_STATUS_CONTENT_TOO_LARGE)
        elif self._parser.they_are_waiting_for_100_continue:
            self._transport.write(
                self._parser.send(
                    InformationalResponse(status_code=100, headers=[])
                )
            )

    def _dispatch(self) -> None:
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
                self._measure_network_time(),
            ),
        )

    def _measure_network_time(self) -> Seconds | None:
        is_first, self._has_requested = not self._has_requested, True
        round_trip_time = read_round_trip_time(self._transport)
        if round_trip_time is None:
            return None
        return 2 * round_trip_time if is_first else round_trip_time

    def _reject(self, status: int) -> None:
        self._is_lingering = True
        self._head = None
        self._body.clear()
        if self._parser.our_state is not ERROR:
            self._write(OutgoingResponse(status, []), is_last=True)
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._server.loop.call_later(_LINGER_TIME, self._transport.abort)
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
                self._parser.send(
                    Response(status_code=response.status, headers=headers)
                )
            ]
            if response.body:
                chunks.append(self._parser.send(Data(data=response.body)))
            chunks.append(self._parser.send(EndOfMessage()))
        except LocalProtocolError:
            self._transport.abort()
            return
        self._transport.write(b''.join(chunks))


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
    ) -> None:
        """Store the address and callbacks; `start` listens.

        `on_disconnect` is called when a caller disconnects before its
        response, `on_refused` with the status of each request that the
        server itself rejects.
        """
        self.loop = loop
        self.now = now
        self.on_request = on_request
        self.on_disconnect = on_disconnect
        self.on_refused = on_refused
        self.limits = ClientLimits()
        self.connections: set[CallerConnection] = set()
        self._host = host
        self._port = port
        self._server: Server | None = None
        self._timer: TimerHandle | None = None

    async def start(self) -> None:
        """Listen; raises OSError if the address is in use."""
        self._server = await self.loop.create_server(
            lambda: CallerConnection(self),
            self._host,
            self._port,
            backlog=_BACKLOG,
        )
        self._check_all_timeouts()

    def new_parser(self) -> Connection:
        """Return a parser that limits the size of a request head."""
        return Connection(
            SERVER, max_incomplete_event_size=self.limits.max_header_bytes
        )

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
        self._timer = self.loop.call_later(
            _TIMEOUT_CHECK_INTERVAL, self._check_all_timeouts
        )
