"""End-to-end tests of VMs that reach callers and VMs, but no searcher."""

from asyncio import create_task, gather, get_running_loop, run, sleep
from collections import Counter
from random import Random

from testtools import TestCase

from tests.router_fleet import RouterFleet

_STRANDED = (0, 1)
_WARM_UP_S = 1
_CUT_S = 7
# The rule counts first tries from this long after the cut began.
_SETTLED_S = 4
_CALLER_COUNT = 4
_CALLER_INTERVAL_S = 0.1
_MIN_SERVED_SHARE = 0.9


class StrandedVmsTest(TestCase):
    """Callers of VMs that have lost their searchers are served all the same."""

    # Guards against refusals by VMs whose searchers hang, while other VMs
    # reach them.
    def test_hanging_paths(self) -> None:
        """Check paths on which connections hang."""
        run(self.check(RouterFleet('127.22', vm_count=4), 'hang'))

    # Guards against refusals by VMs whose connections are reset and refused.
    def test_refused_paths(self) -> None:
        """Check paths on which connections are reset and refused."""
        run(self.check(RouterFleet('127.23', vm_count=4), 'refuse'))

    # Guards against refusals by VMs that lose connections one after the other
    # and can't open new ones.
    def test_kept_connections(self) -> None:
        """Check paths on which only new connections are refused."""
        run(self.check(RouterFleet('127.24', vm_count=4), 'keep'))

    async def check(self, fleet: RouterFleet, how: str) -> None:
        """Cut two of four VMs off, and check what callers of each got."""
        try:
            await fleet.start()
            callers = [
                create_task(run_caller(fleet, number))
                for number in range(_CALLER_COUNT)
            ]
            await sleep(_WARM_UP_S)
            cut_at = get_running_loop().time()
            for vm in _STRANDED:
                fleet.paths[vm].cut(how)
            await sleep(_CUT_S)
            mended_at = get_running_loop().time()
            for vm in _STRANDED:
                fleet.paths[vm].cut('')
            await gather(*callers)
        finally:
            await fleet.close()
        self.check_served(fleet, cut_at + _SETTLED_S, mended_at)
        self.check_served(fleet, mended_at + 2, mended_at + 3)

    def check_served(
        self, fleet: RouterFleet, since: float, until: float
    ) -> None:
        """Check the first tries at each VM in a span of time."""
        for vm in range(fleet.vm_count):
            statuses = Counter(
                one.status
                for one in fleet.answers
                if one.vm == vm and since <= one.sent_at < until
            )
            self.assertGreater(statuses.total(), 0, vm)
            self.assertGreaterEqual(
                statuses[200],
                _MIN_SERVED_SHARE * statuses.total(),
                (vm, statuses),
            )


async def run_caller(fleet: RouterFleet, vm: int) -> None:
    """Send requests to one VM for as long as the test lasts."""
    loop = get_running_loop()
    rng = Random(vm)
    until = loop.time() + _WARM_UP_S + _CUT_S + 3.5
    while loop.time() < until:
        kind = rng.choice(('all', 'read'))
        await fleet.send(vm, f'/{kind}/{vm}/{rng.randrange(1 << 30)}')
        await sleep(rng.uniform(0, 2 * _CALLER_INTERVAL_S))
