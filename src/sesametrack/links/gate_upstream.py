"""Connections from a gate to an upstream."""

from asyncio import Queue, Task, create_task
from collections.abc import Callable
from logging import getLogger

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import Decoder

from sesametrack.contracts.exceptions import ProtocolError
from sesametrack.contracts.messages import SubQuery
from sesametrack.contracts.snapshots import Holding, Snapshot
from sesametrack.contracts.types import Address, Instant, Seconds, SubQueryId
from sesametrack.links.http import HttpRequest, HttpResponse
from sesametrack.links.http_client import HttpConnection
from sesametrack.upstreams.events import (
    ConnectionEnded,
    ConnectionOpened,
    LoadReported,
    ProbeAnswered,
    Response,
    ResponseKind,
    ResponseReceived,
    UpstreamEvent,
)

_CONNECT_TIMEOUT: Seconds = 1
_CALL_TIMEOUT: Seconds = 0.5
_MS_PER_S = 1000
_OK = 200
_KIND_BY_STATUS = {
    200: ResponseKind.answered,
    410: ResponseKind.snapshot_gone,
    429: ResponseKind.shed,
    499: ResponseKind.cancelled,
    503: ResponseKind.draining,
}
_log = getLogger('upstream')

EventHandler = Callable[[UpstreamEvent], None]


class LoadReport(Struct, frozen=True):
    """Load reported by an upstream; it may be out of date or wrong."""

    in_flight: int
    draining: bool = False
    cold: bool = False
    holdings: list[Holding] = []


_report_decoder = Decoder(LoadReport)


class SubQueryConnection:
    """One pooled connection to an upstream, read by its own task.

    Nothing is sent twice, because the policy decides about retries.
    """

    def __init__(
        self, number: int, address: Address, on_event: EventHandler
    ) -> None:
        """Store the number and event handler; `start` connects."""
        self._number = number
        self._on_event = on_event
        self._http = HttpConnection(address)
        self._expected_id: SubQueryId | None = None
        self._is_probing = False
        self._task: Task | None = None

    def start(self) -> None:
        """Connect and report events until `close`."""
        self._task = create_task(self._run())

    def close(self) -> None:
        """Close the socket immediately; no further event is reported."""
        if self._task is not None:
            self._task.cancel()
        self._http.abort()

    def search(self, sub_query: SubQuery, remaining: Seconds) -> None:
        """Send a sub-query with the time remaining for it."""
        self._expected_id = sub_query.id
        self._http.write(_search_request(sub_query, remaining))

    def probe(self) -> None:
        """Request the load report to check that the upstream responds."""
        self._is_probing = True
        self._http.write(_load_request())

    async def _run(self) -> None:
        try:
            await self._http.start(_CONNECT_TIMEOUT)
            self._on_event(ConnectionOpened(self._number))
            is_reusable = True
            while is_reusable:
                reply = await self._http.read()
                # Read before the reply is passed on, because the policy may
                # send the next request from the event handler.
                is_reusable = self._http.is_reusable
                self._handle_reply(reply, is_reusable=is_reusable)
        except (OSError, EOFError, TimeoutError, ProtocolError) as error:
            _log.debug('connection closed: %r', error)
            self._on_event(ConnectionEnded(self._number))
        finally:
            self._http.abort()

    def _handle_reply(self, reply: HttpResponse, *, is_reusable: bool) -> None:
        if self._is_probing:
            self._is_probing = False
            self._on_event(ProbeAnswered(self._number))
            return
        if reply.headers.get('x-request-id') != self._expected_id:
            raise ProtocolError('received a reply to another request')
        self._expected_id = None
        self._on_event(
            ResponseReceived(self._number, _read_response(reply), is_reusable)
        )


class ControlConnection:
    """Connection for load reports and cancellations, opened on demand."""

    def __init__(self, address: Address, on_event: EventHandler) -> None:
        """Store the address and event handler; `start` runs the commands."""
        self._address = address
        self._on_event = on_event
        self._http: HttpConnection | None = None
        self._commands: Queue[SubQueryId | None] = Queue()
        self._task: Task | None = None

    def start(self) -> None:
        """Run the queued polls and cancellations until `close`."""
        self._task = create_task(self._run())

    def close(self) -> None:
        """Close the socket."""
        if self._task is not None:
            self._task.cancel()
        if self._http is not None:
            self._http.abort()

    def cancel(self, sub_query_id: SubQueryId) -> None:
        """Queue the cancellation of a running request."""
        self._commands.put_nowait(sub_query_id)

    def poll(self) -> None:
        """Queue a request for a load report if no command is queued."""
        if self._commands.empty():
            self._commands.put_nowait(None)

    async def _run(self) -> None:
        while True:
            command = await self._commands.get()
            try:
                await self._execute(command)
            except (OSError, EOFError, TimeoutError, ProtocolError):
                if self._http is not None:
                    self._http.abort()
                self._http = None
            except (DecodeError, ValidationError) as error:
                _log.warning('a load report cannot be decoded: %s', error)

    async def _execute(self, command: SubQueryId | None) -> None:
        if self._http is None or not self._http.is_reusable:
            self._http = HttpConnection(self._address)
            await self._http.start(_CONNECT_TIMEOUT)
        if command is not None:
            await self._http.exchange(
                HttpRequest('DELETE', f'/requests/{command}', {}),
                _CALL_TIMEOUT,
            )
            return
        reply = await self._http.exchange(_load_request(), _CALL_TIMEOUT)
        if reply.status == _OK:
            report = _report_decoder.decode(reply.body)
            self._on_event(
                LoadReported(
                    report.in_flight,
                    report.draining,
                    report.cold,
                    report.holdings,
                )
            )


def remaining_time(deadline: Instant, now: Instant) -> Seconds:
    """Return the time until the deadline, at least one millisecond."""
    return max(1 / _MS_PER_S, deadline - now)


def _load_request() -> HttpRequest:
    return HttpRequest('GET', '/load', {})


def _search_request(sub_query: SubQuery, remaining: Seconds) -> HttpRequest:
    snapshot = sub_query.snapshot
    headers = {
        'x-request-id': sub_query.id,
        'x-deadline-ms': str(int(remaining * _MS_PER_S)),
        'x-snapshot': f'{snapshot.version}:{snapshot.partitioning}',
        'x-key-range': (
            f'{sub_query.key_range.first}-{sub_query.key_range.last}'
        ),
        'content-type': 'application/json',
    }
    return HttpRequest('POST', '/search', headers, sub_query.body)


def _read_response(reply: HttpResponse) -> Response:
    kind = _KIND_BY_STATUS.get(reply.status, ResponseKind.failed)
    body = reply.body if kind is ResponseKind.answered else b'null'
    return Response(
        kind,
        body,
        _read_snapshot(reply.headers.get('x-snapshot', '')),
        reply.headers.get('x-draining') == '1',
    )


def _read_snapshot(text: str) -> Snapshot | None:
    version, _, partitioning = text.partition(':')
    if not version.isdigit():
        return None
    return Snapshot(int(version), partitioning)
