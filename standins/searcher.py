"""Simulates a searcher of the platform, with injected faults."""

from asyncio import (
    Server,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    get_running_loop,
    sleep,
    start_server,
)
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from random import Random
from socket import SO_LINGER, SOL_SOCKET
from struct import pack

from xxhash import xxh3_64_hexdigest

_RECORD_BYTES = 16
_READ_BYTES = 4096


@dataclass(frozen=True, slots=True)
class SeenRequest:
    """A request that a searcher received."""

    request_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    received_at: float = 0


@dataclass(slots=True)
class FaultPlan:
    """Delay and fault of a searcher's next replies.

    `fault` is '' for none, 'shed' (503, not executed), 'error' (500),
    'reset' (the connection is reset), 'mute' (no reply), 'extra' (a late
    reply to another request comes first), 'cut' (the body is truncated),
    'cut-head' (the head is truncated), 'lost-length' (the body is truncated,
    and the head lacks its length), 'unframed' (the body ends with the
    connection, as the head announces) or 'junk' (not HTTP).
    """

    delay_s: float = 0
    fault: str = ''
    # Requests per second that replies state as the searcher's limit.
    limit_per_s: float | None = None
    # Headers that all replies but 421 have as well.
    notices: dict[str, str] = field(default_factory=dict)
    # Number of faulty replies before the searcher recovers; None for no limit.
    faults_left: int | None = None
    # A request whose path has this text ends the searcher that runs it; empty
    # for none. The searcher starts again after `restart_s`.
    crash_marker: str = ''
    restart_s: float = 2
    # What answers at the address of a searcher that has ended: 'refused' for
    # nothing, 'reset' (connections are accepted and reset), 'silent' (accepted,
    # and no reply is sent) or 'closing' (reset for `closing_s`, then refused).
    leaves: str = 'refused'
    closing_s: float = 1.3
    # Whether open connections stay open and silent when the searcher ends.
    is_dark: bool = False
    # Whether the searcher starts again under another id.
    has_new_id: bool = False


