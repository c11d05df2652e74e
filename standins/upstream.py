"""Simulates one upstream, with the faults of real ones."""

from asyncio import (
    CancelledError,
    Server,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    get_running_loop,
    sleep,
    start_server,
)
from collections import deque
from contextlib import suppress
from random import Random
from time import monotonic

from h11 import (
    DONE,
    NEED_DATA,
    SERVER,
    Connection,
    Data,
    EndOfMessage,
    RemoteProtocolError,
    Request,
    Response,
)
from msgspec.json import decode, encode

from sesametrack.contracts.inventory import Upstream
from sesametrack.contracts.snapshots import Holding, Snapshot
from sesametrack.links.gate_upstream import LoadReport
from sesametrack.links.http import HttpRequest, decode_headers
from standins.faults import Behaviour, Counts

_MS_PER_S = 1000
_DRAIN_GRACE_S = 3
_MAX_REPORTS = 4096
_READ_SIZE_BYTES = 65536


class RunLog:
    """Run counts per request and action, shared by a process's upstreams."""

    def __init__(self) -> None:
        """Start with empty counts."""
        self.runs_by_request: dict[str, int] = {}
        self.action_runs: dict[str, int] = {}

    def reset(self) -> None:
        """Clear all counts."""
        self.runs_by_request.clear()
        self.action_runs.clear()

    def record(self, request_id: str, action: str) -> None:
        """Count one run of a request and of its action, if it has one."""
        runs = self.runs_by_request
        runs[request_id] = runs.get(request_id, 0) + 1
        if action:
            self.action_runs[action] = self.action_runs.get(action, 0) + 1


