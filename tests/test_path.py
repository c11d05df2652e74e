"""The whole path over real processes on loopback, at a small site."""

from asyncio import run
from pathlib import Path
from tempfile import TemporaryDirectory

from msgspec.json import decode, encode
from testtools import TestCase

from bench.deployments import small
from bench.processes import Cluster, ask
from standins.faults import Change, ProcessReport
from standins.platform import PlatformFaults


async def ask_entry(cluster: Cluster, entry: int, **request: object) -> dict:
    """Ask an entry; returns the content with its HTTP status."""
    reply = await ask(
        cluster.entries[entry], 'POST', '/v1/query', encode(request)
    )
    return {'status': reply.status, **decode(reply.body)}


def count_runs(reports: list[ProcessReport], nonce: str) -> int:
    """Count the sub-queries that upstreams ran for a request."""
    return sum(report.runs_by_request.get(nonce, 0) for report in reports)


class PathTest(TestCase):
    """A site of four VMs lives through what operators and faults do."""

    def test_whole_path(self) -> None:
        """Answers are whole, actions run once, stops are clean."""
        with TemporaryDirectory() as folder:
            codes = run(self.live(Cluster(small(), Path(folder))))
        self.assertEqual({0}, set(codes.values()))

    async def live(self, cluster: Cluster) -> dict[str, int]:
        """Start the site, live through faults, and stop it."""
        try:
            await cluster.start()
            await self.check_answers(cluster)
            await self.check_action(cluster)
            await self.check_lost_vm(cluster)
            await self.check_platform_outage(cluster)
            await self.check_lost_shard(cluster)
        finally:
            codes = await cluster.close()
        return codes

    async def check_answers(self, cluster: Cluster) -> None:
        """A lookup covers all shards from one snapshot."""
        query = {'nonce': 'lookup'}
        for entry in range(4):
            answer = await ask_entry(
                cluster, entry, service='find', request_id='r1', query=query
            )
            self.assertEqual('ran', answer['outcome'])
            self.assertTrue(answer['coverage']['complete'])
            versions = {shard['body']['version'] for shard in answer['shards']}
            self.assertEqual({1}, versions)
        refused = await ask_entry(
            cluster, 0, service='nowhere', request_id='r2', query={}
        )
        self.assertEqual((404, 'not-run'), _outcome(refused))

    async def check_action(self, cluster: Cluster) -> None:
        """An action sent to two entries runs once, with one answer."""
        request = {
            'service': 'pay',
            'request_id': 'a1',
            'repeatable': False,
            'query': {'action': 'a1', 'nonce': 'a1'},
        }
        first = await ask_entry(cluster, 0, **request)
        second = await ask_entry(cluster, 1, **request)
        self.assertEqual(first, second)
        self.assertEqual(1, count_runs(await cluster.reports(), 'a1'))
        other = {**request, 'query': {'action': 'a2', 'nonce': 'a2'}}
        mismatch = await ask_entry(cluster, 2, **other)
        self.assertEqual((503, 'not-run'), _outcome(mismatch))

    async def check_lost_vm(self, cluster: Cluster) -> None:
        """A killed VM costs no answer, and comes back."""
        vm = cluster.vms[1]
        await cluster.stop_vm(vm, is_killed=True)
        for number in range(10):
            answer = await ask_entry(
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
        """Lookups go on, an action is a true 'not run', a VM restarts."""
        await cluster.set_platform_faults(PlatformFaults(is_down=True))
        vm = cluster.vms[2]
        self.assertEqual([0, 0], await cluster.stop_vm(vm))
        await cluster.start_vm(vm)
        await cluster.wait_ready([vm])
        answer = await ask_entry(
            cluster, 2, service='find', request_id='p1', query={'nonce': 'p1'}
        )
        self.assertTrue(answer['coverage']['complete'])
        action = await ask_entry(
            cluster,
            0,
            service='pay',
            request_id='a3',
            repeatable=False,
            query={'action': 'a3', 'nonce': 'a3'},
        )
        self.assertEqual((503, 'not-run'), _outcome(action))
        self.assertEqual(0, count_runs(await cluster.reports(), 'a3'))
        await cluster.set_platform_faults(PlatformFaults())

    async def check_lost_shard(self, cluster: Cluster) -> None:
        """A shard without replicas is missing, and the answer says so."""
        lost = ['find-02a', 'find-02b']
        await cluster.change(Change(lost, {'restart_s': 600}))
        await cluster.change(Change(lost, turn='crash'))
        answer = await ask_entry(
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


def _outcome(content: dict) -> tuple[int, str]:
    return content['status'], content['outcome']
