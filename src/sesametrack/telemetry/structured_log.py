"""Structured log lines on standard output, bounded and never blocking."""

from asyncio import AbstractEventLoop, TimerHandle
from collections import deque
from collections.abc import Callable
from logging import Handler, Logger, LogRecord, getLogger
from os import set_blocking, write

from msgspec.json import Encoder

from sesametrack.contracts.types import Seconds

_FLUSH_INTERVAL: Seconds = 0.1
# Lines a second above which lines are dropped and counted; warnings are
# kept up to the size of the buffer.
_MAX_RATE = 400
_MAX_LINES = 2000
_STDOUT = 1
_WARNING = 30


def log_event(
    logger: Logger, event: str, level: int = 20, **details: object
) -> None:
    """Log one event or decision with its inputs and outcome."""
    logger.log(level, event, extra={'details': details})


class StructuredLogHandler(Handler):
    """Keeps lines in memory and writes them when the output takes them."""

    def __init__(
        self,
        process: str,
        wall: Callable[[], float],
        steady: Callable[[], float],
    ) -> None:
        """Bind the name of the process and its clocks."""
        super().__init__()
        self.dropped = 0
        self._process = process
        self._wall = wall
        self._steady = steady
        self._encoder = Encoder()
        self._lines: deque[bytes] = deque()
        self._tokens: float = _MAX_RATE
        self._filled_at = steady()
        self._timer: TimerHandle | None = None
        self._rest = b''

    def start(self, loop: AbstractEventLoop) -> None:
        """Write what is kept a few times a second."""
        set_blocking(_STDOUT, False)
        self._tick(loop)

    def close(self) -> None:
        """Write what the output still takes."""
        if self._timer is not None:
            self._timer.cancel()
        self.flush()
        super().close()

    def emit(self, record: LogRecord) -> None:
        """Keep one line, or drop and count it."""
        now = self._steady()
        self._tokens = min(
            _MAX_RATE, self._tokens + (now - self._filled_at) * _MAX_RATE
        )
        self._filled_at = now
        is_over = self._tokens < 1 and record.levelno < _WARNING
        if is_over or len(self._lines) >= _MAX_LINES:
            self.dropped += 1
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
        """Write as much as the output takes without blocking."""
        if not self._lines and not self._rest:
            return
        chunk = self._rest + b''.join(self._lines)
        self._lines.clear()
        try:
            written = write(_STDOUT, chunk)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the output any more.
            self._rest = b''
            return
        self._rest = chunk[written:]
        if written < len(chunk) and len(self._rest) > _MAX_LINES * 512:
            self._rest = b''
            self.dropped += 1

    def _tick(self, loop: AbstractEventLoop) -> None:
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            log_event(getLogger('journal'), 'lines-dropped', 30, count=dropped)
        self.flush()
        self._timer = loop.call_later(_FLUSH_INTERVAL, self._tick, loop)


def install_handler(handler: StructuredLogHandler, level: str) -> None:
    """Send all logs of the process to the journal."""
    root = getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
