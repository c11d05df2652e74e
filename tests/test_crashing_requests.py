"""End-to-end tests of requests that end every searcher that runs them."""

from asyncio import create_task, gather, get_running_loop, run, sleep
from collections import Counter
from random import Random

from testtools import TestCase

from tests.router_fleet import RouterFleet

_MARKER = 'killer'
_DURATION_S = 14
_KILLER_INTERVAL_S = 0.7
_CALLER_COUNT = 6
_CALLER_INTERVAL_S = 0.1
# The rule counts sends later than this after the third searcher has ended.
_SETTLED_S = 4
_MAX_SETTLED_SENDS = 3
_MIN_SERVED_SHARE = 0.9


class CrashingRequestsTest(TestCase):
    """Callers repeat one request at all VMs, beside ordinary requests."""

    # Guards against requests that are handed to searchers for as long as
    # their caller repeats them, although each searcher that runs them ends.
    def test_single_request_is_stopped(self) -> None:
        """Check a request that goes to one searcher."""
        run(self.check(RouterFleet('127.12'), f'/read/{_MARKER}'))

    # Guards against a gather that ends a searcher of each shard again and
    # again.
    def test_gather_is_stopped(self) -> None:
        """Check a request that goes to a searcher of each shard."""
        run(self.check(RouterFleet('127.13'), f'/all/{_MARKER}'))

    async def check(self, fleet: RouterFleet, path: str) -> None:
        """Play the request beside others, and check what it did."""
        try:
            await fleet.start()
            for searcher in fleet.searchers:
                searcher.plan.crash_marker = _MARKER
                searcher.plan.delay_s = 0.01
            killer = create_task(repeat_request(fleet, path))
            await gather(
                killer,
                *(run_caller(fleet, one) for one in range(_CALLER_COUNT)),
            )
            self.check_sends(fleet)
            self.check_others(fleet)
        finally:
            await fleet.close()

    def check_sends(self, fleet: RouterFleet) -> None:
        """Check how often the request reached searchers after three ends."""
        crashes = sorted(
            at for searcher in fleet.searchers for at in searcher.crashed_at
        )
        sends = sorted(
            request.received_at
            for searcher in fleet.searchers
            for request in searcher.seen
            if _MARKER in request.path
        )
        settled_at = crashes[2] + _SETTLED_S if len(crashes) > 2 else None
        late = [at for at in sends if settled_at and at > settled_at]
        described = f'{len(sends)} sends, {len(crashes)} searchers ended'
        self.assertLessEqual(len(late), _MAX_SETTLED_SENDS, described)

    def check_others(self, fleet: RouterFleet) -> None:
        """Check that ordinary requests are served once that has settled."""
        first = min(one.sent_at for one in fleet.answers)
        statuses = Counter(
            one.status
            for one in fleet.answers
            if _MARKER not in one.path and one.sent_at > first + _DURATION_S / 2
        )
        self.assertGreaterEqual(
            statuses[200], _MIN_SERVED_SHARE * statuses.total(), statuses
        )


async def repeat_request(fleet: RouterFleet, path: str) -> None:
    """Send the same request to the VMs in turn, with a new id each time."""
    loop = get_running_loop()
    until = loop.time() + _DURATION_S
    vm = 0
    while loop.time() < until:
        await gather(
            fleet.send(vm % fleet.vm_count, path), sleep(_KILLER_INTERVAL_S)
        )
        vm += 1


async def run_caller(fleet: RouterFleet, number: int) -> None:
    """Send ordinary requests, each with a path of its own."""
    loop = get_running_loop()
    rng = Random(number)
    until = loop.time() + _DURATION_S
    while loop.time() < until:
        kind = rng.choice(('all', 'read'))
        path = f'/{kind}/{number}/{rng.randrange(1 << 30)}'
        await fleet.send(number % fleet.vm_count, path)
        await sleep(rng.uniform(0, 2 * _CALLER_INTERVAL_S))
