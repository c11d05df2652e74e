"""A TCP proxy that can let nothing through for a while."""

from asyncio import (
    Event,
    StreamReader,
    StreamWriter,
    create_task,
    open_connection,
    start_server,
    wait,
)

_CHUNK_BYTES = 65536


class Proxy:
    """Forwards connections to one address; a cut holds all bytes."""

    def __init__(self, host: str, port: int, target: str) -> None:
        self.address = f'{host}:{port}'
        self._host = host
        self._port = port
        target_host, _, target_port = target.rpartition(':')
        self._target = (target_host, int(target_port))
        self._flows = Event()
        self._flows.set()
        self._server = None
        self._writers: set[StreamWriter] = set()

    async def start(self) -> None:
        self._server = await start_server(self._serve, self._host, self._port)

    async def close(self) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def cut(self) -> None:
        self._flows.clear()

    def heal(self) -> None:
        self._flows.set()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self._writers.add(writer)
        await self._flows.wait()
        try:
            far_reader, far_writer = await open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(far_writer)
        tasks = [
            create_task(self._forward(reader, far_writer)),
            create_task(self._forward(far_reader, writer)),
        ]
        await wait(tasks)
        self._writers -= {writer, far_writer}

    async def _forward(self, reader: StreamReader, writer: StreamWriter) -> None:
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                await self._flows.wait()
                writer.write(chunk)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        writer.close()
