"""What all scripts share: routers, a record, and the end of all processes."""

from asyncio import get_running_loop, run, sleep, wait_for
from collections.abc import Awaitable, Callable
from contextlib import suppress
from json import dumps, loads
from os import environ
from pathlib import Path
from random import Random
from signal import SIGTERM, signal
from socket import create_server
from subprocess import DEVNULL, Popen
from sys import exit as exit_process
from tempfile import TemporaryDirectory
from time import monotonic
from traceback import format_exc
from typing import Any

from rig.client import Client

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
_MODULE = 'sesametrack.programs.router_process'
_LONGEST_S = 115
_PEER_PORTS = 16
_START_S = 30


class NotRunError(Exception):
    """The case could not be played as meant."""


class Case:
    """One run of a script; `has_trouble` is False with TROUBLE=0."""

    def __init__(self, folder: Path) -> None:
        self.has_trouble = environ.get('TROUBLE', '1') != '0'
        self.rng = Random()
        self._record = (folder / 'record.txt').open('w')
        self._started_at = monotonic()
        self._folder = TemporaryDirectory()
        self._processes: list[Popen] = []
        self._logs: list[Any] = []
        self._net = f'127.{self.rng.randrange(16, 240)}.{self.rng.randrange(256)}'
        self._hosts = 0
        self._port = self.rng.randrange(12_000, 28_000)

    def record(self, line: str) -> None:
        at = monotonic() - self._started_at
        self._record.write(f'{at:8.3f} {line}\n')
        self._record.flush()

    def new_host(self) -> str:
        """Return a loopback address that nothing of this case has yet."""
        self._hosts += 1
        return f'{self._net}.{self._hosts}'

    def free_ports(self, host: str, count: int = 1) -> int:
        """Return the first of some ports in a row that are free."""
        while True:
            self._port += count
            with suppress(OSError):
                for port in range(self._port, self._port + count):
                    create_server((host, port)).close()
                return self._port

    def start_router(
        self, vm: str, zone: str, store: str, **settings: Any
    ) -> 'Router':
        """Start a router with the command of the deploy file."""
        host = self.new_host()
        first = self.free_ports(host, _PEER_PORTS + 3)
        settings = {
            'vm': vm,
            'failure_domain': zone,
            'address': host,
            'callers': f'{host}:{first}',
            'readiness': f'{host}:{first + 1}',
            'platform': store,
            'metrics_port': first + 2,
            'peer_ports': [first + 3, first + 2 + _PEER_PORTS],
            'retries': {'ratio': 0.2, 'window_s': 10, 'slack': 52},
            'is_first_start': True,
            'stop_timeout_s': 6,
            'memory_mb': 300,
            'max_descriptors': 4100,
            **settings,
        }
        path = Path(self._folder.name) / f'{vm}.json'
        path.write_text(dumps(settings))
        log = (Path(self._folder.name) / f'{vm}.log').open('wb')
        self._logs.append(log)
        process = Popen(
            ['python3', '-m', _MODULE],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            stdin=DEVNULL,
            env={
                'PATH': environ['PATH'],
                'HOME': environ.get('HOME', '/'),
                'LANG': environ.get('LANG', 'C.UTF-8'),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'SESAMETRACK_SETTINGS': str(path),
            },
        )
        self._processes.append(process)
        return Router(vm, zone, settings, process, Path(log.name))

    def close(self) -> None:
        """End all processes that this case has started."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
        for process in self._processes:
            process.wait()
        for log in self._logs:
            log.close()
        self._folder.cleanup()
        self._record.close()


class Router:
    """A router's process."""

    def __init__(
        self,
        vm: str,
        zone: str,
        settings: dict[str, Any],
        process: Popen,
        log: Path,
    ) -> None:
        self.vm = vm
        self.zone = zone
        self.address = settings['callers']
        self.process = process
        self._readiness = settings['readiness']
        self._log = log

    async def is_ready(self) -> bool:
        """Return whether the platform would send new clients here."""
        client = Client(self._readiness)
        try:
            outcome = await client.ask(
                'r', '/sesametrack/ready', host='ready', limit_s=1
            )
        except OSError:
            return False
        finally:
            client.close()
        return outcome.status == 200

    async def wait_until_ready(self) -> None:
        for _ in range(_START_S * 10):
            if await self.is_ready():
                return
            await sleep(0.1)
        raise NotRunError(f'{self.vm} is not ready: {self.log_tail()}')

    def errors(self) -> list[str]:
        """Return the exceptions that the router's event loop has logged."""
        found = []
        for line in self._log.read_text(errors='replace').splitlines():
            with suppress(ValueError):
                entry = loads(line)
                if entry.get('exception'):
                    event = entry['event'].partition('\n')[0]
                    found.append(f'{event}: {entry["exception"]}')
        return found

    def log_tail(self) -> str:
        return self._log.read_text(errors='replace')[-500:]

    def terminate(self) -> None:
        self.process.send_signal(SIGTERM)


def play(
    folder: Path, scenario: Callable[[Case], Awaitable[bool]]
) -> None:
    """Run a scenario, which returns whether the rule held; end with its code."""
    case = Case(folder)
    code = NOT_RUN
    # The processes are ended in this case too.
    signal(SIGTERM, lambda number, frame: exit_process(NOT_RUN))
    try:
        has_held = run(_limit(scenario(case)))
        code = HELD if has_held else BROKEN
        case.record(f'the rule {"held" if has_held else "was broken"}')
    except NotRunError as error:
        case.record(f'not run: {error}')
    except Exception:
        case.record(f'not run: {format_exc()}')
    finally:
        case.close()
    exit_process(code)


async def _limit(playing: Awaitable[bool]) -> bool:
    # Tasks of the stand-ins that still run at the end are no failures.
    get_running_loop().set_exception_handler(lambda loop, context: None)
    return await wait_for(playing, _LONGEST_S)
