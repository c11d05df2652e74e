"""Merging of the events of all processes into one timeline."""

from collections.abc import Iterable
from datetime import datetime, timezone
from heapq import merge

from sesametrack.contracts.types import MemberId
from sesametrack.telemetry.events import Event


def merge_events(events: Iterable[Event]) -> list[Event]:
    """Return events ordered by wall clock, within a process by sequence.

    If the clock of a process is set back, its later events are ordered at
    the latest time seen so far, so that they never precede earlier ones.
    """
    events_by_process: dict[MemberId, list[Event]] = {}
    for event in events:
        events_by_process.setdefault(event.process, []).append(event)
    timed_lists = [_assign_times(group) for group in events_by_process.values()]
    return [event for _, event in merge(*timed_lists, key=_assigned_time)]


def select_events(
    events: list[Event], request_id: str, part: str
) -> list[Event]:
    """Return the events of a request and a part; empty matches all."""
    return [
        event
        for event in events
        if (not request_id or event.request_id == request_id)
        and (not part or event.part == part)
    ]


def describe_event(event: Event) -> str:
    """Return an event as one line of text."""
    time = datetime.fromtimestamp(event.wall, tz=timezone.utc)
    details = ' '.join(
        f'{name}={detail}' for name, detail in event.details.items()
    )
    request = f' [{event.request_id}]' if event.request_id else ''
    clock = time.strftime('%H:%M:%S.%f')[:-3]
    line = f'{clock} {event.process} {event.part}: {event.name}{request}'
    return f'{line} {details}'.rstrip()


def _assign_times(events: list[Event]) -> list[tuple[float, Event]]:
    timed: list[tuple[float, Event]] = []
    latest = float('-inf')
    for event in sorted(events, key=lambda event: event.sequence):
        latest = max(latest, event.wall)
        timed.append((latest, event))
    return timed


def _assigned_time(timed: tuple[float, Event]) -> float:
    return timed[0]
