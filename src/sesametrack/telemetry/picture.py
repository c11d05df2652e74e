"""The time line as a self-contained SVG picture."""

from html import escape

from sesametrack.telemetry.events import Event
from sesametrack.telemetry.timeline import describe_event

_WIDTH = 1200
_LANE_HEIGHT = 28
_LEFT = 190
_TOP = 40
_RADIUS = 4
_COLOURS = ('#1f77b4', '#d62728', '#2ca02c', '#9467bd', '#8c564b', '#e377c2')


def draw_timeline(events: list[Event]) -> str:
    """Draw a lane for each process and a dot for each event."""
    processes = sorted({event.process for event in events})
    parts = sorted({event.part for event in events})
    height = _TOP + _LANE_HEIGHT * (len(processes) + 1)
    body = [_draw_lane(row, name) for row, name in enumerate(processes)]
    start = min((event.wall for event in events), default=0)
    end = max((event.wall for event in events), default=1)
    scale = (_WIDTH - _LEFT - 20) / max(end - start, 0.001)
    for event in events:
        row = processes.index(event.process)
        colour = _COLOURS[parts.index(event.part) % len(_COLOURS)]
        body.append(_draw_dot(event, row, (event.wall - start) * scale, colour))
    body.extend(_draw_legend(column, part) for column, part in enumerate(parts))
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH}" '
        f'height="{height}" font-family="sans-serif" font-size="12">'
        '<rect width="100%" height="100%" fill="white"/>'
        f'{"".join(body)}</svg>\n'
    )


def _draw_lane(row: int, name: str) -> str:
    level = _TOP + _LANE_HEIGHT * (row + 1)
    return (
        f'<text x="8" y="{level + 4}">{escape(name)}</text>'
        f'<line x1="{_LEFT}" x2="{_WIDTH - 20}" y1="{level}" y2="{level}" '
        'stroke="#ddd"/>'
    )


def _draw_dot(event: Event, row: int, offset: float, colour: str) -> str:
    level = _TOP + _LANE_HEIGHT * (row + 1)
    title = escape(describe_event(event))
    return (
        f'<circle cx="{_LEFT + offset:.1f}" cy="{level}" r="{_RADIUS}" '
        f'fill="{colour}"><title>{title}</title></circle>'
    )


def _draw_legend(column: int, part: str) -> str:
    colour = _COLOURS[column % len(_COLOURS)]
    left = _LEFT + column * 130
    return (
        f'<circle cx="{left}" cy="20" r="{_RADIUS}" fill="{colour}"/>'
        f'<text x="{left + 10}" y="24">{escape(part)}</text>'
    )
