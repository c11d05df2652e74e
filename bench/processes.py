"""Starts and stops the processes of a deployment on loopback addresses."""

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

_START_TIMEOUT_S = 30
_STOP_TIMEOUT_S = 40
_ENTRY_ADMIN_PORT = 7302
_GATE_ADMIN_PORT = 7312
_CALLER_PORT = 8080
_CONTROL_PORT = 9000
_REQUEST_ERRORS = (OSError, EOFError, TimeoutError, ProtocolError)


async def ask(
    address: str, method: str, path: str, body: bytes = b'', timeout: float = 5
) -> HttpResponse:
    """Send a request on a new connection and return the response.

    Raises OSError, EOFError, TimeoutError or ProtocolError if there is none.
    `timeout`, in seconds, applies to connecting and to the exchange separately.
    """
    connection = HttpConnection(address)
    try:
        await connection.start(timeout)
        return await connection.exchange(
            HttpRequest(method, path, {}, body), timeout
        )
    finally:
        connection.abort()


class Cluster:
    """Platform and upstream stand-ins, and an entry and a gate for each VM."""

    def __init__(
        self,
        deployment: Deployment,
        folder: Path,
        seed: int = 1,
        policy: str = 'full',
        vms: list[Vm] | None = None,
    ) -> None:
        """Write the deployment's files to a folder without starting it."""
        self.deployment = deployment
        self.vms = deployment.vms if vms is None else vms
        self.folder = folder
        self.process_by_name: dict[str, Process] = {}
        self._seed = seed
        write_deployment(deployment, folder, policy)
        self.store = ConfigurationStore(PlatformClient([deployment.platform]))

    @property
    def entries(self) -> list[str]:
        """Return the addresses at which entries accept callers."""
        return [f'{vm.address}:{_CALLER_PORT}' for vm in self.vms]

    @property
    def admins(self) -> list[str]:
        """Return the admin addresses of all daemons."""
        return [
            f'{vm.address}:{port}'
            for vm in self.vms
            for port in (_ENTRY_ADMIN_PORT, _GATE_ADMIN_PORT)
        ]

    async def start(self) -> None:
        """Start all processes, apply the configuration and wait until ready."""
        await self.start_standins()
        await self.store.apply(
            self.deployment.inventory, self.deployment.rules, None
        )
        for vm in self.vms:
            await self.start_vm(vm)
        await self.wait_ready()

    async def start_standins(self) -> None:
        """Start the platform and the upstreams, and register the VMs."""
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
            await self._wait_reachable(self._control_address(index))
        await self._wait_reachable(self._platform_control_address)
        vms = [
            PlatformVm(vm.id, vm.failure_domain, vm.address, 'live')
            for vm in self.vms
        ]
        await ask(
            self._platform_control_address, 'POST', '/vms', encode(VmList(vms))
        )

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
        """Stop a process with SIGTERM or SIGKILL and return its exit code.

        Raises TimeoutError if it does not exit in time.
        """
        process = self.process_by_name.pop(name)
        if process.returncode is None:
            process.send_signal(SIGKILL if is_killed else SIGTERM)
        return await wait_for(process.wait(), _STOP_TIMEOUT_S)

    async def stop_vm(self, vm: Vm, *, is_killed: bool = False) -> list[int]:
        """Stop both daemons of a VM and return their exit codes."""
        return list(
            await gather(
                *(
                    self.stop_daemon(f'{vm.id}/{program}', is_killed=is_killed)
                    for program in ('entry', 'gate')
                )
            )
        )

    async def close(self) -> dict[str, int]:
        """Stop all processes with SIGTERM and return their exit codes by name.

        Daemons stop first, then the stand-ins they depend on.
        """
        daemon_names = [name for name in self.process_by_name if '/' in name]
        standin_names = [
            name for name in self.process_by_name if '/' not in name
        ]
        exit_codes: dict[str, int] = {}
        for names in (daemon_names, standin_names):
            group_exit_codes = await gather(
                *(self.stop_daemon(name) for name in names)
            )
            exit_codes.update(zip(names, group_exit_codes, strict=True))
        return exit_codes

    async def wait_ready(self, vms: list[Vm] | None = None) -> None:
        """Wait until entries are ready and list every replica as usable.

        Raises TimeoutError if an entry is not ready in time.
        """
        deadline = monotonic() + _START_TIMEOUT_S
        for vm in self.vms if vms is None else vms:
            while not await self._is_serving(vm):
                if monotonic() > deadline:
                    raise TimeoutError(f'{vm.id} did not become ready')
                await sleep(0.1)

    async def change(self, change: Change) -> None:
        """Change the faults of upstreams in all failure domains."""
        domain_count = len(self.deployment.inventory.failure_domains)
        await gather(
            *(
                ask(
                    self._control_address(index),
                    'POST',
                    '/change',
                    encode(change),
                )
                for index in range(domain_count)
            )
        )

    async def change_domain(self, index: int, change: Change) -> None:
        """Change the faults of the upstreams in one failure domain."""
        await ask(
            self._control_address(index), 'POST', '/change', encode(change)
        )

    async def set_platform_faults(self, faults: PlatformFaults) -> None:
        """Set faults of the platform."""
        await ask(
            self._platform_control_address, 'POST', '/faults', encode(faults)
        )

    async def reports(self) -> list[ProcessReport]:
        """Return the upstreams' counters, one report per failure domain."""
        domain_indexes = range(len(self.deployment.inventory.failure_domains))
        replies = await gather(
            *(
                ask(self._control_address(index), 'GET', '/report')
                for index in domain_indexes
            )
        )
        return [decode(reply.body, type=ProcessReport) for reply in replies]

    async def reset_reports(self) -> None:
        """Reset the counters of all upstreams to zero."""
        domain_indexes = range(len(self.deployment.inventory.failure_domains))
        await gather(
            *(
                ask(self._control_address(index), 'POST', '/reset')
                for index in domain_indexes
            )
        )

    async def ran_in_domain(self, index: int) -> int:
        """Return the number of sub-queries that a domain's upstreams ran."""
        reply = await ask(self._control_address(index), 'GET', '/report')
        report = decode(reply.body, type=ProcessReport)
        return sum(
            upstream_counts.ran for upstream_counts in report.counts.values()
        )

    def freeze_domain(self, index: int) -> None:
        """Suspend all processes of a failure domain with SIGSTOP."""
        self._signal_domain(index, SIGSTOP)

    def thaw_domain(self, index: int) -> None:
        """Resume the processes of a failure domain with SIGCONT."""
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
        """Return the decoded `/debug` reply of a daemon."""
        port = _ENTRY_ADMIN_PORT if program == 'entry' else _GATE_ADMIN_PORT
        reply = await ask(f'{vm.address}:{port}', 'GET', '/debug')
        return decode(reply.body)

    def cpu_seconds(self, program: str) -> float:
        """Return the CPU seconds used by all running daemons of a program."""
        total = 0.0
        for name, process in self.process_by_name.items():
            if name.endswith(f'/{program}') and process.returncode is None:
                total += _cpu_seconds(process.pid)
        return total

    @property
    def _platform_control_address(self) -> str:
        host, _, port = self.deployment.platform.rpartition(':')
        return f'{host}:{int(port) + 1}'

    def _control_address(self, index: int) -> str:
        return f'{self.deployment.upstream_host(index)}:{_CONTROL_PORT}'

    async def _is_serving(self, vm: Vm) -> bool:
        try:
            ready = await ask(f'{vm.address}:{_CALLER_PORT}', 'GET', '/ready')
            debug = await self.debug(vm, 'entry')
        except _REQUEST_ERRORS:
            return False
        replicas = debug['daemon']['replicas'].values()
        is_usable = replicas and all(replica['usable'] for replica in replicas)
        return ready.status == 200 and bool(is_usable)

    async def _wait_reachable(self, address: str) -> None:
        deadline = monotonic() + _START_TIMEOUT_S
        while monotonic() < deadline:
            with suppress(*_REQUEST_ERRORS):
                await ask(address, 'GET', '/')
                return
            await sleep(0.05)
        raise TimeoutError(f'{address} did not answer a request')

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
