"""One HTTP connection to an upstream, and the reply that belongs to it."""

from asyncio import Protocol, Transport
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from h11 import (
    CLIENT,
    DONE,
    NEED_DATA,
    PAUSED,
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
from sesametrack.links.sockets import notice_silence
from sesametrack.routing.events import Headers, UpstreamReply

# A reply that grows beyond this is given up.
_MAX_REPLY_BYTES = 8 * 1024 * 1024
# Replies to other requests that are passed over before the connection is
# given up.
_MAX_STRAYS = 2
# Idle time that servers allow which state none.
_DEFAULT_KEEP: Seconds = 4

# Makes a reply of status, headers and body; None if it does not belong to
# the request.
ReplyReader = Callable[[int, Headers, bytes], UpstreamReply | None]


class ConnectionState(Enum):
    """What a connection is doing."""

    connecting = 'connecting'
    idle = 'idle'
    busy = 'busy'
    closed = 'closed'


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request as it goes to the socket."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class UpstreamConnection(Protocol):
    """Owns one socket; serves one request at a time.

    `on_reply` gets the reply that belongs to the request, `on_end` is
    called once when the connection is gone, `on_idle` when it may take the
    next request.
    """

    def __init__(
        self,
        now: Callable[[], Instant],
        on_idle: Callable[['UpstreamConnection'], None],
        on_reply: Callable[['UpstreamConnection', UpstreamReply], None],
        on_end: Callable[['UpstreamConnection', str], None],
    ) -> None:
        """Bind the owner's callbacks."""
        self.state = ConnectionState.connecting
        self.attempt_id: int | None = None
        self.idle_since: Instant = 0
        self.keep: Seconds = _DEFAULT_KEEP
        self._now = now
        self._on_idle = on_idle
        self._on_reply = on_reply
        self._on_end = on_end
        self._transport: Transport | None = None
        self._http = Connection(CLIENT)
        self._head: Response | None = None
        self._body = bytearray()
        self._read_reply: ReplyReader | None = None
        self._request: OutgoingRequest | None = None
        self._strays = 0
        self._why = 'closed'

    def connection_made(self, transport: Transport) -> None:
        """Keep the transport; the owner is told by `on_idle`."""
        self._transport = transport
        notice_silence(transport)
        if self.state is ConnectionState.closed:
            transport.abort()
            return
        self._rest()

    def send(
        self,
        attempt_id: int,
        request: OutgoingRequest,
        read_reply: ReplyReader,
    ) -> None:
        """Hand a request to the socket."""
        self.state = ConnectionState.busy
        self.attempt_id = attempt_id
        self._request = request
        self._read_reply = read_reply
        self._strays = 0
        self._transport.write(self._begin(request))

    def abort(self, why: str) -> None:
        """Close the socket at once; `on_end` is called soon."""
        self._why = why
        if self._transport is None:
            self.state = ConnectionState.closed
            return
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Take bytes of a reply."""
        if self.state is not ConnectionState.busy:
            # Nothing is asked for, so the bytes belong to no request.
            self.abort('unasked bytes')
            return
        self._http.receive_data(data)
        self._read_events()

    def eof_received(self) -> bool:
        """Take the end of the upstream's bytes, which may end a reply."""
        if self.state is ConnectionState.busy:
            self._http.receive_data(b'')
            self._read_events()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        was = self.state
        self.state = ConnectionState.closed
        why = repr(exc) if exc is not None else self._why
        if was is not ConnectionState.closed:
            self._on_end(self, why)

    def _begin(self, request: OutgoingRequest) -> bytes:
        head = Request(
            method=request.method,
            target=request.target,
            headers=request.headers,
        )
        chunks = [self._http.send(head)]
        if request.body:
            chunks.append(self._http.send(Data(data=request.body)))
        chunks.append(self._http.send(EndOfMessage()))
        return b''.join(chunks)

    def _read_events(self) -> None:
        try:
            while self.state is ConnectionState.busy:
                event = self._http.next_event()
                if event is NEED_DATA or event is PAUSED:
                    return
                self._take(event)
        except (RemoteProtocolError, LocalProtocolError) as broken:
            self.abort(f'not a reply: {broken}')

    def _take(self, event: object) -> None:
        if isinstance(event, InformationalResponse):
            return
        if isinstance(event, Response):
            self._head = event
        elif isinstance(event, Data):
            self._body.extend(event.data)
            if len(self._body) > _MAX_REPLY_BYTES:
                self.abort('reply too large')
        elif isinstance(event, EndOfMessage):
            self._end_reply()
        elif isinstance(event, ConnectionClosed):
            self.abort('closed before the reply')

    def _end_reply(self) -> None:
        head, body = self._head, bytes(self._body)
        self._head = None
        self._body.clear()
        headers = [(name, text) for name, text in head.headers]
        reply = self._read_reply(head.status_code, headers, body)
        trailing, is_closed = self._http.trailing_data
        if reply is None:
            self._pass_over(trailing)
            return
        self._read_keep(headers)
        is_reusable = (
            self._http.our_state is DONE
            and self._http.their_state is DONE
            and not trailing
            and not is_closed
        )
        if is_reusable:
            self._http.start_next_cycle()
        self._on_reply(self, reply)
        self.attempt_id = None
        self._request = None
        if is_reusable and self.state is ConnectionState.busy:
            self._rest()
        elif not is_reusable:
            self.abort('not reusable')

    def _pass_over(self, trailing: bytes) -> None:
        """Wait for the next reply: this one belongs to another request."""
        self._strays += 1
        may_follow = (
            self._http.our_state is DONE and self._http.their_state is DONE
        )
        if self._strays > _MAX_STRAYS or not may_follow:
            self.abort('reply to another request')
            return
        # The parser reads one reply a request, so a fresh one is told of
        # the request again without sending it.
        self._http = Connection(CLIENT)
        self._begin(self._request)
        if trailing:
            self._http.receive_data(trailing)

    def _read_keep(self, headers: Headers) -> None:
        for name, text in headers:
            if name != b'keep-alive':
                continue
            for part in text.split(b','):
                key, _, number = part.strip().partition(b'=')
                if key.lower() == b'timeout' and number.isdigit():
                    self.keep = int(number)

    def _rest(self) -> None:
        self.state = ConnectionState.idle
        self.idle_since = self._now()
        self._on_idle(self)
