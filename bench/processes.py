"""Starts and stops the real processes of a deployment on loopback."""

from asyncio import (
    create_subprocess_exec,
    gather,
    sleep,
    wait_for,
)
from asyncio.subprocess import DEVNULL, Process
from contextlib import suppress
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from sys import executable
from time import monotonic

from msgspec.json import decode, encode

from bench.deployments import Deployment, Vm, write_deployment
from sesametrack.contracts.exceptions import ProtocolError
from sesametrack.links.http import HttpRequest, HttpResponse
from sesametrack.links.http_client import HttpConnection
from sesametrack.links.platform import PlatformClient, PlatformVm, VmList
from sesametrack.programs.configuration_store import ConfigurationStore
from standins.faults import Change, ProcessReport
from standins.platform import PlatformFaults

_START_TIMEOUT = 30
_STOP_TIMEOUT = 40
_ENTRY_ADMIN = 7302
_GATE_ADMIN = 7312
_CALLER_PORT = 8080
_CONTROL_PORT = 9000
_FAILURES = (OSError, EOFError, TimeoutError, ProtocolError)


async def ask(
    address: str, method: str, path: str, body: bytes = b'', timeout: float = 5
) -> HttpResponse:
    """Ask one question on a new connection."""
    connection = HttpConnection(address)
    try:
        await connection.start(timeout)
        return await connection.exchange(
            HttpRequest(method, path, {}, body), timeout
        )
    finally:
        connection.abort()


