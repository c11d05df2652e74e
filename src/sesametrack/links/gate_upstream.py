"""Connections from a gate to one upstream."""

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
_CONTROL_TIMEOUT: Seconds = 0.5
_MS = 1000
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
    """What an upstream reports of itself; it may lag or mislead."""

    in_flight: int
    draining: bool = False
    cold: bool = False
    holdings: list[Holding] = []


_report_decoder = Decoder(LoadReport)


class SubQueryConnection:
    """One pooled connection; a task owns its socket and reads from it.

    Nothing is ever sent again: the policy decides about retries.
    """

    def __init__(
        self, number: int, address: Address, on_event: EventHandler
    ) -> None:
        """Bind the parts; `start` connects."""
        self._number = number
        self._on_event = on_event
        self._http = HttpConnection(address)
        self._awaited: SubQueryId | None = None
        self._is_probed = False
        self._task: Task | None = None

    def start(self) -> None:
        """Connect and report events until `close`."""
        self._task = create_task(self._run())

    def close(self) -> None:
        """Close the socket at once; no further event is reported."""
        if self._task is not None:
            self._task.cancel()
        self._http.abort()

    def search(self, sub_query: SubQuery, remaining: Seconds) -> None:
        """Send a sub-query with the time left for it."""
        self._awaited = sub_query.id
        self._http.write(_search_request(sub_query, remaining))

    def probe(self) -> None:
        """Ask for the load report as a sign of life."""
        self._is_probed = True
        self._http.write(_report_request())

    async def _run(self) -> None:
        try:
            await self._http.start(_CONNECT_TIMEOUT)
            self._on_event(ConnectionOpened(self._number))
            is_reusable = True
            while is_reusable:
                reply = await self._http.read()
                # Asked before the reply is passed on, since the policy may
                # answer it with the next request at once.
                is_reusable = self._http.is_reusable
                self._take(reply, is_reusable=is_reusable)
        except (OSError, EOFError, TimeoutError, ProtocolError) as ended:
            _log.debug('connection ended: %r', ended)
            self._on_event(ConnectionEnded(self._number))
        finally:
            self._http.abort()

    def _take(self, reply: HttpResponse, *, is_reusable: bool) -> None:
        if self._is_probed:
            self._is_probed = False
            self._on_event(ProbeAnswered(self._number))
            return
        if reply.headers.get('x-request-id') != self._awaited:
            raise ProtocolError('a reply to another request arrived')
        self._awaited = None
        self._on_event(
            ResponseReceived(self._number, _read_response(reply), is_reusable)
        )


class ControlConnection:
    """The connection for load reports and cancellations."""

    def __init__(self, address: Address, on_event: EventHandler) -> None:
        """Bind the parts; `start` begins to serve."""
        self._address = address
        self._on_event = on_event
        self._http: HttpConnection | None = None
        self._commands: Queue[SubQueryId | None] = Queue()
        self._task: Task | None = None

    def start(self) -> None:
        """Poll load reports and send cancellations until `close`."""
        self._task = create_task(self._run())

    def close(self) -> None:
        """Close the socket."""
        if self._task is not None:
            self._task.cancel()
        if self._http is not None:
            self._http.abort()

    def cancel(self, sub_query_id: SubQueryId) -> None:
        """Ask the upstream to stop a running request."""
        self._commands.put_nowait(sub_query_id)

    def poll(self) -> None:
        """Ask for a load report, unless that is being done already."""
        if self._commands.empty():
            self._commands.put_nowait(None)

    async def _run(self) -> None:
        while True:
            command = await self._commands.get()
            try:
                await self._serve(command)
            except (OSError, EOFError, TimeoutError, ProtocolError):
                if self._http is not None:
                    self._http.abort()
                self._http = None
            except (DecodeError, ValidationError) as refused:
                _log.warning('a load report cannot be read: %s', refused)

    async def _serve(self, command: SubQueryId | None) -> None:
        if self._http is None or not self._http.is_reusable:
            self._http = HttpConnection(self._address)
            await self._http.start(_CONNECT_TIMEOUT)
        if command is not None:
            await self._http.exchange(
                HttpRequest('DELETE', f'/requests/{command}', {}),
                _CONTROL_TIMEOUT,
            )
            return
        reply = await self._http.exchange(_report_request(), _CONTROL_TIMEOUT)
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
    """Return the time that is left, at least a millisecond."""
    return max(1 / _MS, deadline - now)


def _report_request() -> HttpRequest:
    return HttpRequest('GET', '/load', {})


def _search_request(sub_query: SubQuery, remaining: Seconds) -> HttpRequest:
    snapshot = sub_query.snapshot
    headers = {
        'x-request-id': sub_query.id,
        'x-deadline-ms': str(int(remaining * _MS)),
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
