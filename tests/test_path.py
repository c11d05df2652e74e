"""End-to-end test with real processes on loopback, in a cluster of four VMs."""

from asyncio import run
from pathlib import Path
from tempfile import TemporaryDirectory

from msgspec.json import decode, encode
from testtools import TestCase

from bench.deployments import small
from bench.processes import Cluster, ask
from standins.faults import Change, ProcessReport
from standins.platform import PlatformFaults


async def send_request(cluster: Cluster, entry: int, **request: object) -> dict:
    """Send a request to an entry; return the body with the HTTP status."""
    reply = await ask(
        cluster.entries[entry], 'POST', '/v1/query', encode(request)
    )
    return {'status': reply.status, **decode(reply.body)}


def count_runs(reports: list[ProcessReport], nonce: str) -> int:
    """Return how many sub-queries of a request the upstreams ran."""
    return sum(report.runs_by_request.get(nonce, 0) for report in reports)


class PathTest(TestCase):
    """Queries on a cluster whose VMs, shards and platform fail in turn."""

    def test_whole_path(self) -> None:
        """Answers are complete, actions run once, and daemons exit with 0."""
        with TemporaryDirectory() as folder:
            exit_codes = run(self.run_cluster(Cluster(small(), Path(folder))))
        self.assertEqual({0}, set(exit_codes.values()))

    async def run_cluster(self, cluster: Cluster) -> dict[str, int]:
        """Start the cluster, run all checks, and return the exit codes."""
        try:
            await cluster.start()
            await self.check_answers(cluster)
            await self.check_action(cluster)
            await self.check_vm_crash(cluster)
            await self.check_platform_outage(cluster)
            await self.check_missing_shard(cluster)
        finally:
            exit_codes = await cluster.close()
        return exit_codes

    async def check_answers(self, cluster: Cluster) -> None:
        """A lookup covers all shards, all with the same snapshot."""
        query = {'nonce': 'lookup'}
        for entry in range(4):
            answer = await send_request(
                cluster, entry, service='find', request_id='r1', query=query
            )
            self.assertEqual('ran', answer['outcome'])
            self.assertTrue(answer['coverage']['complete'])
            versions = {shard['body']['version'] for shard in answer['shards']}
            self.assertEqual({1}, versions)
        response = await send_request(
            cluster, 0, service='nowhere', request_id='r2', query={}
        )
        self.assertEqual((404, 'not-run'), _status_and_outcome(response))

    async def check_action(self, cluster: Cluster) -> None:
        """An action sent to two entries runs once; both return its answer."""
        request = {
            'service': 'pay',
            'request_id': 'a1',
            'repeatable': False,
            'query': {'action': 'a1', 'nonce': 'a1'},
        }
        first = await send_request(cluster, 0, **request)
        second = await send_request(cluster, 1, **request)
        self.assertEqual(first, second)
        self.assertEqual(1, count_runs(await cluster.reports(), 'a1'))
        other = {**request, 'query': {'action': 'a2', 'nonce': 'a2'}}
        mismatch = await send_request(cluster, 2, **other)
        self.assertEqual((503, 'not-run'), _status_and_outcome(mismatch))

    async def check_vm_crash(self, cluster: Cluster) -> None:
        """While a VM is killed, answers stay complete; it then rejoins."""
        vm = cluster.vms[1]
        await cluster.stop_vm(vm, is_killed=True)
        for number in range(10):
            answer = await send_request(
                cluster,
                0,
                service='find',
                request_id=f'k{number}',
                query={'nonce': f'k{number}'},
            )
            self.assertTrue(answer['coverage']['complete'])
        await cluster.start_vm(vm)
        await cluster.wait_ready()

    async def check_platform_outage(self, cluster: Cluster) -> None:
        """Lookups succeed, an action is refused as not run, a VM restarts."""
        await cluster.set_platform_faults(PlatformFaults(is_down=True))
        vm = cluster.vms[2]
        self.assertEqual([0, 0], await cluster.stop_vm(vm))
        await cluster.start_vm(vm)
        await cluster.wait_ready([vm])
        answer = await send_request(
            cluster, 2, service='find', request_id='p1', query={'nonce': 'p1'}
        )
        self.assertTrue(answer['coverage']['complete'])
        action = await send_request(
            cluster,
            0,
            service='pay',
            request_id='a3',
            repeatable=False,
            query={'action': 'a3', 'nonce': 'a3'},
        )
        self.assertEqual((503, 'not-run'), _status_and_outcome(action))
        self.assertEqual(0, count_runs(await cluster.reports(), 'a3'))
        await cluster.set_platform_faults(PlatformFaults())

    async def check_missing_shard(self, cluster: Cluster) -> None:
        """The answer reports a shard without replicas as missing."""
        crashed = ['find-02a', 'find-02b']
        await cluster.change(Change(crashed, {'restart_s': 600}))
        await cluster.change(Change(crashed, turn='crash'))
        answer = await send_request(
            cluster, 3, service='find', request_id='l1', query={'nonce': 'l1'}
        )
        coverage = answer['coverage']
        self.assertEqual(
            (3, 4),
            (
                coverage['shards_answered'],
                coverage['shards_total'],
            ),
        )
        self.assertEqual(0.75, coverage['share'])


def _status_and_outcome(content: dict) -> tuple[int, str]:
    return content['status'], content['outcome']
