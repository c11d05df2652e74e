"""Rendering of the timeline as a self-contained SVG image."""

from html import escape

from sesametrack.telemetry.events import Event
from sesametrack.telemetry.timeline import describe_event

_WIDTH_PX = 1200
_LANE_HEIGHT_PX = 28
_LEFT_MARGIN_PX = 190
_TOP_MARGIN_PX = 40
_RIGHT_MARGIN_PX = 20
_MIN_SPAN_S = 0.001
_RADIUS_PX = 4
_COLOURS = ('#1f77b4', '#d62728', '#2ca02c', '#9467bd', '#8c564b', '#e377c2')


def render_timeline_svg(events: list[Event]) -> str:
    """Return an SVG with a lane per process and a dot per event."""
    processes = sorted({event.process for event in events})
    parts = sorted({event.part for event in events})
    height = _TOP_MARGIN_PX + _LANE_HEIGHT_PX * (len(processes) + 1)
    body = [_render_lane(row, name) for row, name in enumerate(processes)]
    body.extend(_render_dots(events, processes, parts))
    body.extend(
        _render_legend(column, part) for column, part in enumerate(parts)
    )
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH_PX}" '
        f'height="{height}" font-family="sans-serif" font-size="12">'
        '<rect width="100%" height="100%" fill="white"/>'
        f'{"".join(body)}</svg>\n'
    )


def _render_dots(
    events: list[Event], processes: list[str], parts: list[str]
) -> list[str]:
    if not events:
        return []
    start = min(event.wall for event in events)
    end = max(event.wall for event in events)
    px_per_second = (_WIDTH_PX - _LEFT_MARGIN_PX - _RIGHT_MARGIN_PX) / max(
        end - start, _MIN_SPAN_S
    )
    return [
        _render_dot(
            event,
            processes.index(event.process),
            (event.wall - start) * px_per_second,
            _COLOURS[parts.index(event.part) % len(_COLOURS)],
        )
        for event in events
    ]


def _render_lane(row: int, name: str) -> str:
    center_y = _TOP_MARGIN_PX + _LANE_HEIGHT_PX * (row + 1)
    return (
        f'<text x="8" y="{center_y + 4}">{escape(name)}</text>'
        f'<line x1="{_LEFT_MARGIN_PX}" x2="{_WIDTH_PX - _RIGHT_MARGIN_PX}" '
        f'y1="{center_y}" y2="{center_y}" '
        'stroke="#ddd"/>'
    )


def _render_dot(event: Event, row: int, x_offset: float, colour: str) -> str:
    center_y = _TOP_MARGIN_PX + _LANE_HEIGHT_PX * (row + 1)
    title = escape(describe_event(event))
    return (
        f'<circle cx="{_LEFT_MARGIN_PX + x_offset:.1f}" cy="{center_y}" '
        f'r="{_RADIUS_PX}" '
        f'fill="{colour}"><title>{title}</title></circle>'
    )


def _render_legend(column: int, part: str) -> str:
    colour = _COLOURS[column % len(_COLOURS)]
    center_x = _LEFT_MARGIN_PX + column * 130
    return (
        f'<circle cx="{center_x}" cy="20" r="{_RADIUS_PX}" fill="{colour}"/>'
        f'<text x="{center_x + 10}" y="24">{escape(part)}</text>'
    )
