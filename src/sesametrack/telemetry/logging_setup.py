"""Set-up of logging to standard error, as plain text or JSON."""

from logging import Formatter, LogRecord, StreamHandler, getLogger
from sys import stderr

from msgspec.json import encode

_PLAIN_FORMAT = '%(asctime)s %(levelname)s {process}: %(name)s: %(message)s'


class JsonFormatter(Formatter):
    """Formats each record as a JSON object on one line."""

    def __init__(self, process: str) -> None:
        """Create a formatter for the named process."""
        super().__init__()
        self._process = process

    def format(self, record: LogRecord) -> str:
        """Return the JSON line of a record."""
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
    """Log to standard error, as JSON or by default as plain text."""
    handler = StreamHandler(stderr)
    if log_format == 'json':
        handler.setFormatter(JsonFormatter(process))
    else:
        handler.setFormatter(Formatter(_PLAIN_FORMAT.format(process=process)))
    root = getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
