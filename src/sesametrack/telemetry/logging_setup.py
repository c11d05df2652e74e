"""Log set-up: short sentences with a prefix for each part."""

from logging import Formatter, LogRecord, StreamHandler, getLogger
from sys import stderr

from msgspec.json import encode

_PLAIN_FORMAT = '%(asctime)s %(levelname)s {process}: %(name)s: %(message)s'


class JsonFormatter(Formatter):
    """Formats a record as one JSON object on a line."""

    def __init__(self, process: str) -> None:
        """Bind the name of the process."""
        super().__init__()
        self._process = process

    def format(self, record: LogRecord) -> str:
        """Return the line for a record."""
        line = {
            'time': self.formatTime(record),
            'level': record.levelname,
            'process': self._process,
            'part': record.name,
            'message': record.getMessage(),
        }
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return encode(line).decode()


def configure_logging(process: str, log_format: str, level: str) -> None:
    """Log to standard error in the given format."""
    handler = StreamHandler(stderr)
    if log_format == 'json':
        handler.setFormatter(JsonFormatter(process))
    else:
        handler.setFormatter(Formatter(_PLAIN_FORMAT.format(process=process)))
    root = getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
