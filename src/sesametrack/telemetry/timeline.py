"""Merging of the events of all processes into one time line."""

from collections.abc import Iterable
from datetime import datetime, timezone
from heapq import merge

from sesametrack.contracts.types import MemberId
from sesametrack.telemetry.events import Event


def merge_events(events: Iterable[Event]) -> list[Event]:
    """Order events by clock, and those of one process by sequence.

    A clock that was set back would tear a process's events out of order;
    so within a process no event is placed before its predecessor.
    """
    by_process: dict[MemberId, list[Event]] = {}
    for event in events:
        by_process.setdefault(event.process, []).append(event)
    lanes = [_place_lane(lane) for lane in by_process.values()]
    return [event for _, event in merge(*lanes, key=_placed_at)]


def select_events(
    events: list[Event], request_id: str, part: str
) -> list[Event]:
    """Keep the events of a request and of a part; empty keeps all."""
    return [
        event
        for event in events
        if (not request_id or event.request_id == request_id)
        and (not part or event.part == part)
    ]


def describe_event(event: Event) -> str:
    """Return one line of text for an event."""
    at = datetime.fromtimestamp(event.wall, tz=timezone.utc)
    details = ' '.join(
        f'{name}={detail}' for name, detail in event.details.items()
    )
    request = f' [{event.request_id}]' if event.request_id else ''
    clock = at.strftime('%H:%M:%S.%f')[:-3]
    line = f'{clock} {event.process} {event.part}: {event.name}{request}'
    return f'{line} {details}'.rstrip()


def _place_lane(lane: list[Event]) -> list[tuple[float, Event]]:
    placed: list[tuple[float, Event]] = []
    latest = float('-inf')
    for event in sorted(lane, key=lambda known: known.sequence):
        latest = max(latest, event.wall)
        placed.append((latest, event))
    return placed


def _placed_at(placed: tuple[float, Event]) -> float:
    return placed[0]
