"""A loopback proxy that delays, silences, cuts one way or resets."""

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

_CHUNK = 65536


@dataclass(slots=True)
class FaultProxy:
    """Passes connections on; faults hold for all of them.

    `delay_s` holds each chunk back. `silent` names the directions, 'out' to
    the server and 'back' from it, whose bytes are kept until that ends.
    """

    host: str
    port: int
    target_port: int
    delay_s: float = 0
    silent: set[str] = field(default_factory=set)
    _server: Server | None = None
    _writers: set[StreamWriter] = field(default_factory=set)
    _is_heard: Event = field(default_factory=Event)

    async def start(self) -> None:
        """Listen."""
        self._is_heard.set()
        self._server = await start_server(self._serve, self.host, self.port)

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self.reset()
        self.heal()

    def silence(self, directions: set[str]) -> None:
        """Keep the bytes of these directions."""
        self.silent = directions
        self._is_heard.clear()

    def heal(self) -> None:
        """End all faults; kept bytes go on."""
        self.delay_s = 0
        self.silent = set()
        self._is_heard.set()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        try:
            there, back = await open_connection(self.host, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, back}
        tasks = {
            create_task(self._pass(reader, back, 'out')),
            create_task(self._pass(there, writer, 'back')),
        }
        await wait(tasks)
        self._writers -= {writer, back}

    async def _pass(
        self, reader: StreamReader, writer: StreamWriter, direction: str
    ) -> None:
        try:
            while chunk := await reader.read(_CHUNK):
                if self.delay_s:
                    await sleep(self.delay_s)
                while direction in self.silent:
                    await self._is_heard.wait()
                writer.write(chunk)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        writer.close()
