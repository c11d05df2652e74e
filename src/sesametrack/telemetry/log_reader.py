"""Events read back from the structured logs of routers."""

from collections.abc import Iterable

from msgspec import DecodeError
from msgspec.json import decode, encode

from sesametrack.telemetry.events import Event

# Fields of a line that an event holds by itself.
_OWN_FIELDS = frozenset(
    ('time', 'steady', 'process', 'part', 'event', 'request_id')
)


def read_log_events(lines: Iterable[bytes]) -> tuple[list[Event], int]:
    """Return the events of log lines, and the number of other lines.

    What stands before the first brace of a line is passed over: log
    collectors put the time or the VM there.
    """
    events: list[Event] = []
    unread = 0
    for number, line in enumerate(lines):
        start = line.find(b'{')
        found = None if start < 0 else _read_line(line[start:], number)
        if found is None:
            unread += 1
        else:
            events.append(found)
    return events, unread


def _read_line(text: bytes, number: int) -> Event | None:
    try:
        plain = decode(text)
    except DecodeError:
        return None
    try:
        return Event(
            plain['process'],
            number,
            float(plain['time']),
            float(plain['steady']),
            plain['part'],
            plain['event'],
            plain.get('request_id', ''),
            {
                name: _flatten(found)
                for name, found in plain.items()
                if name not in _OWN_FIELDS
            },
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def _flatten(found: object) -> str | int | float | bool:
    if isinstance(found, (str, int, float)):
        return found
    return encode(found).decode()
