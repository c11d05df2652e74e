"""One HTTP connection to an upstream, and the reply that belongs to it."""

from asyncio import Protocol, Transport
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from sesametrack.contracts.types import Instant, Seconds
from sesametrack.links.reply_parser import (
    PARSER_ERRORS,
    ReplyParser,
    WholeReply,
)
from sesametrack.links.socket_options import (
    enable_dead_peer_detection,
    reset_on_close,
)
from sesametrack.routing.events import Headers, UpstreamReply

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
    next request, `on_interim` when an interim response has come.
    """

    def __init__(
        self,
        now: Callable[[], Instant],
        on_idle: Callable[['UpstreamConnection'], None],
        on_reply: Callable[['UpstreamConnection', UpstreamReply], None],
        on_end: Callable[['UpstreamConnection', str], None],
        on_interim: Callable[['UpstreamConnection'], None],
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
        self._on_interim = on_interim
        self._transport: Transport | None = None
        self._parser = ReplyParser()
        self._read_reply: ReplyReader | None = None
        self._strays = 0
        self._why = 'closed'

    def connection_made(self, transport: Transport) -> None:
        """Keep the transport; the owner is told by `on_idle`."""
        self._transport = transport
        enable_dead_peer_detection(transport)
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
        self._read_reply = read_reply
        self._strays = 0
        self._parser.is_without_body = request.method == b'HEAD'
        self._transport.write(_encode(request))

    def abort(self, why: str) -> None:
        """Close the socket at once; `on_end` is called soon."""
        self._why = why
        if self._transport is None:
            self.state = ConnectionState.closed
            return
        if self.state is ConnectionState.busy:
            reset_on_close(self._transport)
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Take bytes of a reply."""
        if self.state is not ConnectionState.busy:
            # Nothing is asked for, so the bytes belong to no request.
            self.abort('unasked bytes')
            return
        try:
            replies = self._parser.feed(data)
        except PARSER_ERRORS as broken:
            self._take_all(self._parser.take_whole())
            self.abort(f'not a reply: {broken}')
            return
        if self._parser.take_interims():
            self._on_interim(self)
        self._take_all(replies)

    def eof_received(self) -> bool:
        """Take the end of the upstream's bytes, which may end a reply."""
        last = self._parser.finish()
        if last is not None and self.state is ConnectionState.busy:
            self._take_all([last])
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        was = self.state
        self.state = ConnectionState.closed
        why = repr(exc) if exc is not None else self._why
        if was is not ConnectionState.closed:
            self._on_end(self, why)

    def _take_all(self, replies: list[WholeReply]) -> None:
        """Take replies up to the one that belongs to the request."""
        for position, whole in enumerate(replies):
            reply = self._read_reply(whole.status, whole.headers, whole.body)
            if reply is not None:
                is_last = position == len(replies) - 1
                self._end_exchange(whole, reply, is_last=is_last)
                return
            # It belongs to another request; this one's may follow.
            self._strays += 1
            if self._strays > _MAX_STRAYS or not whole.is_reusable:
                self.abort('reply to another request')
                return

    def _end_exchange(
        self, whole: WholeReply, reply: UpstreamReply, *, is_last: bool
    ) -> None:
        self._read_keep(whole.headers)
        self._on_reply(self, reply)
        self.attempt_id = None
        if self.state is not ConnectionState.busy:
            return
        # Bytes behind the reply belong to no request.
        if whole.is_reusable and is_last and not self._parser.is_inside:
            self._rest()
        else:
            self.abort('not reusable')

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


def _encode(request: OutgoingRequest) -> bytes:
    """Return a request's bytes; its headers come from parsed requests."""
    lines = [b'%b %b HTTP/1.1\r\n' % (request.method, request.target)]
    lines.extend(b'%b: %b\r\n' % (name, text) for name, text in request.headers)
    lines.append(b'\r\n')
    lines.append(request.body)
    return b''.join(lines)