class UpstreamStandin:
    """One upstream that serves searches, injects faults and counts events."""

    def __init__(
        self,
        upstream: Upstream,
        holdings: list[Holding],
        run_log: RunLog,
        seed: int,
    ) -> None:
        """Bind the inventory entry and the initial holdings."""
        self.upstream = upstream
        self.holdings = holdings
        self.behaviour = Behaviour()
        self.counts = Counts()
        self.connections: set[UpstreamConnection] = set()
        self._run_log = run_log
        self._rng = Random(seed)
        self._server: Server | None = None
        self._running: dict[str, Task] = {}
        self._waiting = 0
        self._cold_until: float = 0
        self._cold_requests_left = 0
        self._cold_overload_s: float = 0
        self._was_overloaded = False
        self._overload_updated_at: float = 0
        self._draining_since: float | None = None
        self._reports: deque[tuple[float, LoadReport]] = deque(
            maxlen=_MAX_REPORTS
        )
        self._restart: Task | None = None

    async def start(self) -> None:
        """Listen on the address in the inventory."""
        host, _, port = self.upstream.address.rpartition(':')
        self._server = await start_server(
            self._accept, host, int(port), backlog=256
        )

    async def close(self) -> None:
        """Stop listening, cancel running work and drop all connections."""
        if self._restart is not None:
            self._restart.cancel()
        self._stop_serving()

    @property
    def is_cold(self) -> bool:
        """Return whether caches are cold: searches are slow, capacity low."""
        return self._cold_requests_left > 0 or monotonic() < self._cold_until

    def begin_cold_start(self) -> None:
        """Drop the caches without notice."""
        self._cold_requests_left = self.behaviour.cold_requests
        self._cold_until = monotonic() + self.behaviour.cold_s

    def end_cold_start(self) -> None:
        """Mark the caches as warm."""
        self._cold_requests_left = 0
        self._cold_until = 0

    def set_draining(self, *, is_draining: bool) -> None:
        """Start or stop draining."""
        self.behaviour.is_draining = is_draining
        self._draining_since = monotonic() if is_draining else None

    def silence_connections(self, share: float) -> None:
        """Drop all further traffic on a share of the open connections."""
        for connection in self.connections:
            if self._rng.random() < share:
                connection.is_silent = True

    def crash(self) -> None:
        """Drop all work and connections, and restart cold after a delay."""
        if self._restart is not None and not self._restart.done():
            return
        self.counts.crashes += 1
        self._stop_serving()
        self._restart = create_task(self._restart_after_delay())

    def report(self) -> LoadReport:
        """Return the load report, delayed or falsified as configured."""
        current = LoadReport(
            len(self._running),
            self.behaviour.is_draining,
            self.is_cold and not self.behaviour.report_lies,
            list(self.holdings),
        )
        if self.behaviour.report_lies:
            current = LoadReport(0, draining=False, holdings=current.holdings)
        now = monotonic()
        self._reports.append((now, current))
        latest = now - self.behaviour.report_lag_s
        visible = [report for at, report in self._reports if at <= latest]
        return visible[-1] if visible else current

    def cancel(self, request_id: str) -> bool:
        """Cancel a request; return whether it was running."""
        running = self._running.get(request_id)
        if running is None:
            return False
        running.cancel()
        return True

    async def search(
        self, request: HttpRequest
    ) -> tuple[int, bytes, Snapshot | None]:
        """Run or reject a search; return its status, body and snapshot."""
        if self.behaviour.is_draining:
            self._count_request_after_drain()
            return 503, b'{}', None
        version, _, partitioning = request.headers['x-snapshot'].partition(':')
        snapshot = Snapshot(int(version), partitioning)
        first, _, last = request.headers['x-key-range'].partition('-')
        if not self._holds(snapshot, int(first), int(last)):
            return 410, b'{}', None
        if len(self._running) >= self.upstream.slots:
            self.counts.over_slots += 1
            if self._waiting >= self.behaviour.queue:
                self.counts.shed += 1
                return 429, b'{}', None
        return await self._run(request, snapshot, [int(first), int(last)])

    async def _run(
        self, request: HttpRequest, snapshot: Snapshot, key_range: list[int]
    ) -> tuple[int, bytes, Snapshot | None]:
        request_id = request.headers['x-request-id']
        query = decode(request.body)
        nonce = str(query.get('nonce', request_id))
        self._run_log.record(nonce, str(query.get('action', '')))
        self.counts.ran += 1
        if query.get('poison'):
            self.counts.poisoned += 1
            get_running_loop().call_soon(self.crash)
        work = create_task(sleep(self._service_time()))
        self._running[request_id] = work
        self.counts.most_running = max(
            self.counts.most_running, len(self._running)
        )
        self._update_cold_overload()
        timeout_s = int(request.headers['x-deadline-ms']) / _MS_PER_S
        timer = get_running_loop().call_later(timeout_s, work.cancel)
        try:
            await work
        except CancelledError:
            self.counts.cancelled += 1
            return 499, b'{}', None
        finally:
            timer.cancel()
            self._remove_running(request_id)
        self._cold_requests_left = max(0, self._cold_requests_left - 1)
        body = {
            'upstream': self.upstream.id,
            'nonce': nonce,
            'version': snapshot.version,
            'range': key_range,
        }
        return 200, encode(body), snapshot

    def _remove_running(self, request_id: str) -> None:
        self._running.pop(request_id, None)
        self._update_cold_overload()

    def _update_cold_overload(self) -> None:
        """Add to the cold overload time; crash once it is over the limit."""
        now = monotonic()
        if self.is_cold and self._was_overloaded:
            self._cold_overload_s += now - self._overload_updated_at
        self._overload_updated_at = now
        is_overloaded = len(self._running) > self.behaviour.cold_capacity
        self._was_overloaded = is_overloaded
        if not self.is_cold:
            self._cold_overload_s = 0
        elif self._cold_overload_s > self.behaviour.cold_tolerance_s:
            self._cold_overload_s = 0
            self.counts.fell_over += 1
            get_running_loop().call_soon(self.crash)

    def _service_time(self) -> float:
        mean = self.behaviour.service_s * self.behaviour.slow_factor
        duration_s = mean * self._rng.uniform(0.6, 1.4)
        if self._rng.random() < self.behaviour.straggler_share:
            duration_s *= self.behaviour.straggler_factor
        if self.is_cold:
            duration_s *= self.behaviour.cold_factor
        return duration_s

    def _holds(self, snapshot: Snapshot, first: int, last: int) -> bool:
        return any(
            holding.snapshot == snapshot
            and holding.key_range.first == first
            and holding.key_range.last == last
            for holding in self.holdings
        )

    def _count_request_after_drain(self) -> None:
        if self._draining_since is None:
            return
        if monotonic() - self._draining_since > _DRAIN_GRACE_S:
            self.counts.after_leaving += 1

    async def _accept(self, reader: StreamReader, writer: StreamWriter) -> None:
        connection = UpstreamConnection(self, reader, writer)
        self.connections.add(connection)
        if len(self.connections) > self.upstream.connections:
            self.counts.over_connections += 1
        try:
            await sleep(self.behaviour.connect_s)
            await connection.serve()
        except (OSError, EOFError, RemoteProtocolError, CancelledError):
            """The client or a simulated crash closed the connection."""
        finally:
            self.connections.discard(connection)
            connection.abort()

    def _stop_serving(self) -> None:
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()
        for work in list(self._running.values()):
            work.cancel()

    async def _restart_after_delay(self) -> None:
        await sleep(self.behaviour.restart_s)
        self.begin_cold_start()
        await self.start()