@dataclass(slots=True)
class SearcherStandin:
    """Serves one address as one incarnation of a searcher."""

    host: str
    port: int
    id: str
    service: str
    zone: str = 'north'
    records: int = 5
    version: str = 'v1'
    plan: FaultPlan = field(default_factory=FaultPlan)
    seen: list[SeenRequest] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    connections: int = 0
    started_ms: int = 1_700_000_000_000
    # Times of the event loop at which the searcher ended, and the paths of
    # the requests under which it did.
    crashed_at: list[float] = field(default_factory=list)
    crashed_under: list[str] = field(default_factory=list)
    # Called after an end and after a restart, for example to write the entry.
    on_crash: Callable[['SearcherStandin'], Awaitable] | None = None
    on_restart: Callable[['SearcherStandin'], Awaitable] | None = None
    _server: Server | None = None
    _writers: set[StreamWriter] = field(default_factory=set)
    _restart_task: Task | None = None
    # Connections of a searcher that has ended belong to an earlier one.
    _generation: int = 0
    # Listens in place of a searcher that has ended.
    _successor: Server | None = None

    @property
    def entry(self) -> dict[str, object]:
        """Return the entry that the searcher writes to the object store."""
        return {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': self.zone,
            'config_version': self.version,
            'slots': 2,
            'state': 'ready',
            'cold_left_ms': 0,
            'sequence': 1,
            'born': self.started_ms,
        }

    async def start(self) -> None:
        """Start listening."""
        self._server = await start_server(self._serve, self.host, self.port)

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        self._stop_listening()
        self._reset_connections()

    def crash(self, path: str = '') -> None:
        """End like a killed process, and start again later."""
        if self._restart_task is not None and not self._restart_task.done():
            return
        self.crashed_at.append(get_running_loop().time())
        self.crashed_under.append(path)
        self._generation += 1
        self._stop_listening()
        if not self.plan.is_dark:
            self._reset_connections()
        self._restart_task = create_task(self._restart())

    async def _restart(self) -> None:
        if self.on_crash is not None:
            await self.on_crash(self)
        await self._occupy_address()
        self._stop_listening()
        self._reset_connections()
        self.started_ms += 1000
        if self.plan.has_new_id:
            self.id = f'{self.id.partition("~")[0]}~{self.started_ms}'
        await self.start()
        if self.on_restart is not None:
            await self.on_restart(self)

    async def _occupy_address(self) -> None:
        """Answer at the address as planned until the searcher starts again."""
        plan = self.plan
        if plan.leaves == 'refused':
            await sleep(plan.restart_s)
            return
        serve = self._ignore if plan.leaves == 'silent' else _reset
        self._successor = await start_server(serve, self.host, self.port)
        if plan.leaves == 'closing':
            await sleep(plan.closing_s)
            self._successor.close()
            await sleep(max(0, plan.restart_s - plan.closing_s))
            return
        await sleep(plan.restart_s)

    async def _ignore(self, reader: StreamReader, writer: StreamWriter) -> None:
        self._writers.add(writer)
        try:
            chunk = await reader.read(_READ_BYTES)
            while chunk:
                chunk = await reader.read(_READ_BYTES)
        except OSError:
            writer.close()
        finally:
            self._writers.discard(writer)

    def _stop_listening(self) -> None:
        for server in (self._server, self._successor):
            if server is not None:
                server.close()

    def _reset_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    def part(self, request_id: str) -> bytes:
        """Return the records of the reply to a request."""
        rng = Random(f'{self.service}/{request_id}')
        return b''.join(
            rng.randbytes(_RECORD_BYTES) for _ in range(self.records)
        )

    def digest(self, request_id: str) -> str:
        """Return the digest of the reply to a request."""
        return xxh3_64_hexdigest(f'{self.service}/{request_id}'.encode())

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        generation = self._generation
        try:
            while await self._serve_one(reader, writer):
                await writer.drain()
                if generation != self._generation:
                    break
            if self.plan.is_dark and generation != self._generation:
                await self._ignore(reader, writer)
        except (OSError, EOFError):
            self._writers.discard(writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: StreamReader, writer: StreamWriter
    ) -> bool:
        generation = self._generation
        request = replace(
            await _read_request(reader), received_at=get_running_loop().time()
        )
        if generation != self._generation:
            return False
        self.seen.append(request)
        echo = {'Request-Id': request.request_id}
        if request.headers.get('expect-instance') not in {None, self.id}:
            headers = {**echo, 'Instance-Id': self.id}
            writer.write(_reply(421, headers, b''))
            return True
        fault = self._next_fault()
        if fault == 'shed':
            headers = {**echo, **self.plan.notices, 'Not-Executed': '1'}
            writer.write(_reply(503, headers, b''))
            return True
        self.ran.append(request.request_id)
        if self.plan.delay_s:
            await sleep(self.plan.delay_s)
        if generation != self._generation:
            return False
        if self.plan.crash_marker and self.plan.crash_marker in request.path:
            self.crash(request.path)
            return False
        return self._answer(request, fault, writer)

    def _next_fault(self) -> str:
        if self.plan.faults_left is None:
            return self.plan.fault
        if self.plan.faults_left <= 0:
            return ''
        self.plan.faults_left -= 1
        return self.plan.fault

    def _answer(
        self, request: SeenRequest, fault: str, writer: StreamWriter
    ) -> bool:
        body = self.part(request.request_id)
        headers = {
            'Request-Id': request.request_id,
            'Server-Stamp': self.digest(request.request_id),
            'Server-Load': '1,0,2',
            'Keep-Alive': 'timeout=5',
            **self.plan.notices,
        }
        if self.plan.limit_per_s is not None:
            headers['Server-Limit'] = str(self.plan.limit_per_s)
        intact = _reply(200, headers, body)
        builders: dict[str, Callable[[], bytes]] = {
            '': lambda: intact,
            'error': lambda: _reply(500, headers, b'no'),
            'extra': lambda: (
                _reply(200, {**headers, 'Request-Id': 'other'}, b'x' * 32)
                + intact
            ),
            'cut': lambda: intact[:-8],
            'cut-head': lambda: intact[: intact.index(b'Keep-Alive') + 9],
            'lost-length': lambda: _reply(
                200, headers, body[:-8], is_framed=False
            ),
            'unframed': lambda: _reply(
                200, {**headers, 'Connection': 'close'}, body, is_framed=False
            ),
            'junk': lambda: b'\x00\x01 not a reply\r\n\r\n',
        }
        if fault == 'reset':
            writer.transport.abort()
            return False
        if fault == 'mute':
            return True
        writer.write(builders[fault]())
        return fault in {'', 'error', 'extra'}


async def _reset(reader: StreamReader, writer: StreamWriter) -> None:
    # Without this the connection would end in good order.
    linger = pack('ii', 1, 0)
    writer.get_extra_info('socket').setsockopt(SOL_SOCKET, SO_LINGER, linger)
    writer.transport.abort()


async def _read_request(reader: StreamReader) -> SeenRequest:
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    method, path, _ = first.split(' ')
    headers = {}
    for line in lines:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.lower()] = text.strip()
    length = int(headers.get('content-length', 0))
    body = await reader.readexactly(length)
    return SeenRequest(
        headers.get('request-id', ''), method, path, headers, body
    )


def _reply(
    status: int,
    headers: dict[str, str],
    body: bytes,
    *,
    is_framed: bool = True,
) -> bytes:
    lines = [f'HTTP/1.1 {status} Status']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    if is_framed:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body
