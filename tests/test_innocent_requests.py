"""End-to-end tests of popular requests beside failures that aren't theirs."""

from asyncio import create_task, gather, get_running_loop, run, sleep
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random

from testtools import TestCase

from sesametrack.routing.crash_records import Standing
from standins.searcher import FaultPlan
from tests.router_fleet import RouterFleet

_PATHS = ('/read/popular', '/all/popular')
_WARM_UP_S = 1
_FAULTS_S = 8
_WAVE_INTERVAL_S = 2
_RECOVERY_S = 3
_CHECKED_S = 3
_CALLER_COUNT = 4
_CALLER_INTERVAL_S = 0.1
_MIN_SERVED_SHARE = 0.9

Fault = Callable[[RouterFleet], Awaitable[None]]


class InnocentRequestsTest(TestCase):
    """A request that everybody sends is in flight wherever something fails."""

    # Guards against a quarantine of what is in flight when searchers end and
    # their addresses reset connections.
    def test_waves_of_ends(self) -> None:
        """Check waves of ends whose addresses reset connections."""
        fleet = RouterFleet('127.25')
        run(self.check(fleet, end_in_waves, FaultPlan(leaves='reset')))

    # Guards against a quarantine of what is overdue at searchers that end
    # without a sign.
    def test_waves_of_dark_ends(self) -> None:
        """Check waves of searchers that end and leave silent connections."""
        plan = FaultPlan(leaves='silent', is_dark=True)
        run(self.check(RouterFleet('127.26'), end_in_waves, plan))

    # Guards against a quarantine of what is cut off with a VM's paths.
    def test_cut_paths(self) -> None:
        """Check a VM whose connections to all searchers are reset."""
        run(self.check(RouterFleet('127.27'), cut_paths, FaultPlan()))

    # Guards against a quarantine of what all searchers of a service fail for
    # a while, at all VMs.
    def test_lost_service(self) -> None:
        """Check a service that loses all of its searchers at once."""
        fleet = RouterFleet('127.28')
        run(self.check(fleet, lose_service, FaultPlan(leaves='silent')))

    async def check(
        self, fleet: RouterFleet, fault: Fault, plan: FaultPlan
    ) -> None:
        """Play the faults, and check that the requests are served after it."""
        try:
            await fleet.start()
            for searcher in fleet.searchers:
                searcher.plan = plan
                searcher.plan.delay_s = 0.01
            started_at = get_running_loop().time()
            duration = _WARM_UP_S + _FAULTS_S + _RECOVERY_S + _CHECKED_S
            callers = [
                create_task(run_caller(fleet, one, started_at + duration))
                for one in range(_CALLER_COUNT)
            ]
            await sleep(_WARM_UP_S)
            await fault(fleet)
            await gather(*callers)
            self.check_served(fleet, started_at + duration - _CHECKED_S)
            self.check_standing(fleet)
        finally:
            await fleet.close()

    def check_served(self, fleet: RouterFleet, since: float) -> None:
        """Check that both requests are served again."""
        for path in _PATHS:
            statuses = Counter(
                one.status
                for one in fleet.answers
                if one.path == path and one.sent_at > since
            )
            self.assertGreaterEqual(
                statuses[200],
                _MIN_SERVED_SHARE * statuses.total(),
                (path, statuses),
            )

    def check_standing(self, fleet: RouterFleet) -> None:
        """Check that no VM has quarantined a request."""
        now = get_running_loop().time()
        for router in fleet.routers:
            ledger = router._forwarder.ledger
            self.assertEqual(0, ledger.count(Standing.quarantined, now))


async def end_in_waves(fleet: RouterFleet) -> None:
    """End one searcher of each shard, then another, for a while."""
    for wave in range(_FAULTS_S // _WAVE_INTERVAL_S):
        for number in range(len(fleet.shards)):
            replica = wave % fleet.replicas
            fleet.searchers[replica * len(fleet.shards) + number].crash()
        await sleep(_WAVE_INTERVAL_S)


async def cut_paths(fleet: RouterFleet) -> None:
    """Reset and refuse a VM's connections, then let them hang."""
    for how in ('refuse', 'hang'):
        fleet.paths[0].cut(how)
        await sleep(_FAULTS_S / 4)
        fleet.paths[0].cut('')
        await sleep(_FAULTS_S / 4)


async def lose_service(fleet: RouterFleet) -> None:
    """End all searchers of a shard, twice."""
    for _ in range(2):
        for searcher in fleet.searchers:
            if searcher.service == fleet.shards[0]:
                searcher.crash()
        await sleep(_FAULTS_S / 2)


async def run_caller(fleet: RouterFleet, number: int, until: float) -> None:
    """Send the two requests, which are the same for all callers."""
    loop = get_running_loop()
    rng = Random(number)
    while loop.time() < until:
        await fleet.send(number % fleet.vm_count, rng.choice(_PATHS))
        await sleep(rng.uniform(0, 2 * _CALLER_INTERVAL_S))
