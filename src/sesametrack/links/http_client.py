"""HTTP/1.1 client connection over h11."""

from asyncio import (
    StreamReader,
    StreamWriter,
    open_connection,
    wait_for,
)

from h11 import (
    CLIENT,
    DONE,
    IDLE,
    NEED_DATA,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    LocalProtocolError,
    RemoteProtocolError,
    Request,
    Response,
)

from sesametrack.contracts.exceptions import ProtocolError
from sesametrack.contracts.settings import split_address
from sesametrack.contracts.types import Address, Seconds
from sesametrack.links.http import (
    HttpRequest,
    HttpResponse,
    decode_headers,
    is_close_announced,
)
from sesametrack.links.socket_options import enable_dead_peer_detection

_READ_SIZE = 65536
# A listing of 24,000 upstreams takes 6 MB. The head is limited by h11.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_MAX_INTERIM_RESPONSES = 8
_FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))
_BODILESS_STATUSES = frozenset((204, 304))


class HttpConnection:
    """One connection to a server; sends one request at a time."""

    def __init__(self, address: Address) -> None:
        """Store the server's address; `start` connects."""
        self._address = address
        self._host, self._port = split_address(address)
        self._reader: StreamReader | None = None
        self._writer: StreamWriter | None = None
        self._protocol = Connection(CLIENT)
        self._received_bytes = 0

    async def start(self, timeout: Seconds) -> None:
        """Connect; raises OSError, or TimeoutError after `timeout`."""
        self._reader, self._writer = await wait_for(
            open_connection(self._host, self._port), timeout
        )
        enable_dead_peer_detection(self._writer.transport)

    async def close(self) -> None:
        """Close the socket without waiting for the peer."""
        self.abort()

    def abort(self) -> None:
        """Close the socket immediately."""
        if self._writer is not None:
            self._writer.transport.abort()

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent."""
        return self._protocol.our_state is IDLE

    @property
    def is_closed(self) -> bool:
        """Return whether the connection is closed, by either side."""
        return self._reader.at_eof() or self._writer.is_closing()

    def write(self, request: HttpRequest) -> None:
        """Write a request to the socket buffer."""
        headers = [
            ('host', self._address),
            ('content-length', str(len(request.body))),
            *request.headers.items(),
        ]
        head = Request(
            method=request.method, target=request.path, headers=headers
        )
        chunks = [self._protocol.send(head)]
        if request.body:
            chunks.append(self._protocol.send(Data(data=request.body)))
        chunks.append(self._protocol.send(EndOfMessage()))
        self._writer.write(b''.join(chunks))

    async def read(self) -> HttpResponse:
        """Read the next response; raises OSError, EOFError, ProtocolError.

        When awaited before a request is written, it raises EOFError once the
        server closes the idle connection.
        """
        self._received_bytes = 0
        head = await self._read_head()
        body = bytearray()
        event = await self._next_event()
        while isinstance(event, Data):
            body.extend(event.data)
            if len(body) > MAX_RESPONSE_BYTES:
                self.abort()
                raise ProtocolError(f'{self._address}: the body is too large')
            event = await self._next_event()
        if not isinstance(event, EndOfMessage) or _is_maybe_truncated(head):
            raise EOFError(f'{self._address} closed inside a response')
        self._start_next_cycle()
        return HttpResponse(
            head.status_code, bytes(body), decode_headers(head.headers)
        )

    async def exchange(
        self, request: HttpRequest, timeout: Seconds
    ) -> HttpResponse:
        """Send a request and return its response.

        Raises TimeoutError if the response is not complete after `timeout`,
        and the errors of `read`.
        """
        self.write(request)
        return await wait_for(self.read(), timeout)

    async def _read_head(self) -> Response:
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            head = await self._next_event()
            if isinstance(head, Response):
                return head
            if isinstance(head, ConnectionClosed):
                raise EOFError(f'{self._address} closed the connection')
        raise ProtocolError(f'{self._address}: too many interim responses')

    def _start_next_cycle(self) -> None:
        states = {self._protocol.our_state, self._protocol.their_state}
        if states == {DONE}:
            self._protocol.start_next_cycle()

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._protocol.next_event()
            except (RemoteProtocolError, LocalProtocolError) as error:
                raise ProtocolError(f'{self._address}: {error}') from error
            if event is not NEED_DATA:
                return event
            chunk = await self._reader.read(_READ_SIZE)
            self._received_bytes += len(chunk)
            if self._received_bytes > 2 * MAX_RESPONSE_BYTES:
                self.abort()
                raise ProtocolError(f'{self._address}: too many bytes')
            self._protocol.receive_data(chunk)


def _is_maybe_truncated(head: Response) -> bool:
    """Return whether the end of the connection may have cut a response.

    It delimits a response without framing headers. A server that means it
    announces it; otherwise a line of the head may be missing.
    """
    headers = list(head.headers)
    if head.status_code in _BODILESS_STATUSES:
        return False
    if _FRAMING_HEADERS & {name for name, _ in headers}:
        return False
    return not is_close_announced(head.http_version, headers)