class Cluster:
    """Platform, upstream stand-ins, and an entry and a gate for each VM."""

    def __init__(
        self,
        deployment: Deployment,
        folder: Path,
        seed: int = 1,
        policy: str = 'full',
        vms: list[Vm] | None = None,
    ) -> None:
        """Write the deployment's files to a folder; `start` runs it."""
        self.deployment = deployment
        self.vms = deployment.vms if vms is None else vms
        self.folder = folder
        self.process_by_name: dict[str, Process] = {}
        self._seed = seed
        write_deployment(deployment, folder, policy)
        self.store = ConfigurationStore(PlatformClient([deployment.platform]))

    @property
    def entries(self) -> list[str]:
        """Addresses for callers."""
        return [f'{vm.address}:{_CALLER_PORT}' for vm in self.vms]

    @property
    def admins(self) -> list[str]:
        """Admin addresses of all daemons."""
        return [
            f'{vm.address}:{port}'
            for vm in self.vms
            for port in (_ENTRY_ADMIN, _GATE_ADMIN)
        ]

    async def start(self) -> None:
        """Start everything, apply the configuration, wait until ready."""
        await self.start_standins()
        await self.store.apply(
            self.deployment.inventory, self.deployment.rules, None
        )
        for vm in self.vms:
            await self.start_vm(vm)
        await self.wait_ready()

    async def start_standins(self) -> None:
        """Start the platform and the upstreams of each failure domain."""
        host, _, port = self.deployment.platform.rpartition(':')
        await self._spawn(
            'platform',
            'standins',
            '--kind=platform',
            f'--host={host}',
            f'--port={port}',
        )
        domains = self.deployment.inventory.failure_domains
        for index, domain in enumerate(domains):
            await self._spawn(
                f'upstreams-{domain.id}',
                'standins',
                '--kind=upstreams',
                f'--host={self.deployment.upstream_host(index)}',
                f'--port={_CONTROL_PORT}',
                f'--inventory={self.folder / "inventory.json"}',
                f'--domains={domain.id}',
                f'--seed={self._seed + index}',
            )
        for index in range(len(domains)):
            await self._wait_up(self._control(index))
        await self._wait_up(self._platform_control)
        vms = [
            PlatformVm(vm.id, vm.failure_domain, vm.address, 'live')
            for vm in self.vms
        ]
        await ask(self._platform_control, 'POST', '/vms', encode(VmList(vms)))

    async def start_vm(self, vm: Vm) -> None:
        """Start the entry and the gate of a VM."""
        for program in ('entry', 'gate'):
            await self.start_daemon(vm, program)

    async def start_daemon(self, vm: Vm, program: str) -> None:
        """Start one daemon of a VM."""
        settings = self.folder / 'settings' / f'{vm.id}.json'
        await self._spawn(
            f'{vm.id}/{program}',
            f'sesametrack.programs.{program}_main',
            f'--settings={settings}',
            '--log_level=WARNING',
        )

    async def stop_daemon(self, name: str, *, is_killed: bool = False) -> int:
        """Stop a daemon and return its exit code."""
        process = self.process_by_name.pop(name)
        if process.returncode is None:
            process.send_signal(SIGKILL if is_killed else SIGTERM)
        return await wait_for(process.wait(), _STOP_TIMEOUT)

    async def stop_vm(self, vm: Vm, *, is_killed: bool = False) -> list[int]:
        """Stop both daemons of a VM."""
        return list(
            await gather(
                *(
                    self.stop_daemon(f'{vm.id}/{program}', is_killed=is_killed)
                    for program in ('entry', 'gate')
                )
            )
        )

    async def close(self) -> dict[str, int]:
        """Stop everything gracefully; returns exit codes by name."""
        daemons = [name for name in self.process_by_name if '/' in name]
        others = [name for name in self.process_by_name if '/' not in name]
        codes: dict[str, int] = {}
        for names in (daemons, others):
            ended = await gather(*(self.stop_daemon(name) for name in names))
            codes.update(zip(names, ended, strict=True))
        return codes

    async def wait_ready(self, vms: list[Vm] | None = None) -> None:
        """Wait until entries are ready and see every replica as usable."""
        deadline = monotonic() + _START_TIMEOUT
        for vm in self.vms if vms is None else vms:
            while not await self._is_serving(vm):
                if monotonic() > deadline:
                    raise TimeoutError(f'{vm.id} did not become ready')
                await sleep(0.1)

    async def change(self, change: Change) -> None:
        """Set faults of upstreams, in every process that has them."""
        domains = len(self.deployment.inventory.failure_domains)
        await gather(
            *(
                ask(self._control(index), 'POST', '/change', encode(change))
                for index in range(domains)
            )
        )

    async def change_domain(self, index: int, change: Change) -> None:
        """Set faults of the upstreams of one failure domain."""
        await ask(self._control(index), 'POST', '/change', encode(change))

    async def set_platform_faults(self, faults: PlatformFaults) -> None:
        """Set faults of the platform."""
        await ask(self._platform_control, 'POST', '/faults', encode(faults))

    async def reports(self) -> list[ProcessReport]:
        """Read what the upstreams counted."""
        domains = range(len(self.deployment.inventory.failure_domains))
        replies = await gather(
            *(ask(self._control(index), 'GET', '/report') for index in domains)
        )
        return [decode(reply.body, type=ProcessReport) for reply in replies]

    async def reset_reports(self) -> None:
        """Let the upstreams count from zero again."""
        domains = range(len(self.deployment.inventory.failure_domains))
        await gather(
            *(ask(self._control(index), 'POST', '/reset') for index in domains)
        )

    async def ran_in_domain(self, index: int) -> int:
        """Count what the upstreams of a failure domain have run."""
        reply = await ask(self._control(index), 'GET', '/report')
        report = decode(reply.body, type=ProcessReport)
        return sum(counted.ran for counted in report.counts.values())

    def freeze_domain(self, index: int) -> None:
        """Stop all processes of a failure domain in their tracks."""
        self._signal_domain(index, SIGSTOP)

    def thaw_domain(self, index: int) -> None:
        """Let the processes of a failure domain go on."""
        self._signal_domain(index, SIGCONT)

    def _signal_domain(self, index: int, signal: int) -> None:
        domain = self.deployment.inventory.failure_domains[index].id
        names = [f'upstreams-{domain}']
        for vm in self.vms:
            if vm.failure_domain == domain:
                names.extend((f'{vm.id}/entry', f'{vm.id}/gate'))
        for name in names:
            self.process_by_name[name].send_signal(signal)

    async def debug(self, vm: Vm, program: str) -> dict:
        """Read a daemon's debug view."""
        port = _ENTRY_ADMIN if program == 'entry' else _GATE_ADMIN
        reply = await ask(f'{vm.address}:{port}', 'GET', '/debug')
        return decode(reply.body)

    def cpu_seconds(self, program: str) -> float:
        """Return the processor time used by all daemons of a kind."""
        total = 0.0
        for name, process in self.process_by_name.items():
            if name.endswith(f'/{program}') and process.returncode is None:
                total += _cpu_seconds(process.pid)
        return total

    @property
    def _platform_control(self) -> str:
        host, _, port = self.deployment.platform.rpartition(':')
        return f'{host}:{int(port) + 1}'

    def _control(self, index: int) -> str:
        return f'{self.deployment.upstream_host(index)}:{_CONTROL_PORT}'

    async def _is_serving(self, vm: Vm) -> bool:
        try:
            ready = await ask(f'{vm.address}:{_CALLER_PORT}', 'GET', '/ready')
            debug = await self.debug(vm, 'entry')
        except _FAILURES:
            return False
        replicas = debug['daemon']['replicas'].values()
        is_usable = replicas and all(known['usable'] for known in replicas)
        return ready.status == 200 and bool(is_usable)

    async def _wait_up(self, address: str) -> None:
        deadline = monotonic() + _START_TIMEOUT
        while monotonic() < deadline:
            with suppress(*_FAILURES):
                await ask(address, 'GET', '/')
                return
            await sleep(0.05)
        raise TimeoutError(f'{address} did not come up')

    async def _spawn(self, name: str, module: str, *arguments: str) -> None:
        log = self.folder / f'{name.replace("/", "-")}.log'
        with log.open('ab') as output:
            self.process_by_name[name] = await create_subprocess_exec(
                executable,
                '-m',
                module,
                *arguments,
                stdin=DEVNULL,
                stdout=DEVNULL,
                stderr=output,
            )


def _cpu_seconds(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    ticks_per_second = 100
    return (int(fields[11]) + int(fields[12])) / ticks_per_second
