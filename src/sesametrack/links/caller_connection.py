"""One connection of a caller, which limits the size and time of requests."""

from asyncio import AbstractEventLoop, Transport
from dataclasses import dataclass
from typing import Protocol

from h11 import (
    DONE,
    MUST_CLOSE,
    InformationalResponse,
    LocalProtocolError,
)

from sesametrack.contracts.types import Instant, Seconds
from sesametrack.links.held_bytes import HeldBytes, ParseTurns
from sesametrack.links.receive_buffer import ReceivingProtocol
from sesametrack.links.request_reader import (
    ReadState,
    RequestReader,
    RequestRejectedError,
    encode_response,
)
from sesametrack.links.socket_options import (
    enable_dead_peer_detection,
    read_round_trip_time,
)
from sesametrack.routing.byte_allowance import Holding, Verdict
from sesametrack.routing.desired_state import ClientLimits
from sesametrack.routing.events import Headers

# Closing a socket with unread bytes sends a reset, which may discard the
# error response. A lingering close reads and discards input for this long.
_LINGER_TIME: Seconds = 1
# Smaller heads of requests without a body are not counted.
_SMALL_HEAD_BYTES = 4096
# 102 is an interim response (RFC 2518, section 10.1).
_STATUS_PROCESSING = 102
_STATUS_REQUEST_TIMEOUT = 408
_STATUS_UNAVAILABLE = 503
# Other VMs may have memory for what this one refuses.
_RETRY_AFTER = b'0.1'


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


class ConnectionOwner(Protocol):
    """The server of a connection."""

    loop: AbstractEventLoop
    limits: ClientLimits
    memory: HeldBytes
    turns: ParseTurns
    body_timeout: Seconds

    def now(self) -> Instant:
        """Return the current time."""

    def new_reader(self) -> RequestReader:
        """Return a reader of requests."""

    def add(self, connection: 'CallerConnection') -> None:
        """Add an open connection."""

    def remove(self, connection: 'CallerConnection') -> None:
        """Remove a connection that has ended."""

    def on_request(
        self, connection: 'CallerConnection', request: IncomingRequest
    ) -> None:
        """Handle a complete request."""

    def on_disconnect(self, connection: 'CallerConnection') -> None:
        """Handle the disconnection of a caller that awaits its response."""

    def on_refused(self, status: int) -> None:
        """Handle a request that the connection itself has rejected."""


