"""Frame of a case: runs it, writes its record and sets the exit code."""

import asyncio
import os
import tempfile
import traceback
from pathlib import Path

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Lines of record.txt, with the time since the start of the case."""

    def __init__(self, path):
        self._path = path
        self._lines = []
        self._started_at = asyncio.get_running_loop().time()

    def add(self, text, at=None):
        """Add a line; `at` is a monotonic time, by default now."""
        if at is None:
            at = asyncio.get_running_loop().time()
        self._lines.append((at, f'{at - self._started_at:8.3f} s  {text}'))

    def write(self, verdict):
        """Write all lines in the order of their times, then the verdict."""
        lines = [line for _, line in sorted(self._lines, key=lambda one: one[0])]
        self._path.write_text('\n'.join([*lines, verdict, '']))


async def _run(play, path):
    record = Record(path)
    with tempfile.TemporaryDirectory() as folder:
        verdict, is_broken = await play(record, Path(folder))
        if os.environ.get('KEEP_LOGS'):
            for log in Path(folder).glob('*.log'):
                (Path(os.environ['KEEP_LOGS']) / log.name).write_bytes(
                    log.read_bytes()
                )
    record.write(verdict)
    print(verdict)
    return BROKEN if is_broken else HELD


def run_case(play, folder):
    """Run `play(record, folder)`, which returns a verdict and its sign."""
    try:
        code = asyncio.run(
            asyncio.wait_for(_run(play, Path(folder) / 'record.txt'), 115)
        )
    except Exception:
        traceback.print_exc()
        code = NOT_RUN
    print(end="", flush=True)
    # Nothing is left to clean up; this also ends threads that still wait.
    os._exit(code)
