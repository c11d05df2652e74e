"""A randomized fault soak of real routers: `python -m bench.soak --seed 1`.

Routers run as processes; the store, the searchers and the proxies before them
run here. Faults come from a seeded plan and overlap; callers keep their
connections. What callers and searchers see is checked while it runs.
"""

from asyncio import (
    StreamReader,
    StreamWriter,
    create_subprocess_exec,
    create_task,
    gather,
    open_connection,
    run,
    sleep,
    wait_for,
)
from asyncio.subprocess import Process
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from shutil import rmtree
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM, Signals
from sys import executable, stdout
from sys import exit as exit_process
from tempfile import mkdtemp
from time import monotonic

from absl import app, flags
from msgspec.json import encode

from sesametrack.routing.merge import merge_top_records
from standins.object_store import ObjectStoreStandin
from standins.proxy import FaultProxy
from standins.searcher import SearcherStandin

_STORE_PORT = 9500
_FIRST_VM_PORT = 9510
_FIRST_SEARCHER_PORT = 9600
_PROXY_OFFSET = 100
_SHARDS = ('part-a', 'part-b', 'part-c')
_TOP = 4
_LEAST_SHARE = 0.6
_DEADLINE_MS = 1500
_CALLERS = 6
_FAULT_PAUSE_S = 0.25
_FAULT_TIME_S = 1.2
_SETTLE_S = 4.0
_LEAST_SERVED_AFTER = 0.9

_SOAK_HOST = flags.DEFINE_string(
    'host', '127.1.5.1', 'loopback address that everything listens on'
)
_SEED = flags.DEFINE_integer('seed', 1, 'seed of the plan of faults')
_SEEDS = flags.DEFINE_integer('seeds', 1, 'number of seeds to run')
_SECONDS = flags.DEFINE_float('seconds', 15, 'time of faults for each seed')
_VMS = flags.DEFINE_integer('vms', 3, 'number of routers')


@dataclass(slots=True)
class Router:
    """One router process and its addresses."""

    name: str
    port: int
    settings: Path
    log: Path
    process: Process | None = None
    is_stopped: bool = False

    async def start(self) -> None:
        """Start the process; its log is appended to a file."""
        with self.log.open('ab') as log:
            self.process = await create_subprocess_exec(
                executable,
                '-m',
                'sesametrack.programs.router',
                f'--settings={self.settings}',
                stdout=log,
                stderr=log,
            )

    def signal(self, number: Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process.returncode is None:
            self.process.send_signal(number)


@dataclass(slots=True)
class Findings:
    """What was seen, and what broke a promise."""

    counts: Counter = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)

    def check(self, holds: bool, problem: str) -> None:
        """Keep a broken promise."""
        if not holds:
            self.violations.append(problem)


