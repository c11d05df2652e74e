"""The timeline of the events of all processes: `sesametrack-timeline`."""

from asyncio import run as run_loop
from pathlib import Path
from sys import exit as exit_process
from sys import stderr, stdin, stdout

from absl import app, flags
from msgspec import convert
from msgspec.json import decode, encode

from sesametrack.links.platform import PlatformClient
from sesametrack.programs.admin_client import fetch_all, find_admin_addresses
from sesametrack.telemetry.events import Event
from sesametrack.telemetry.log_reader import read_log_events
from sesametrack.telemetry.timeline import (
    describe_event,
    merge_events,
    select_events,
)
from sesametrack.telemetry.timeline_svg import render_timeline_svg

_EXIT_REFUSED = 2
_PLATFORM = flags.DEFINE_list(
    'platform', ['127.0.0.1:8500'], 'addresses of the platform API'
)
_ADMINS = flags.DEFINE_list(
    'admins',
    [],
    'admin addresses of the daemons; by default those of the VM list',
)
_ADMIN_PORTS = flags.DEFINE_list(
    'admin_ports', ['7302', '7312'], 'admin ports of the daemons on each VM'
)
_FROM_FILE = flags.DEFINE_string(
    'from_file', None, 'read the events that --save wrote'
)
_LOGS = flags.DEFINE_list(
    'logs', [], 'structured router logs to read; - is standard input'
)
_SAVE = flags.DEFINE_string('save', None, 'save the events as JSON lines')
_SVG = flags.DEFINE_string(
    'svg', None, 'write the timeline as SVG to this path'
)
_REQUEST = flags.DEFINE_string(
    'request', '', 'show only events of this request id'
)
_PART = flags.DEFINE_string('part', '', 'show only events of this part')


def run() -> None:
    """Print the timeline, and save or draw it if requested."""
    app.run(_main)


def _main(argv: list[str]) -> None:
    if _LOGS.value:
        events = _read_logs(_LOGS.value)
    elif _FROM_FILE.value:
        lines = Path(_FROM_FILE.value).read_bytes().splitlines()
        events = [decode(line, type=Event) for line in lines]
    else:
        events = run_loop(_fetch_events())
    if _SAVE.value:
        lines = [encode(event) for event in events]
        Path(_SAVE.value).write_bytes(b'\n'.join(lines) + b'\n')
    merged = select_events(merge_events(events), _REQUEST.value, _PART.value)
    if _SVG.value:
        Path(_SVG.value).write_text(render_timeline_svg(merged))
    for event in merged:
        stdout.write(f'{describe_event(event)}\n')


def _read_logs(paths: list[str]) -> list[Event]:
    lines: list[bytes] = []
    for path in paths:
        try:
            log = stdin.buffer if path == '-' else Path(path).open('rb')
        except OSError as error:
            stderr.write(f'{path}: {error}\n')
            exit_process(_EXIT_REFUSED)
        with log:
            lines.extend(log)
    events, skipped = read_log_events(lines)
    if skipped:
        stderr.write(f'{skipped} lines without an event were skipped\n')
    return events


async def _fetch_events() -> list[Event]:
    platform = PlatformClient(_PLATFORM.value)
    ports = [int(port) for port in _ADMIN_PORTS.value]
    admins = await find_admin_addresses(platform, ports, _ADMINS.value)
    await platform.close()
    events: list[Event] = []
    for reply in await fetch_all(admins, '/events'):
        if reply.content is None:
            stderr.write(f'{reply.address}: {reply.error}\n')
            continue
        events.extend(convert(reply.content, list[Event]))
    return events
