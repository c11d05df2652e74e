"""Demonstrates queries and operator commands on a local cluster: `make demo`.

A run takes about 30 s.
"""

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

_FAILURE_DOMAINS = ('pl-north', 'pl-harbour')
_CRASHED_UPSTREAMS = ['counter-desk-03a', 'counter-desk-03b']
_RESTART_S = 600  # Longer than the demo, so they stay down.


async def _main() -> int:
    directory = Path(mkdtemp(prefix='sesametrack-demo-'))
    deployment = registry()
    vms = [vm for vm in deployment.vms if vm.failure_domain in _FAILURE_DOMAINS]
    cluster = Cluster(deployment, directory, vms=vms)
    try:
        _print_heading(
            'Starting the platform, 106 searchers, and entry and gate on 4 VMs'
        )
        await cluster.start()
        await _run_steps(cluster)
    finally:
        codes = await cluster.close()
        rmtree(directory)
    _print_heading(
        f'All {len(codes)} processes have exited; exit codes: {codes}'
    )
    return 1 if any(codes.values()) else 0


async def _run_steps(cluster: Cluster) -> None:
    _print_heading('A query over 20 shards')
    await _send_query(
        cluster, 0, {'service': 'counter-desk', 'request_id': 'demo-1'}
    )
    _print_heading('A query to an unsharded service, through another entry')
    await _send_query(
        cluster, 1, {'service': 'card-view', 'request_id': 'demo-2'}
    )
    action = {
        'service': 'card-view',
        'request_id': 'pay-1',
        'repeatable': False,
        'query': {'action': 'pay', 'nonce': 'pay-1'},
    }
    _print_heading('A non-repeatable action, sent to two entries')
    await _send_query(cluster, 0, action)
    await _send_query(cluster, 1, action)
    _print_heading(
        'Both replicas of shard s03 crash: the answer is marked partial'
    )
    await cluster.change(Change(_CRASHED_UPSTREAMS, {'restart_s': _RESTART_S}))
    await cluster.change(Change(_CRASHED_UPSTREAMS, turn='crash'))
    await sleep(1)
    await _send_query(
        cluster, 0, {'service': 'counter-desk', 'request_id': 'demo-3'}
    )
    _print_heading('The failure domain pl-harbour is taken out of service')
    await _run_control_tool(cluster, 'take-out', 'pl-harbour', '--wait=5')
    await _send_query(
        cluster, 0, {'service': 'payout-run', 'request_id': 'demo-4'}
    )
    await _run_control_tool(cluster, 'status')
    await _run_control_tool(cluster, 'bring-back', 'pl-harbour', '--wait=5')
    _print_heading('The timelines of one request and of the configuration')
    await _run_timeline_tool(cluster, '--request=demo-4')
    await _run_timeline_tool(cluster, '--part=configuration')


async def _send_query(cluster: Cluster, entry: int, request: dict) -> None:
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


async def _run_control_tool(cluster: Cluster, *arguments: str) -> None:
    await _run_program('sesametrack.programs.ctl_main', cluster, *arguments)


async def _run_timeline_tool(cluster: Cluster, *arguments: str) -> None:
    await _run_program(
        'sesametrack.programs.timeline_main', cluster, *arguments
    )


async def _run_program(module: str, cluster: Cluster, *arguments: str) -> None:
    stdout.flush()
    process = await create_subprocess_exec(
        executable,
        '-m',
        module,
        f'--platform={cluster.deployment.platform}',
        *arguments,
    )
    if await process.wait():
        raise RuntimeError(f'{module} {arguments} exited with a nonzero status')


def _print_heading(text: str) -> None:
    stdout.write(f'\n{text}\n')
    stdout.flush()


if __name__ == '__main__':
    exit_process(run_loop(_main()))
