"""A loopback TCP proxy that delays, stalls or resets connections."""

from asyncio import (
    Event,
    Server,
    StreamReader,
    StreamWriter,
    create_task,
    open_connection,
    sleep,
    start_server,
    wait,
)
from dataclasses import dataclass, field

_CHUNK_BYTES = 65536


@dataclass(slots=True)
class FaultProxy:
    """Forwards connections; faults apply to all of them.

    `delay_s` delays each chunk. `silent` has the directions, 'out' to the
    server and 'back' from it, whose data is held until `heal` is called.
    """

    host: str
    port: int
    target_port: int
    delay_s: float = 0
    silent: set[str] = field(default_factory=set)
    _server: Server | None = None
    _writers: set[StreamWriter] = field(default_factory=set)
    _is_flowing: Event = field(default_factory=Event)

    async def start(self) -> None:
        """Start listening."""
        if not self.silent:
            self._is_flowing.set()
        self._server = await start_server(self._serve, self.host, self.port)

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        self.heal()

    def silence(self, directions: set[str]) -> None:
        """Hold the data of these directions, until `heal` is called."""
        self.silent = directions
        self._is_flowing.clear()

    def heal(self) -> None:
        """End all faults and forward the held data."""
        self.delay_s = 0
        self.silent = set()
        self._is_flowing.set()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        try:
            server_reader, server_writer = await open_connection(
                self.host, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, server_writer}
        tasks = {
            create_task(self._forward(reader, server_writer, 'out')),
            create_task(self._forward(server_reader, writer, 'back')),
        }
        await wait(tasks)
        self._writers -= {writer, server_writer}

    async def _forward(
        self, reader: StreamReader, writer: StreamWriter, direction: str
    ) -> None:
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                if self.delay_s:
                    await sleep(self.delay_s)
                while direction in self.silent:
                    await self._is_flowing.wait()
                writer.write(chunk)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        writer.close()
