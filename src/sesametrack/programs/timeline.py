"""One time line of events over all processes: `sesametrack-timeline`."""

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
from sesametrack.telemetry.logged import read_logged_events
from sesametrack.telemetry.picture import draw_timeline
from sesametrack.telemetry.timeline import (
    describe_event,
    merge_events,
    select_events,
)

_EXIT_REFUSED = 2
_PLATFORM = flags.DEFINE_list(
    'platform', ['127.0.0.1:8500'], 'addresses of the platform API'
)
_ADMINS = flags.DEFINE_list(
    'admins', [], 'admin addresses; the VM list is used if there are none'
)
_ADMIN_PORTS = flags.DEFINE_list(
    'admin_ports', ['7302', '7312'], 'admin ports of the daemons of a VM'
)
_FROM_FILE = flags.DEFINE_string('from_file', None, 'read events of a file')
_LOGS = flags.DEFINE_list(
    'logs', [], 'structured logs of routers to read; - is standard input'
)
_SAVE = flags.DEFINE_string('save', None, 'save the events as JSON lines')
_SVG = flags.DEFINE_string('svg', None, 'write a picture to this path')
_REQUEST = flags.DEFINE_string('request', '', 'only events of this request id')
_PART = flags.DEFINE_string('part', '', 'only events of this part')


def run() -> None:
    """Run the program."""
    app.run(_main)


def _main(argv: list[str]) -> None:
    if _LOGS.value:
        events = _read_logs(_LOGS.value)
    elif _FROM_FILE.value:
        lines = Path(_FROM_FILE.value).read_bytes().splitlines()
        events = [decode(line, type=Event) for line in lines]
    else:
        events = run_loop(_collect())
    if _SAVE.value:
        lines = [encode(event) for event in events]
        Path(_SAVE.value).write_bytes(b'\n'.join(lines) + b'\n')
    merged = select_events(merge_events(events), _REQUEST.value, _PART.value)
    if _SVG.value:
        Path(_SVG.value).write_text(draw_timeline(merged))
    for event in merged:
        stdout.write(f'{describe_event(event)}\n')


def _read_logs(names: list[str]) -> list[Event]:
    lines: list[bytes] = []
    for name in names:
        try:
            found = stdin.buffer if name == '-' else Path(name).open('rb')
        except OSError as failed:
            stderr.write(f'{name}: {failed}\n')
            exit_process(_EXIT_REFUSED)
        with found:
            lines.extend(found)
    events, unread = read_logged_events(lines)
    if unread:
        stderr.write(f'{unread} lines hold no event\n')
    return events


async def _collect() -> list[Event]:
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
