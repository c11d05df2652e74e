"""A searcher, as the users' page on what is spoken describes it."""

from asyncio import (
    FIRST_COMPLETED,
    Event,
    Semaphore,
    StreamReader,
    StreamReaderProtocol,
    StreamWriter,
    Task,
    create_task,
    get_running_loop,
    sleep,
    wait,
)
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from socket import SO_LINGER, SOL_SOCKET, create_server, socket
from struct import pack

from rig.wire import Message, encode, read_message

# Few, so that connections to a searcher that is out of reach hang.
_BACKLOG = 8
_FILLERS = 12
_KEEP_ALIVE_S = 10
_QUEUE = 12


@dataclass
class Run:
    """One request on which a searcher began to work."""

    request_id: str
    searcher: str
    began_at: float
    work_s: float
    # When the searcher stopped: it answered, or the connection was closed.
    ended_at: float | None = None
    is_answered: bool = False


@dataclass
class Searcher:
    """Serves one address; `work_s` is what a request takes.

    Requests whose connection closes are dropped.
    """

    host: str
    port: int
    id: str
    service: str
    zone: str
    slots: int = 2
    records: int = 25
    work_s: float = 0.011
    work_by_prefix: dict[str, float] = field(default_factory=dict)
    slowness: float = 1
    runs: list[Run] = field(default_factory=list)
    received: list[tuple[float, str]] = field(default_factory=list)
    on_run: Callable[[Run], None] | None = None

    def __post_init__(self) -> None:
        self._listener: socket | None = None
        self._accepting: Task | None = None
        self._writers: set[StreamWriter] = set()
        self._free = Semaphore(self.slots)
        self._queued = 0
        self._fillers: list[socket] = []
        # Cleared while nothing comes through to the searcher.
        self._in_reach = Event()
        self._in_reach.set()
        self.born = 1_700_000_000_000
        self.cold_left_ms = 0

    @property
    def entry(self) -> dict[str, object]:
        """Return what the searcher writes into the store."""
        return {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': self.zone,
            'config_version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'cold_left_ms': self.cold_left_ms,
            'sequence': 1,
            'born': self.born,
        }

    async def start(self) -> None:
        self._listener = create_server(
            (self.host, self.port), backlog=_BACKLOG
        )
        self._listener.setblocking(False)
        self._accepting = create_task(self._accept())

    async def close(self) -> None:
        if self._accepting is not None:
            self._accepting.cancel()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for filler in self._fillers:
            filler.close()
        self._reset()

    async def crash(self) -> None:
        """End as a killed process does: connections are reset or refused."""
        await self.close()

    async def cut_off(self) -> None:
        """Let nothing through: open connections and new ones hang."""
        self._in_reach.clear()
        self._accepting.cancel()
        for _ in range(_FILLERS):
            filler = socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self._fillers.append(filler)
        await sleep(0)

    async def reconnect(self) -> None:
        """Let everything through again."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._in_reach.set()
        self._accepting = create_task(self._accept())

    async def _accept(self) -> None:
        loop = get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._listener)
            reader = StreamReader()
            protocol = StreamReaderProtocol(reader, self._serve)
            await loop.connect_accepted_socket(lambda: protocol, connection)

    def _reset(self) -> None:
        for writer in list(self._writers):
            connection = writer.get_extra_info('socket')
            if connection is not None and connection.fileno() >= 0:
                connection.setsockopt(SOL_SOCKET, SO_LINGER, pack('ii', 1, 0))
            writer.transport.abort()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self._in_reach.wait()
                if reader.at_eof() or reader.exception() is not None:
                    break
                if not await self._handle(request, reader, writer):
                    break
        except (OSError, EOFError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, request: Message, reader: StreamReader, writer: StreamWriter
    ) -> bool:
        method, path, _ = request.first_line.split(' ')
        now = get_running_loop().time
        request_id = request.headers.get('request-id', '')
        if path == '/health':
            writer.write(
                encode('HTTP/1.1 200 OK', {'Instance-Id': self.id}, b'')
            )
            return True
        self.received.append((now(), request_id))
        echo = {'Request-Id': request_id}
        if request.headers.get('expect-instance', self.id) != self.id:
            writer.write(
                encode(
                    'HTTP/1.1 421 Misdirected Request',
                    {**echo, 'Instance-Id': self.id},
                )
            )
            return True
        if self._queued >= _QUEUE:
            writer.write(
                encode(
                    'HTTP/1.1 503 Service Unavailable',
                    {**echo, 'Not-Executed': 1},
                )
            )
            return True
        limit = now() + int(request.headers.get('request-deadline', 60_000)) / 1000
        self._queued += 1
        async with self._free:
            self._queued -= 1
            if now() >= limit:
                writer.write(
                    encode(
                        'HTTP/1.1 503 Service Unavailable',
                        {**echo, 'Not-Executed': 1},
                    )
                )
                return True
            work_s = next(
                (
                    work
                    for prefix, work in self.work_by_prefix.items()
                    if path.startswith(prefix)
                ),
                self.work_s,
            )
            run = Run(request_id, self.id, now(), work_s * self.slowness)
            self.runs.append(run)
            if self.on_run is not None:
                self.on_run(run)
            is_whole = await self._work(run, reader, limit)
            run.ended_at = now()
        await self._in_reach.wait()
        if not is_whole:
            return False
        is_late = now() >= limit
        body = b'' if is_late else self.part(request_id)
        run.is_answered = True
        status = '504 Gateway Timeout' if is_late else '200 OK'
        writer.write(
            encode(
                f'HTTP/1.1 {status}',
                {
                    **echo,
                    'Server-Stamp': self.stamp(request_id),
                    'Server-Load': f'1,0,{self.slots}',
                    'Keep-Alive': f'timeout={_KEEP_ALIVE_S}',
                },
                b'' if method == 'HEAD' else body,
            )
        )
        await writer.drain()
        return True

    async def _work(self, run: Run, reader: StreamReader, limit: float) -> bool:
        """Work up to the time limit; return False if the caller has left."""
        left = limit - get_running_loop().time()
        working = create_task(sleep(min(run.work_s, max(0, left))))
        leaving = create_task(_wait_for_end(reader))
        await wait((working, leaving), return_when=FIRST_COMPLETED)
        has_left = leaving.done() and not working.done()
        working.cancel()
        if not leaving.done():
            leaving.cancel()
            await wait((leaving,))
        return not has_left

    def part(self, request_id: str) -> bytes:
        """Return the records of the answer to a request."""
        return Random(f'{self.service}/{request_id}').randbytes(16 * self.records)

    def stamp(self, request_id: str) -> str:
        """Return the digest of the answer to a request."""
        return Random(f'{self.id}/{request_id}').randbytes(12).hex()


async def _wait_for_end(reader: StreamReader) -> None:
    """Return once the connection has ended, and take nothing from it."""
    while not reader.at_eof() and reader.exception() is None:
        await sleep(0.005)
        if reader._eof:  # noqa: SLF001
            return
