"""Signals that reach the router's process before it is ready."""

from contextlib import suppress
from json import dumps
from pathlib import Path
from signal import SIGHUP, SIGTERM
from subprocess import DEVNULL, Popen, TimeoutExpired
from sys import executable
from tempfile import TemporaryDirectory
from time import monotonic, sleep

from testtools import TestCase

_HOST = '127.1.3.9'
_STOP_TIMEOUT_S = 1
_WAIT_S = 20
_POLL_S = 0.002
# A router that gets both signals before its sockets are open.
_SIGNALLED_EARLY = """
from os import getpid, kill
from signal import SIGHUP, SIGTERM
from sesametrack.links.http_server import HttpServer
from sesametrack.programs.router import run_program
open_socket = HttpServer.start
async def start(server):
    kill(getpid(), SIGHUP)
    kill(getpid(), SIGTERM)
    await open_socket(server)
HttpServer.start = start
run_program()
"""


def write_settings(folder: str) -> Path:
    """Write the settings of a router whose store does not answer."""
    path = Path(folder) / 'router.json'
    path.write_text(
        dumps(
            {
                'vm': 'vm-1',
                'failure_domain': 'north',
                'address': _HOST,
                'callers': f'{_HOST}:9395',
                'readiness': f'{_HOST}:9396',
                'platform': f'{_HOST}:9397',
                'stop_timeout_s': _STOP_TIMEOUT_S,
            }
        )
    )
    return path


def wait_until_blocked(process: Popen, number: int) -> None:
    """Wait until a process holds a signal back, or has ended."""
    status = Path(f'/proc/{process.pid}/status')
    deadline = monotonic() + _WAIT_S
    while process.poll() is None and monotonic() < deadline:
        with suppress(OSError):
            lines = status.read_text().splitlines()
            masks = [line for line in lines if line.startswith('SigBlk')]
            if int(masks[0].split()[1], 16) & 1 << (number - 1):
                return
        sleep(_POLL_S)


class SignalsTest(TestCase):
    """A reload or a planned stop never ends a process by the default action.

    Guards against exit codes -1 and -15: the handlers were installed after
    all sockets were open, and the process imported its modules without any.
    """

    def run_router(self, arguments: list[str], numbers: list[int]) -> int:
        """Run a router, send signals when it holds them back; return its code.

        Without signals to send, its first SIGTERM must come from elsewhere.
        """
        with TemporaryDirectory() as folder:
            settings = write_settings(folder)
            process = Popen(
                [executable, *arguments, f'--settings={settings}'],
                stdout=DEVNULL,
            )
            if numbers:
                wait_until_blocked(process, numbers[0])
            for number in numbers:
                process.send_signal(number)
            try:
                return process.wait(_WAIT_S)
            except TimeoutExpired:
                process.kill()
                return process.wait()

    def test_while_importing(self) -> None:
        """Both signals arrive while the router's modules are imported."""
        arguments = ['-m', 'sesametrack.programs.router_process']
        self.assertEqual(0, self.run_router(arguments, [SIGHUP, SIGTERM]))

    def test_while_starting(self) -> None:
        """Both signals arrive before the first socket is open."""
        self.assertEqual(0, self.run_router(['-c', _SIGNALLED_EARLY], []))
