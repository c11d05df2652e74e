"""Structured log on standard output, non-blocking with bounded memory."""

from asyncio import AbstractEventLoop, TimerHandle
from collections import deque
from collections.abc import Callable
from logging import Handler, Logger, LogRecord, getLogger
from os import set_blocking, write

from msgspec.json import Encoder

from sesametrack.contracts.types import Seconds

_FLUSH_INTERVAL: Seconds = 0.1
# Lines above this rate are dropped and counted, except for warnings and
# errors, which only the size of the buffer limits.
_MAX_LINES_PER_SECOND = 400
_MAX_BUFFERED_LINES = 2000
_STDOUT_FD = 1
_WARNING = 30


def log_event(
    logger: Logger, event: str, level: int = 20, **details: object
) -> None:
    """Log an event or a decision with its inputs and outcome."""
    logger.log(level, event, extra={'details': details})


class StructuredLogHandler(Handler):
    """Buffers log lines and writes them to a non-blocking standard output."""

    def __init__(
        self,
        process: str,
        wall: Callable[[], float],
        monotonic: Callable[[], float],
    ) -> None:
        """Create an empty buffer for a process with its two clocks."""
        super().__init__()
        self.dropped_lines = 0
        self._process = process
        self._wall = wall
        self._monotonic = monotonic
        self._encoder = Encoder()
        self._lines: deque[bytes] = deque()
        self._tokens: float = _MAX_LINES_PER_SECOND
        self._refilled_at = monotonic()
        self._timer: TimerHandle | None = None
        self._unwritten = b''

    def start(self, loop: AbstractEventLoop) -> None:
        """Make standard output non-blocking and start periodic flushes."""
        set_blocking(_STDOUT_FD, False)
        self._flush_periodically(loop)

    def close(self) -> None:
        """Stop periodic flushes and flush once more."""
        if self._timer is not None:
            self._timer.cancel()
        self.flush()
        super().close()

    def emit(self, record: LogRecord) -> None:
        """Buffer a line, or drop and count it."""
        now = self._monotonic()
        self._tokens = min(
            _MAX_LINES_PER_SECOND,
            self._tokens + (now - self._refilled_at) * _MAX_LINES_PER_SECOND,
        )
        self._refilled_at = now
        is_rate_exceeded = self._tokens < 1 and record.levelno < _WARNING
        if is_rate_exceeded or len(self._lines) >= _MAX_BUFFERED_LINES:
            self.dropped_lines += 1
            return
        self._tokens -= 1
        line = {
            'time': round(self._wall(), 4),
            'steady': round(now, 4),
            'process': self._process,
            'part': record.name,
            'event': record.getMessage(),
            **getattr(record, 'details', {}),
        }
        if record.levelno >= _WARNING:
            line['level'] = record.levelname
        if record.exc_info:
            line['exception'] = repr(record.exc_info[1])
        self._lines.append(self._encoder.encode(line) + b'\n')

    def flush(self) -> None:
        """Write as many bytes as the output accepts without blocking."""
        if not self._lines and not self._unwritten:
            return
        chunk = self._unwritten + b''.join(self._lines)
        self._lines.clear()
        try:
            written = write(_STDOUT_FD, chunk)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the output.
            self._unwritten = b''
            return
        self._unwritten = chunk[written:]
        if (
            written < len(chunk)
            and len(self._unwritten) > _MAX_BUFFERED_LINES * 512
        ):
            self._unwritten = b''
            self.dropped_lines += 1

    def _flush_periodically(self, loop: AbstractEventLoop) -> None:
        if self.dropped_lines:
            dropped, self.dropped_lines = self.dropped_lines, 0
            log_event(getLogger('journal'), 'lines-dropped', 30, count=dropped)
        self.flush()
        self._timer = loop.call_later(
            _FLUSH_INTERVAL, self._flush_periodically, loop
        )


def install_handler(handler: StructuredLogHandler, level: str) -> None:
    """Make the handler the only handler of the root logger."""
    root = getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