class UpstreamConnection:
    """One connection from a gate."""

    def __init__(
        self,
        upstream: UpstreamStandin,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> None:
        """Bind the connection; `serve` answers requests."""
        self.is_silent = False
        self._upstream = upstream
        self._reader = reader
        self._writer = writer
        self._protocol = Connection(SERVER)

    def abort(self) -> None:
        """Drop the connection."""
        self._writer.transport.abort()

    async def serve(self) -> None:
        """Answer requests until the client closes the connection."""
        while True:
            request = await self._read_request()
            if request is None:
                return
            if self.is_silent:
                continue
            await self._answer(request)

    async def _answer(self, request: HttpRequest) -> None:
        if request.path == '/load':
            self._send(200, encode(self._upstream.report()), {})
        elif request.method == 'DELETE':
            request_id = request.path.rpartition('/')[-1]
            is_found = self._upstream.cancel(request_id)
            self._send(200 if is_found else 404, b'{}', {})
        else:
            await self._search(request)

    async def _search(self, request: HttpRequest) -> None:
        work = create_task(self._upstream.search(request))
        close_watch = create_task(self._cancel_on_close(request))
        try:
            status, body, snapshot = await work
        finally:
            close_watch.cancel()
            with suppress(CancelledError):
                await close_watch
        headers = {'x-request-id': request.headers['x-request-id']}
        if snapshot is not None:
            headers['x-snapshot'] = (
                f'{snapshot.version}:{snapshot.partitioning}'
            )
        if self._upstream.behaviour.is_draining:
            headers['x-draining'] = '1'
        self._send(status, body, headers)

    async def _cancel_on_close(self, request: HttpRequest) -> None:
        chunk = await self._reader.read(1)
        if not chunk and not self.is_silent:
            self._upstream.cancel(request.headers['x-request-id'])

    def _send(self, status: int, body: bytes, extra: dict[str, str]) -> None:
        if self.is_silent:
            return
        headers = [('content-length', str(len(body))), *extra.items()]
        parts = [
            self._protocol.send(Response(status_code=status, headers=headers)),
            self._protocol.send(Data(data=body)),
            self._protocol.send(EndOfMessage()),
        ]
        self._writer.write(b''.join(parts))
        if self._protocol.their_state is DONE:
            self._protocol.start_next_cycle()

    async def _read_request(self) -> HttpRequest | None:
        head = await self._next_event()
        if not isinstance(head, Request):
            return None
        body = bytearray()
        event = await self._next_event()
        while isinstance(event, Data):
            body.extend(event.data)
            event = await self._next_event()
        if not isinstance(event, EndOfMessage):
            return None
        return HttpRequest(
            head.method.decode(),
            head.target.decode(),
            decode_headers(head.headers),
            bytes(body),
        )

    async def _next_event(self) -> object:
        while True:
            event = self._protocol.next_event()
            if event is not NEED_DATA:
                return event
            chunk = await self._reader.read(_READ_SIZE_BYTES)
            # A silent connection loses all data; only its close is seen.
            if not self.is_silent or not chunk:
                self._protocol.receive_data(chunk)
