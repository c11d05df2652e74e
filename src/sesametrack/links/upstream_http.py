"""An HTTP connection to an upstream that matches replies to requests."""

from asyncio import Transport
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from sesametrack.contracts.types import Instant, Seconds
from sesametrack.links.receive_buffer import ReceivingProtocol
from sesametrack.links.reply_parser import (
    PARSER_ERRORS,
    CompleteReply,
    ReplyMemory,
    ReplyParser,
)
from sesametrack.links.socket_options import (
    enable_dead_peer_detection,
    reset_on_close,
)
from sesametrack.routing.events import Headers, UpstreamReply
from sesametrack.telemetry.traffic import Traffic

# The connection is closed after more replies than this to other requests.
_MAX_UNMATCHED_REPLIES = 2
# Assumed for an upstream that sends no Keep-Alive header.
_DEFAULT_KEEP_ALIVE_TIMEOUT: Seconds = 4

# Returns a reply built from status, headers and body, or None if these belong
# to another request.
ReplyReader = Callable[[int, Headers, bytes], UpstreamReply | None]


class ConnectionState(Enum):
    """State of a connection."""

    connecting = 'connecting'
    idle = 'idle'
    busy = 'busy'
    closed = 'closed'


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request to be written to the socket."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class UpstreamConnection(ReceivingProtocol):
    """A connection to an upstream; sends one request at a time.

    `on_idle` is called when the connection can send a request, `on_reply`
    with the reply to the request, `on_interim` for interim responses, and
    `on_end` once, when an open connection is closed.
    """

    def __init__(
        self,
        now: Callable[[], Instant],
        on_idle: Callable[['UpstreamConnection'], None],
        on_reply: Callable[['UpstreamConnection', UpstreamReply], None],
        on_end: Callable[['UpstreamConnection', str], None],
        on_interim: Callable[['UpstreamConnection'], None],
        memory: ReplyMemory | None = None,
        traffic: Traffic | None = None,
    ) -> None:
        """Store the clock, the callbacks and the limit of large replies."""
        self.state = ConnectionState.connecting
        self.attempt_id: int | None = None
        # Of the last request that was sent.
        self.request_id = ''
        self.idle_since: Instant = 0
        self.opened_at: Instant = float('inf')
        self.replied_at: Instant = float('-inf')
        self.keep_alive_timeout: Seconds = _DEFAULT_KEEP_ALIVE_TIMEOUT
        self._traffic = traffic
        self._kind = ''
        self._now = now
        self._on_idle = on_idle
        self._on_reply = on_reply
        self._on_end = on_end
        self._on_interim = on_interim
        self._transport: Transport | None = None
        self._memory = memory or ReplyMemory()
        self._unsent_bytes = 0
        self._parser = ReplyParser(self._memory)
        self._read_reply: ReplyReader | None = None
        self._unmatched_replies = 0
        self._request_count = 0
        self._why = 'closed'
        # Whether this VM ended the connection, and whether its path failed.
        self.is_aborted = False
        self.has_failed = False

    def connection_made(self, transport: Transport) -> None:
        """Store the transport and call `on_idle`, unless aborted already."""
        self._transport = transport
        self.opened_at = self._now()
        enable_dead_peer_detection(transport)
        if self.state is ConnectionState.closed:
            transport.abort()
            return
        self._become_idle()

    def send(
        self,
        attempt_id: int,
        request: OutgoingRequest,
        read_reply: ReplyReader,
        kind: str = '',
    ) -> None:
        """Write a request to the socket; its kind is that of the traffic."""
        self.state = ConnectionState.busy
        self.attempt_id = attempt_id
        self._read_reply = read_reply
        self._unmatched_replies = 0
        self._request_count += 1
        self._parser.expects_no_body = request.method == b'HEAD'
        encoded = _encode(request)
        self._kind = kind
        if self._traffic is not None:
            self._traffic.record_sent(kind, len(encoded))
        self._transport.write(encoded)

    def pause_writing(self) -> None:
        """Count a request that the upstream does not read."""
        self._unsent_bytes = self._transport.get_write_buffer_size()
        self._memory.unsent_bytes += self._unsent_bytes

    def resume_writing(self) -> None:
        """Stop counting a request that has been sent."""
        self._memory.unsent_bytes -= self._unsent_bytes
        self._unsent_bytes = 0

    def abort(self, why: str) -> None:
        """Close the connection; a request in progress resets it.

        `on_end` is called in a later loop iteration.
        """
        self._why = why
        self.is_aborted = True
        if self._transport is None:
            self.state = ConnectionState.closed
            return
        if self.state is ConnectionState.busy:
            reset_on_close(self._transport)
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and handle the complete replies."""
        if self._traffic is not None:
            self._traffic.record_received(self._kind, len(data))
        if self.state is not ConnectionState.busy:
            # No request is in progress, so the bytes belong to none.
            self.abort('unasked bytes')
            return
        try:
            replies = self._parser.feed(data)
        except PARSER_ERRORS as error:
            self._handle_replies(self._parser.completed_replies())
            self.abort(f'not a reply: {error}')
            return
        if not self._parser.may_read:
            self._transport.pause_reading()
            self._memory.wait(self._parser, self._transport.resume_reading)
        if self._parser.pop_interim_count():
            self._on_interim(self)
        self._handle_replies(replies)

    def eof_received(self) -> bool:
        """Complete a reply that is delimited by the end of the connection."""
        unframed_reply = self._parser.finish()
        if unframed_reply is not None and self.state is ConnectionState.busy:
            self._handle_replies([unframed_reply])
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Call `on_end` unless the connection was closed before."""
        previous_state = self.state
        self.state = ConnectionState.closed
        self.has_failed = exc is not None and not self.is_aborted
        self._parser.close()
        self.resume_writing()
        why = repr(exc) if exc is not None else self._why
        if previous_state is not ConnectionState.closed:
            self._on_end(self, why)

    def _handle_replies(self, replies: list[CompleteReply]) -> None:
        """Handle replies up to the one that belongs to the request."""
        for position, complete_reply in enumerate(replies):
            reply = self._read_reply(
                complete_reply.status,
                complete_reply.headers,
                complete_reply.body,
            )
            if reply is not None:
                if not reply.is_identified and self._request_count > 1:
                    # It may be a late copy of the reply to an earlier one.
                    self.abort('reply without an id')
                    return
                is_last = position == len(replies) - 1
                self._end_exchange(complete_reply, reply, is_last=is_last)
                return
            # The reply belongs to another request; the right one may follow.
            self._unmatched_replies += 1
            if (
                self._unmatched_replies > _MAX_UNMATCHED_REPLIES
                or not complete_reply.is_reusable
            ):
                self.abort('reply to another request')
                return

    def _end_exchange(
        self,
        complete_reply: CompleteReply,
        reply: UpstreamReply,
        *,
        is_last: bool,
    ) -> None:
        self.replied_at = self._now()
        self._read_keep_alive_timeout(complete_reply.headers)
        self._on_reply(self, reply)
        self.attempt_id = None
        if self.state is not ConnectionState.busy:
            return
        # Bytes after the reply belong to no request.
        if (
            complete_reply.is_reusable
            and is_last
            and not self._parser.is_in_reply
        ):
            self._become_idle()
        else:
            self.abort('not reusable')

    def _read_keep_alive_timeout(self, headers: Headers) -> None:
        for name, text in headers:
            if name != b'keep-alive':
                continue
            for part in text.split(b','):
                key, _, number = part.strip().partition(b'=')
                if key.lower() == b'timeout' and number.isdigit():
                    self.keep_alive_timeout = int(number)

    def _become_idle(self) -> None:
        self.state = ConnectionState.idle
        self.idle_since = self._now()
        self._on_idle(self)


def _encode(request: OutgoingRequest) -> bytes:
    """Return a request's bytes; headers must come from parsed requests."""
    lines = [b'%b %b HTTP/1.1\r\n' % (request.method, request.target)]
    lines.extend(b'%b: %b\r\n' % (name, text) for name, text in request.headers)
    lines.append(b'\r\n')
    lines.append(request.body)
    return b''.join(lines)
