"""Starts routers by the deploy file, as separate processes."""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
# The bounds of the small sites.
BOUNDS = {'retry_ratio': 0.2, 'retry_window_s': 10, 'retry_slack': 52, 'grace_s': 6}
_PLACEHOLDER = re.compile(r'\{\{([a-z_.]+)\|json\}\}')


def free_network():
    """Return the first three numbers of loopback addresses with free ports."""
    for _ in range(50):
        network = f'127.{os.urandom(1)[0] % 200 + 20}.{os.urandom(1)[0]}'
        try:
            for last in (1, 2, 3, 200):
                for port in (8104, 8108, 9464, *range(7380, 7386), *range(8111, 8114)):
                    with socket.socket() as probe:
                        probe.bind((f'{network}.{last}', port))
        except OSError:
            continue
        return network
    raise OSError('no free loopback addresses')


class Router:
    """One router process of a VM, which is started again if it is killed."""

    def __init__(self, network, number, zone, folder):
        self.number = number
        self.zone = zone
        self.ip = f'{network}.{number}'
        self.callers = (self.ip, 8104)
        self._ready = (self.ip, 8108)
        self._folder = folder
        self._store = f'{network}.200:{8110 + number}'
        self._process = None
        self.starts = []

    def start(self, *, is_first):
        """Start the process with the run line of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['router']
        fields = {
            'node_name': f'front-{self.zone}-{self.number}',
            'zone': self.zone,
            'ip': self.ip,
            'listen': {
                'front': f'{self.ip}:8104',
                'ready': f'{self.ip}:8108',
            },
            'platform': {'address': self._store},
            'internal_ports': [7380, 7395],
            'bounds': BOUNDS,
            'bootstrap': is_first,
            'limits': {'memory_mb': 300, 'max_fds': 4100},
        }
        template = (ROOT / role['template']).read_text()
        path = self._folder / f'{self.number}.json'
        path.write_text(
            _PLACEHOLDER.sub(lambda found: _look_up(fields, found[1]), template)
        )
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'SESAMETRACK_SETTINGS': str(path),
        }
        log = (self._folder / f'{self.number}.log').open('ab')
        self._process = subprocess.Popen(
            role['run'].split(' '),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.starts.append(asyncio.get_running_loop().time())

    def send_signal(self, number):
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self):
        """Kill the process, and wait for its end."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    async def is_ready(self):
        """Return whether the readiness check is answered with 200."""
        try:
            reader, writer = await asyncio.open_connection(*self._ready)
        except OSError:
            return False
        try:
            writer.write(
                b'GET /sesametrack/ready HTTP/1.1\r\nHost: x\r\n'
                b'Content-Length: 0\r\n\r\n'
            )
            line = await asyncio.wait_for(reader.readline(), 1)
            return b' 200 ' in line
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()


async def wait_until_ready(routers, timeout_s=15):
    """Wait until all are ready; raise TimeoutError otherwise."""
    async with asyncio.timeout(timeout_s):
        while not all([await one.is_ready() for one in routers]):
            await asyncio.sleep(0.1)


def _look_up(fields, name):
    found = fields
    for part in name.split('.'):
        found = found[part]
    return json.dumps(found)
