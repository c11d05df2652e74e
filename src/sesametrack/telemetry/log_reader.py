"""Reader of events from the structured logs of routers."""

from collections.abc import Iterable

from msgspec import DecodeError
from msgspec.json import decode, encode

from sesametrack.telemetry.events import Event

# Fields of a log line that map to fields of Event other than `details`.
_EVENT_FIELDS = frozenset(
    ('time', 'steady', 'process', 'part', 'event', 'request_id')
)


def read_log_events(lines: Iterable[bytes]) -> tuple[list[Event], int]:
    """Return the events in log lines and the number of skipped lines.

    Text before the first brace of a line is ignored, since log collectors
    prefix lines with the time or the VM. A line that holds no event is
    skipped.
    """
    events: list[Event] = []
    skipped = 0
    for number, line in enumerate(lines):
        start = line.find(b'{')
        event = None if start < 0 else _parse_line(line[start:], number)
        if event is None:
            skipped += 1
        else:
            events.append(event)
    return events, skipped


def _parse_line(text: bytes, number: int) -> Event | None:
    try:
        fields = decode(text)
    except DecodeError:
        return None
    try:
        return Event(
            fields['process'],
            number,
            float(fields['time']),
            float(fields['steady']),
            fields['part'],
            fields['event'],
            fields.get('request_id', ''),
            {
                name: _to_scalar(detail)
                for name, detail in fields.items()
                if name not in _EVENT_FIELDS
            },
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def _to_scalar(detail: object) -> str | int | float | bool:
    if isinstance(detail, (str, int, float)):
        return detail
    return encode(detail).decode()
