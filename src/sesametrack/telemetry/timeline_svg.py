"""The time line as a self-contained SVG picture."""

from html import escape

from sesametrack.telemetry.events import Event
from sesametrack.telemetry.timeline import describe_event

_WIDTH = 1200
_LANE_HEIGHT = 28
_LEFT = 190
_TOP = 40
_RIGHT = 20
_LEAST_SPAN_S = 0.001
_RADIUS = 4
_COLOURS = ('#1f77b4', '#d62728', '#2ca02c', '#9467bd', '#8c564b', '#e377c2')


def render_timeline_svg(events: list[Event]) -> str:
    """Draw a lane for each process and a dot for each event."""
    processes = sorted({event.process for event in events})
    parts = sorted({event.part for event in events})
    height = _TOP + _LANE_HEIGHT * (len(processes) + 1)
    body = [_draw_lane(row, name) for row, name in enumerate(processes)]
    body.extend(_draw_dots(events, processes, parts))
    body.extend(_draw_legend(column, part) for column, part in enumerate(parts))
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH}" '
        f'height="{height}" font-family="sans-serif" font-size="12">'
        '<rect width="100%" height="100%" fill="white"/>'
        f'{"".join(body)}</svg>\n'
    )


def _draw_dots(
    events: list[Event], processes: list[str], parts: list[str]
) -> list[str]:
    if not events:
        return []
    start = min(event.wall for event in events)
    end = max(event.wall for event in events)
    scale = (_WIDTH - _LEFT - _RIGHT) / max(end - start, _LEAST_SPAN_S)
    return [
        _draw_dot(
            event,
            processes.index(event.process),
            (event.wall - start) * scale,
            _COLOURS[parts.index(event.part) % len(_COLOURS)],
        )
        for event in events
    ]


def _draw_lane(row: int, name: str) -> str:
    level = _TOP + _LANE_HEIGHT * (row + 1)
    return (
        f'<text x="8" y="{level + 4}">{escape(name)}</text>'
        f'<line x1="{_LEFT}" x2="{_WIDTH - _RIGHT}" y1="{level}" y2="{level}" '
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
