"""Reading of one connection's requests, with limits on size and work."""

from collections.abc import Callable
from enum import Enum

from h11 import (
    ERROR,
    NEED_DATA,
    PAUSED,
    SERVER,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    InformationalResponse,
    RemoteProtocolError,
    Request,
    Response,
)

from sesametrack.contracts.exceptions import SesametrackError
from sesametrack.routing.desired_state import ClientLimits
from sesametrack.routing.events import Headers

# Each chunk of a body takes one event and some microseconds. A connection that
# has more of them ready takes turns with the others.
_EVENTS_PER_TURN = 64
_STATUS_BAD_REQUEST = 400
_STATUS_CONTENT_TOO_LARGE = 413
_STATUS_HEADERS_TOO_LARGE = 431


class ReadState(Enum):
    """What reading a request has come to."""

    incomplete = 'incomplete'
    # More of the request has arrived than one turn may parse.
    deferred = 'deferred'
    complete = 'complete'
    closed = 'closed'


class RequestRejectedError(SesametrackError):
    """The request exceeds a limit or violates the protocol."""

    def __init__(self, status: int) -> None:
        """Store the status of the response."""
        super().__init__(f'rejected with status {status}')
        self.status = status


class RequestReader:
    """Parses the requests of one connection, one at a time."""

    def __init__(self, max_header_bytes: int) -> None:
        """Create a parser that limits the size of a request head."""
        self.parser = Connection(
            SERVER, max_incomplete_event_size=max_header_bytes
        )
        # Size of the last head.
        self.head_bytes = 0
        self._max_header_bytes = max_header_bytes
        self._head: Request | None = None
        self._is_chunked = False
        self._body = bytearray()
        # At least the number of received bytes that are not parsed.
        self._unparsed_bytes = 0

    @property
    def has_head(self) -> bool:
        """Return whether the head of the current request is complete."""
        return self._head is not None

    @property
    def held_bytes(self) -> int:
        """Number of bytes of requests that are not complete."""
        return len(self._body) + self._unparsed_bytes

    def receive(self, data: bytes) -> None:
        """Store received bytes, which `read` parses."""
        self.parser.receive_data(data)
        self._unparsed_bytes += len(data)

    def read(
        self, limits: ClientLimits, write: Callable[[bytes], None]
    ) -> ReadState:
        """Parse as much of the current request as one turn may.

        Raises RequestRejectedError.
        """
        for _ in range(_EVENTS_PER_TURN):
            try:
                event = self.parser.next_event()
            except RemoteProtocolError as error:
                raise RequestRejectedError(
                    error.error_status_hint or _STATUS_BAD_REQUEST
                ) from error
            if event is NEED_DATA or event is PAUSED:
                self._record_parsed()
                return ReadState.incomplete
            if isinstance(event, EndOfMessage):
                return ReadState.complete
            if isinstance(event, ConnectionClosed):
                return ReadState.closed
            self._handle_event(event, limits, write)
        return ReadState.deferred

    def take(self) -> tuple[Request, bytes]:
        """Return the head and body of a complete request."""
        head, self._head = self._head, None
        body = b''
        if self._body:
            body = bytes(self._body)
            self._body = bytearray()
        self._unparsed_bytes = len(self.parser.trailing_data[0])
        return head, body

    def discard(self) -> None:
        """Drop all bytes, once the connection reads no more requests."""
        self._head = None
        self._body = bytearray()
        self._unparsed_bytes = 0
        self.parser = Connection(SERVER)

    def _record_parsed(self) -> None:
        if self._head is None:
            # An incomplete head stays with the parser.
            return
        # Only the frame of a chunk may stay there.
        frame = self._max_header_bytes if self._is_chunked else 0
        self._unparsed_bytes = min(self._unparsed_bytes, frame)

    def _handle_event(
        self,
        event: object,
        limits: ClientLimits,
        write: Callable[[bytes], None],
    ) -> None:
        if isinstance(event, Data):
            self._body.extend(event.data)
            if len(self._body) > limits.max_body_bytes:
                raise RequestRejectedError(_STATUS_CONTENT_TOO_LARGE)
        elif isinstance(event, Request):
            self._head = event
            self.head_bytes = _check_head(event, limits)
            self._is_chunked = any(
                name == b'transfer-encoding' for name, _ in event.headers
            )
            if self.parser.they_are_waiting_for_100_continue:
                interim = InformationalResponse(status_code=100, headers=[])
                write(self.parser.send(interim))


def _check_head(head: Request, limits: ClientLimits) -> int:
    """Return the size of a head; raises RequestRejectedError."""
    headers = list(head.headers)
    size = sum(len(name) + len(text) + 4 for name, text in headers)
    size += len(head.target)
    names = [name for name, _ in headers]
    lengths = [text for name, text in headers if name == b'content-length']
    if size > limits.max_header_bytes:
        raise RequestRejectedError(_STATUS_HEADERS_TOO_LARGE)
    if b'transfer-encoding' in names and lengths:
        # Conflicting framing headers allow request smuggling.
        raise RequestRejectedError(_STATUS_BAD_REQUEST)
    if lengths and int(lengths[0]) > limits.max_body_bytes:
        raise RequestRejectedError(_STATUS_CONTENT_TOO_LARGE)
    return size


def encode_response(
    parser: Connection,
    status: int,
    response_headers: Headers,
    body: bytes,
    *,
    is_last: bool,
) -> bytes:
    """Return the bytes of a response, empty if there must be none.

    Raises LocalProtocolError if the parser can't send one.
    """
    if parser.our_state is ERROR:
        return b''
    headers = [
        *response_headers,
        (b'content-length', str(len(body)).encode()),
    ]
    if is_last:
        headers.append((b'connection', b'close'))
    chunks = [parser.send(Response(status_code=status, headers=headers))]
    if body:
        chunks.append(parser.send(Data(data=body)))
    chunks.append(parser.send(EndOfMessage()))
    return b''.join(chunks)