class CallerConnection(ReceivingProtocol):
    """Server side of a caller's connection; handles one request at a time."""

    def __init__(self, server: ConnectionOwner) -> None:
        """Create a connection of the given server."""
        self._server = server
        self._transport: Transport | None = None
        self._reader = server.new_reader()
        self._holding: Holding | None = None
        self._last_activity_at: Instant = server.now()
        self._arrived_at: Instant | None = None
        self._is_lingering = False
        self._has_requested = False
        # Reasons not to read: a turn at parsing, or memory, is waited for.
        self._is_deferred = False
        self._is_waiting = False
        # Whether the caller leaves too much of a response unread.
        self._is_unread = False
        self.is_busy = False

    def connection_made(self, transport: Transport) -> None:
        """Store the transport and enable dead peer detection."""
        self._transport = transport
        enable_dead_peer_detection(transport)
        self._holding = self._server.memory.register(self)
        self._server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report a caller that disconnected before its response."""
        self._server.remove(self)
        self._server.memory.remove(self._holding)
        self._is_lingering = True
        if self.is_busy:
            self.is_busy = False
            self._server.on_disconnect(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of a request."""
        if self._is_lingering:
            return
        self._reader.receive(data)
        if self.is_busy or self._is_unread:
            self._hold_pipelined(len(data))
            return
        if self._arrived_at is None:
            self._arrived_at = self._server.now()
        self._last_activity_at = self._server.now()
        if not self._is_deferred:
            self._read_request()

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its sending side."""
        return False

    def pause_writing(self) -> None:
        """Read no further request until the response has been taken."""
        self._is_unread = True

    def resume_writing(self) -> None:
        """Read the next request, as the response has been taken."""
        self._is_unread = False
        if not self.is_busy and not self._transport.is_closing():
            self._record_unread()
            self._begin_next_request()

    def send_processing(self) -> None:
        """Send a 102 (Processing) response for the current request."""
        if not self.is_busy:
            return
        self._transport.write(
            self._reader.parser.send(
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
        parser = self._reader.parser
        is_last = is_last or parser.our_state is MUST_CLOSE
        self._arrived_at = None
        self._write(response, is_last=is_last)
        self._record_unread()
        if is_last or parser.our_state is not DONE:
            self._transport.close()
            return
        if parser.their_state is not DONE:
            self._transport.close()
            return
        parser.start_next_cycle()
        self._last_activity_at = self._server.now()
        if not self._is_unread:
            self._begin_next_request()

    def check_timeouts(self, now: Instant, limits: ClientLimits) -> None:
        """Close the connection if a timeout has expired."""
        if self._holding.is_unfinished and self._arrived_at is None:
            self._record_unread()
        if self.is_busy or self._is_lingering:
            return
        idle_time = now - self._last_activity_at
        if self._arrived_at is None:
            if idle_time > limits.idle_timeout:
                self._transport.close()
        elif now - self._arrived_at > limits.header_timeout and (
            not self._reader.has_head or idle_time > limits.header_timeout
        ):
            self._reject(_STATUS_REQUEST_TIMEOUT)
        elif now - self._arrived_at > self._server.body_timeout:
            self._server.memory.record_limited('body-timeout')
            self._reject(_STATUS_REQUEST_TIMEOUT)

    @property
    def is_closing(self) -> bool:
        """Return whether the connection closes once all is written."""
        return self._transport.is_closing()

    @property
    def last_activity_at(self) -> Instant:
        """Return when the caller was last heard or answered."""
        return self._last_activity_at

    def close_if_idle(self) -> None:
        """Close the connection unless a request has begun."""
        if not self.is_busy and self._arrived_at is None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection immediately."""
        self._transport.abort()

    def evict(self) -> None:
        """End the exchange, in which the caller does not go on."""
        if self._is_lingering or self._transport.get_write_buffer_size():
            self._transport.abort()
        else:
            self._reject(_STATUS_REQUEST_TIMEOUT)

    def refuse(self) -> None:
        """Refuse the request that is being read, for lack of memory."""
        self._reject(_STATUS_UNAVAILABLE)

    def read_on(self) -> None:
        """Go on reading, as there is memory again."""
        self._is_waiting = False
        self._last_activity_at = self._server.now()
        if not self._is_deferred:
            self._read_request()

    def _take_turn(self) -> None:
        self._is_deferred = False
        if self._is_lingering:
            return
        self._last_activity_at = self._server.now()
        if not self._is_waiting:
            self._read_request()

    def _hold_pipelined(self, size: int) -> None:
        """Close the connection if too much waits behind its request.

        Reading can't be paused instead, as the end of the connection would
        go unnoticed.
        """
        limits = self._server.limits
        waiting = self._reader.held_bytes
        if waiting > limits.max_header_bytes + limits.max_body_bytes:
            self._transport.abort()
        elif self._is_unread and not self.is_busy:
            self._record_unread()
        elif not self._server.memory.hold(
            self._holding, self._holding.size + size
        ):
            self._transport.abort()

    def _begin_next_request(self) -> None:
        if self._reader.held_bytes:
            self._arrived_at = self._last_activity_at
            self._read_request()

    def _read_request(self) -> None:
        try:
            state = self._reader.read(
                self._server.limits, self._transport.write
            )
        except RequestRejectedError as rejection:
            self._reject(rejection.status)
            return
        if state is ReadState.complete:
            self._transport.resume_reading()
            self._dispatch()
            return
        if state is ReadState.closed:
            self._is_lingering = True
            self._transport.close()
            return
        if self._reader.held_bytes:
            self._hold_incomplete()
        if self._is_lingering:
            return
        if state is ReadState.deferred:
            self._is_deferred = True
            self._server.turns.add(self._take_turn)
        if self._is_deferred or self._is_waiting:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _hold_incomplete(self) -> None:
        verdict = self._server.memory.read(
            self._holding, self._reader.held_bytes
        )
        if verdict is Verdict.refuse:
            self._reject(_STATUS_UNAVAILABLE)
        elif verdict is Verdict.wait:
            self._is_waiting = True

    def _dispatch(self) -> None:
        head, body = self._reader.take()
        self.is_busy = True
        size = self._reader.held_bytes
        if body or self._reader.head_bytes > _SMALL_HEAD_BYTES:
            # Sending it on takes a second copy.
            size += 2 * (len(body) + self._reader.head_bytes)
        if size and not self._server.memory.hold(self._holding, size):
            self.is_busy = False
            self._reject(_STATUS_UNAVAILABLE)
            return
        if self._holding.size and not size:
            self._server.memory.release(self._holding)
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
        headers = []
        if status == _STATUS_UNAVAILABLE:
            headers.append((b'retry-after', _RETRY_AFTER))
        self._write(OutgoingResponse(status, headers), is_last=True)
        self._is_lingering = True
        self._is_waiting = False
        self._reader.discard()
        self._server.memory.release(self._holding)
        self._transport.resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._server.loop.call_later(_LINGER_TIME, self._transport.abort)
        self._server.on_refused(status)

    def _write(self, response: OutgoingResponse, *, is_last: bool) -> None:
        try:
            encoded = encode_response(
                self._reader.parser,
                response.status,
                response.headers,
                response.body,
                is_last=is_last,
            )
        except LocalProtocolError:
            self._transport.abort()
            return
        self._transport.write(encoded)

    def _record_unread(self) -> None:
        """Hold what the caller has not taken of a response."""
        size = self._transport.get_write_buffer_size()
        if size:
            size += self._reader.held_bytes
            self._server.memory.queue_response(self._holding, size)
        elif self._holding.size:
            self._server.memory.release(self._holding)
