"""Simulates a server whose replies never end."""

from asyncio import (
    Event,
    Server,
    StreamReader,
    StreamWriter,
    sleep,
    start_server,
    wait_for,
)
from collections.abc import Iterator
from itertools import repeat

_CHUNK_BYTES = 16 * 1024
_OK_LINE = b'HTTP/1.1 200 OK\r\n'
_FILLING = b'x' * _CHUNK_BYTES
# What begins the reply, and what is repeated after it, by kind of reply.
REPLIES_BY_KIND = {
    'garbage': (b'', _FILLING),
    'status-line': (b'HTTP/1.1 200 ', _FILLING),
    'header-name': (_OK_LINE, _FILLING),
    'header-value': (_OK_LINE + b'a: ', _FILLING),
    'headers': (_OK_LINE, b'a: b\r\n' * (_CHUNK_BYTES // 6)),
    'interim': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 600),
    'body': (_OK_LINE + b'\r\n', _FILLING),
    'long-body': (_OK_LINE + b'content-length: 99999999999\r\n\r\n', _FILLING),
    'chunks': (
        _OK_LINE + b'transfer-encoding: chunked\r\n\r\n',
        b'4000\r\n' + _FILLING + b'\r\n',
    ),
    'small-chunks': (
        _OK_LINE + b'transfer-encoding: chunked\r\n\r\n',
        b'1\r\nx\r\n' * (_CHUNK_BYTES // 6),
    ),
    'chunk-extension': (
        _OK_LINE + b'transfer-encoding: chunked\r\n\r\n1;',
        _FILLING,
    ),
    'trailers': (
        _OK_LINE + b'transfer-encoding: chunked\r\n\r\n0\r\n',
        b'a: b\r\n' * (_CHUNK_BYTES // 6),
    ),
}


class EndlessStandin:
    """Answers each request with bytes until the client closes."""

    def __init__(self, host: str, port: int, kind: str) -> None:
        """Set the address and the kind of reply."""
        self.sent_bytes = 0
        self.connections = 0
        self._host = host
        self._port = port
        self._kind = kind
        self._server: Server | None = None
        self._is_closed = Event()
        self._is_stopping = False
        self._writers: set[StreamWriter] = set()

    async def start(self) -> None:
        """Start listening."""
        self._server = await start_server(self._serve, self._host, self._port)

    async def close(self) -> None:
        """Stop listening, and stop sending."""
        self._is_stopping = True
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        # Lets the handlers of the connections end.
        await sleep(0)

    async def wait_until_closed(self, timeout_s: float) -> None:
        """Wait for a client to close; raises TimeoutError."""
        await wait_for(self._is_closed.wait(), timeout_s)

    def _chunks(self) -> Iterator[bytes]:
        start, repeated = REPLIES_BY_KIND[self._kind]
        yield start
        yield from repeat(repeated)

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        await reader.read(_CHUNK_BYTES)
        try:
            for chunk in self._chunks():
                if self._is_stopping:
                    return
                writer.write(chunk)
                await writer.drain()
                self.sent_bytes += len(chunk)
        except OSError:
            self._is_closed.set()
        finally:
            writer.close()
