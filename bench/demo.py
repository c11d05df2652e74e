"""Shows the whole path in half a minute: `make demo`."""

from asyncio import create_subprocess_exec, sleep
from asyncio import run as run_loop
from pathlib import Path
from shutil import rmtree
from sys import executable, stdout
from sys import exit as exit_process
from tempfile import mkdtemp

from msgspec.json import decode, encode

from bench.deployments import registry
from bench.processes import Cluster, ask
from standins.faults import Change

_DOMAINS = ('pl-north', 'pl-harbour')
_LOST = ['counter-desk-03a', 'counter-desk-03b']
_FOREVER_S = 600


async def _main() -> int:
    folder = Path(mkdtemp(prefix='sesametrack-demo-'))
    deployment = registry()
    vms = [vm for vm in deployment.vms if vm.failure_domain in _DOMAINS]
    cluster = Cluster(deployment, folder, vms=vms)
    try:
        _say(
            'Starting the platform, 106 searchers, and entry and gate on 4 VMs'
        )
        await cluster.start()
        await _show(cluster)
    finally:
        codes = await cluster.close()
        rmtree(folder)
    _say(f'All {len(codes)} processes have stopped; exit codes {codes}')
    return 1 if any(codes.values()) else 0


async def _show(cluster: Cluster) -> None:
    _say('A lookup over 20 shards')
    await _ask(cluster, 0, {'service': 'counter-desk', 'request_id': 'demo-1'})
    _say('A lookup in a service that is not sharded, at another entry')
    await _ask(cluster, 1, {'service': 'card-view', 'request_id': 'demo-2'})
    action = {
        'service': 'card-view',
        'request_id': 'pay-1',
        'repeatable': False,
        'query': {'action': 'pay', 'nonce': 'pay-1'},
    }
    _say('An action that may run once, sent to two entries')
    await _ask(cluster, 0, action)
    await _ask(cluster, 1, action)
    _say('Both replicas of shard s03 die: a partial answer says so')
    await cluster.change(Change(_LOST, {'restart_s': _FOREVER_S}))
    await cluster.change(Change(_LOST, turn='crash'))
    await sleep(1)
    await _ask(cluster, 0, {'service': 'counter-desk', 'request_id': 'demo-3'})
    _say('The failure domain pl-harbour is taken out')
    await _control(cluster, 'take-out', 'pl-harbour', '--wait=5')
    await _ask(cluster, 0, {'service': 'payout-run', 'request_id': 'demo-4'})
    await _control(cluster, 'status')
    await _control(cluster, 'bring-back', 'pl-harbour', '--wait=5')
    _say('The time line of one request and of the configuration')
    await _timeline(cluster, '--request=demo-4')
    await _timeline(cluster, '--part=configuration')


async def _ask(cluster: Cluster, entry: int, request: dict) -> None:
    request = {'query': {'nonce': request['request_id']}, **request}
    reply = await ask(
        cluster.entries[entry], 'POST', '/v1/query', encode(request)
    )
    content = decode(reply.body)
    coverage = content.get('coverage', {})
    summary = {
        'status': reply.status,
        'outcome': content.get('outcome'),
        'snapshot': content.get('snapshot'),
        'coverage': coverage,
        'timing': content.get('timing'),
        'recorded': reply.headers.get('x-recorded', '0'),
    }
    stdout.write(f'  {encode(summary).decode()}\n')


async def _control(cluster: Cluster, *words: str) -> None:
    await _run_program('sesametrack.programs.ctl_main', cluster, *words)


async def _timeline(cluster: Cluster, *words: str) -> None:
    await _run_program('sesametrack.programs.timeline_main', cluster, *words)


async def _run_program(module: str, cluster: Cluster, *words: str) -> None:
    stdout.flush()
    process = await create_subprocess_exec(
        executable,
        '-m',
        module,
        f'--platform={cluster.deployment.platform}',
        *words,
    )
    if await process.wait():
        raise RuntimeError(f'{module} {words} failed')


def _say(text: str) -> None:
    stdout.write(f'\n{text}\n')
    stdout.flush()


if __name__ == '__main__':
    exit_process(run_loop(_main()))