class Soak:
    """One seed's site, faults, callers and checks."""

    def __init__(
        self, seed: int, seconds: float, vms: int, folder: Path, host: str
    ) -> None:
        """Lay out the site; `play` runs it."""
        self._host = host
        self.findings = Findings()
        self._rng = Random(seed)
        self._seconds = seconds
        self._store = ObjectStoreStandin(self._host, _STORE_PORT)
        self._searchers: list[SearcherStandin] = []
        self._proxies: list[FaultProxy] = []
        for number, shard in enumerate(_SHARDS * 2):
            port = _FIRST_SEARCHER_PORT + number
            zone = 'north' if number < len(_SHARDS) else 'south'
            self._searchers.append(
                SearcherStandin(self._host, port, f'i-{number}', shard, zone)
            )
            self._proxies.append(
                FaultProxy(self._host, port + _PROXY_OFFSET, port)
            )
        self._routers = [
            self._make_router(number, folder) for number in range(vms)
        ]
        self._version = 1
        self._request_count = 0
        self._is_over = False
        self._sent_unsafe: list[tuple[str, int]] = []
        self._after: Counter = Counter()
        self._is_settled = False

    async def play(self) -> Findings:
        """Run the site through its faults and check it."""
        await self._start()
        callers = [
            create_task(self._call(number)) for number in range(_CALLERS)
        ]
        try:
            await self._break_things()
            await self._heal()
            self._is_settled = True
            await sleep(_SETTLE_S / 2)
            self._is_over = True
            await gather(*callers)
            self._check_end()
        finally:
            await self._close()
        return self.findings

    def _make_router(self, number: int, folder: Path) -> Router:
        port = _FIRST_VM_PORT + number * 10
        name = f'vm-{number}'
        settings = folder / f'{name}.json'
        settings.write_bytes(
            encode(
                {
                    'vm': name,
                    'failure_domain': 'north' if number % 2 else 'south',
                    'address': self._host,
                    'callers': f'{self._host}:{port}',
                    'readiness': f'{self._host}:{port + 1}',
                    'platform': f'{self._host}:{_STORE_PORT}',
                    'metrics_port': port + 2,
                    'peer_ports': [port + 3, port + 9],
                    'retries': {'ratio': 1, 'window_s': 10, 'slack': 200},
                    'is_first_start': False,
                }
            )
        )
        return Router(name, port, settings, folder / f'{name}.log')

    async def _start(self) -> None:
        await self._store.start()
        for searcher, proxy in zip(self._searchers, self._proxies, strict=True):
            await searcher.start()
            await proxy.start()
            await self._register(searcher, proxy)
        await self._write_state()
        for router in self._routers:
            await router.start()
        await sleep(1.5)

    async def _register(
        self, searcher: SearcherStandin, proxy: FaultProxy
    ) -> None:
        entry = {**searcher.entry, 'address': f'{self._host}:{proxy.port}'}
        await self._store.put('servers', searcher.id, entry)

    async def _write_state(self) -> None:
        common = {
            'host': 'desk.example',
            'timeout_ms': _DEADLINE_MS,
            'target_latency_ms': 600,
            'max_attempts': 2,
        }
        routes = [
            {
                **common,
                'name': 'all',
                'path_prefix': '/all/',
                'route_kind': 'idempotent',
                'gather': list(_SHARDS),
                'top_k': _TOP,
                'min_share': _LEAST_SHARE,
            },
            {
                **common,
                'name': 'act',
                'path_prefix': '/act/',
                'route_kind': 'non_idempotent',
                'service': _SHARDS[0],
            },
        ]
        services = [{'name': shard, 'max_conns': 60} for shard in _SHARDS]
        await self._store.put(
            'config',
            'main',
            {
                'config_version': self._version,
                'routes': routes,
                'services': services,
            },
        )

    # Faults.

    async def _break_things(self) -> None:
        ends_at = monotonic() + self._seconds
        faults = (
            self._kill_router,
            self._stop_router,
            self._pause_router,
            self._hup_router,
            self._delay_path,
            self._silence_path,
            self._reset_path,
            self._spoil_replies,
            self._lose_store,
            self._lose_history,
            self._change_state,
            self._drain_searcher,
        )
        tasks = []
        while monotonic() < ends_at:
            fault = self._rng.choice(faults)
            self.findings.counts[fault.__name__.strip('_')] += 1
            tasks.append(create_task(fault()))
            await sleep(self._rng.uniform(0, 2 * _FAULT_PAUSE_S))
        await gather(*tasks)

    def _pick_router(self) -> Router | None:
        idle = [one for one in self._routers if not one.is_stopped]
        return self._rng.choice(idle) if len(idle) > 1 else None

    async def _end_router(self, number: Signals) -> None:
        router = self._pick_router()
        if router is None:
            return
        router.is_stopped = True
        router.signal(number)
        code = await router.process.wait()
        expected = 0 if number is SIGTERM else -number
        self.findings.check(
            code == expected, f'{router.name} ended with {code} on {number}'
        )
        await sleep(self._rng.uniform(0, 0.5))
        await router.start()
        await sleep(1)
        router.is_stopped = False

    async def _kill_router(self) -> None:
        await self._end_router(SIGKILL)

    async def _stop_router(self) -> None:
        await self._end_router(SIGTERM)

    async def _pause_router(self) -> None:
        router = self._pick_router()
        if router is None:
            return
        router.is_stopped = True
        router.signal(SIGSTOP)
        await sleep(self._rng.uniform(0, 2 * _FAULT_TIME_S))
        router.signal(SIGCONT)
        router.is_stopped = False

    async def _hup_router(self) -> None:
        router = self._pick_router()
        if router is not None:
            router.signal(SIGHUP)

    async def _delay_path(self) -> None:
        proxy = self._rng.choice(self._proxies)
        proxy.delay_s = self._rng.uniform(0.01, 0.3)
        await sleep(self._rng.uniform(0, _FAULT_TIME_S))
        proxy.delay_s = 0

    async def _silence_path(self) -> None:
        proxy = self._rng.choice(self._proxies)
        ways = self._rng.choice(({'out'}, {'back'}, {'out', 'back'}))
        proxy.silence(ways)
        await sleep(self._rng.uniform(0, 2 * _FAULT_TIME_S))
        proxy.heal()

    async def _reset_path(self) -> None:
        self._rng.choice(self._proxies).reset()

    async def _spoil_replies(self) -> None:
        plan = self._rng.choice(self._searchers).plan
        plan.fault = self._rng.choice(
            ('shed', 'error', 'reset', 'mute', 'extra', 'cut', 'junk')
        )
        plan.faults_left = self._rng.randint(1, 20)

    async def _lose_store(self) -> None:
        self._store.refusal = self._rng.choice((503, 429))
        await sleep(self._rng.uniform(0, 2 * _FAULT_TIME_S))
        self._store.refusal = None

    async def _lose_history(self) -> None:
        await self._store.compact()

    async def _change_state(self) -> None:
        self._version += self._rng.randint(1, 3)
        await self._write_state()

    async def _drain_searcher(self) -> None:
        number = self._rng.randrange(len(self._searchers))
        searcher = self._searchers[number]
        entry = {
            **searcher.entry,
            'address': f'{self._host}:{self._proxies[number].port}',
            'sequence': 2,
        }
        await self._store.put(
            'servers', searcher.id, {**entry, 'state': 'draining'}
        )
        await sleep(self._rng.uniform(0, _FAULT_TIME_S))
        await self._store.put('servers', searcher.id, {**entry, 'sequence': 3})

    async def _heal(self) -> None:
        for proxy in self._proxies:
            proxy.heal()
        for searcher in self._searchers:
            searcher.plan.fault = ''
        self._store.refusal = None
        await sleep(_SETTLE_S)

    # Callers.

    async def _call(self, caller: int) -> None:
        router = self._routers[caller % len(self._routers)]
        rng = Random(caller)
        stream: tuple[StreamReader, StreamWriter] | None = None
        while not self._is_over:
            self._request_count += 1
            request_id = f'q{self._request_count}'
            is_act = rng.random() < 0.4
            try:
                if stream is None:
                    stream = await wait_for(
                        open_connection(self._host, router.port), 1
                    )
                status, headers, body = await wait_for(
                    _exchange(stream, request_id, is_act=is_act),
                    _DEADLINE_MS / 1000 + 1,
                )
            except (OSError, EOFError, TimeoutError):
                status, headers, body = 0, {}, b''
            if is_act:
                self._sent_unsafe.append((request_id, status))
            self._check_answer(request_id, is_act, status, headers, body)
            if not status or headers.get('connection') == 'close':
                if stream is not None:
                    stream[1].transport.abort()
                stream = None
            await sleep(rng.uniform(0, 0.05))

    def _check_answer(
        self,
        request_id: str,
        is_act: bool,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        self.findings.counts[f'{"act" if is_act else "all"}-{status}'] += 1
        if self._is_settled:
            self._after[status] += 1
        echoed = headers.get('request-id', request_id)
        self.findings.check(
            echoed == request_id, f'{request_id} got the answer to {echoed}'
        )
        if status != 200:
            return
        by_digest = {
            one.digest(request_id): one.part(request_id)
            for one in self._searchers
        }
        if is_act:
            whole = by_digest.get(headers.get('server-stamp', ''))
            self.findings.check(body == whole, f'{request_id}: wrong body')
            return
        digests = headers['part-stamps'].split(', ')
        parts = [by_digest.get(digest) for digest in digests]
        is_sound = (
            None not in parts
            and len(set(digests)) == len(digests)
            and len(digests) + int(headers['missing-parts']) == len(_SHARDS)
            and len(digests) >= _LEAST_SHARE * len(_SHARDS)
            and body == merge_top_records(parts, _TOP)
        )
        self.findings.check(is_sound, f'{request_id}: wrong gather {digests}')

    def _check_end(self) -> None:
        runs = Counter(
            request_id for one in self._searchers for request_id in one.ran
        )
        for request_id, status in self._sent_unsafe:
            ran = runs[request_id]
            self.findings.check(ran <= 1, f'{request_id} ran {ran} times')
            self.findings.check(
                not (status in {429, 503} and ran),
                f'{request_id} was refused with {status}, and ran',
            )
        served = self._after[200]
        total = sum(self._after.values())
        self.findings.check(
            served >= total * _LEAST_SERVED_AFTER,
            f'{served} of {total} served after all faults had ended: '
            f'{dict(self._after)}',
        )

    async def _close(self) -> None:
        for router in self._routers:
            if router.process is not None:
                router.signal(SIGCONT)
                router.signal(SIGKILL)
                await router.process.wait()
        for proxy in self._proxies:
            await proxy.close()
        for searcher in self._searchers:
            await searcher.close()
        await self._store.close()


async def _exchange(
    stream: tuple[StreamReader, StreamWriter],
    request_id: str,
    *,
    is_act: bool,
) -> tuple[int, dict[str, str], bytes]:
    reader, writer = stream
    line = 'POST /act/x' if is_act else 'GET /all/x'
    writer.write(
        f'{line} HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 0\r\n'
        f'Request-Id: {request_id}\r\n'
        f'Request-Deadline: {_DEADLINE_MS}\r\n\r\n'.encode()
    )
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    pairs = [one.partition(':') for one in lines if one]
    headers = {name.lower(): text.strip() for name, _, text in pairs}
    length = int(headers.get('content-length', 0))
    body = await reader.readexactly(length)
    return int(first.split(' ')[1]), headers, body


def play_soak(
    seed: int, seconds: float, vms: int, folder: Path, host: str
) -> Findings:
    """Play one seed; logs of the routers are left in the folder."""
    return run(Soak(seed, seconds, vms, folder, host).play())


def _main(argv: list[str]) -> None:
    failed = 0
    for seed in range(_SEED.value, _SEED.value + _SEEDS.value):
        folder = Path(mkdtemp(prefix=f'soak-{seed}-'))
        findings = play_soak(
            seed, _SECONDS.value, _VMS.value, folder, _SOAK_HOST.value
        )
        if findings.violations:
            stdout.write(f'seed {seed}: logs are kept in {folder}\n')
        else:
            rmtree(folder)
        stdout.write(f'seed {seed}: {dict(findings.counts)}\n')
        for problem in findings.violations[:10]:
            stdout.write(f'seed {seed}: BROKEN {problem}\n')
        failed += bool(findings.violations)
    stdout.write(f'{failed} of {_SEEDS.value} seeds broke a promise\n')
    exit_process(1 if failed else 0)


if __name__ == '__main__':
    app.run(_main)
