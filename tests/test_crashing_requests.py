"""End-to-end tests of requests that end every searcher that runs them."""

from asyncio import create_task, gather, get_running_loop, run, sleep
from collections import Counter
from dataclasses import dataclass, field, replace
from random import Random

from testtools import TestCase

from standins.searcher import FaultPlan
from tests.router_fleet import RouterFleet

_MARKER = 'killer'
_DURATION_S = 14
_LONG_DURATION_S = 24
_KILLER_INTERVAL_S = 0.7
_CALLER_COUNT = 6
_CALLER_INTERVAL_S = 0.1
# The rule counts sends later than this after the third searcher has ended,
# from VMs that started as long before.
_SETTLED_S = 4
_MAX_SETTLED_SENDS = 3
_MIN_SERVED_SHARE = 0.9
_READ = f'/read/{_MARKER}'
_GATHER = f'/all/{_MARKER}'
_RESTART_AFTER_S = 7


@dataclass(frozen=True, slots=True)
class Play:
    """How the request comes, and what the searchers under it do."""

    network: str
    path: str = _READ
    plan: FaultPlan = field(default_factory=FaultPlan)
    duration_s: float = _DURATION_S
    # Only searchers of this shard end; empty for all.
    shard: str = ''
    # How often all VMs are killed and started again.
    kills: int = 0


class CrashingRequestsTest(TestCase):
    """Callers repeat one request at all VMs, beside ordinary requests."""

    # Guards against requests that are handed to searchers for as long as
    # their caller repeats them, although each searcher that runs them ends.
    def test_single_request_is_stopped(self) -> None:
        """Check a request that goes to one searcher."""
        self.play(Play('127.12'))

    # Guards against a gather that ends a searcher of each shard again and
    # again.
    def test_gather_is_stopped(self) -> None:
        """Check a request that goes to a searcher of each shard."""
        self.play(Play('127.13', _GATHER))

    # Guards against repeats of a single request without limit while another
    # process resets connections at the addresses of the ended searchers.
    def test_single_with_reset_address(self) -> None:
        """Check searchers whose address accepts and resets connections."""
        self.play(
            Play(
                '127.14',
                plan=FaultPlan(leaves='reset'),
                duration_s=_LONG_DURATION_S,
            )
        )

    # Guards against repeats of a gather without limit while the addresses of
    # the ended searchers reset connections.
    def test_gather_with_reset_address(self) -> None:
        """Check a gather whose searchers leave an address that resets."""
        self.play(
            Play(
                '127.15',
                _GATHER,
                FaultPlan(leaves='reset'),
                _LONG_DURATION_S,
            )
        )

    # Guards against repeats without limit while connections to the addresses
    # of the ended searchers are accepted and get no reply.
    def test_gather_with_silent_address(self) -> None:
        """Check a gather whose searchers leave an address that is silent."""
        self.play(
            Play(
                '127.16',
                _GATHER,
                FaultPlan(leaves='silent'),
                _LONG_DURATION_S,
            )
        )

    # Guards against repeats without limit if the address refuses connections
    # only some time after the searcher has ended, and the searcher comes back
    # with another id.
    def test_single_with_late_refusal(self) -> None:
        """Check searchers whose address refuses connections late."""
        self.play(
            Play(
                '127.17',
                plan=FaultPlan(leaves='closing', has_new_id=True),
                duration_s=_LONG_DURATION_S,
            )
        )

    # Guards against repeats without limit under searchers that end without
    # a sign: their connections stay open.
    def test_single_with_dark_searchers(self) -> None:
        """Check searchers that end, and whose connections stay open."""
        self.play(
            Play(
                '127.18',
                plan=FaultPlan(leaves='silent', is_dark=True),
                duration_s=_LONG_DURATION_S,
            )
        )

    # Guards against a request that ends the searchers of one shard only, and
    # is cleared by the replies of the other shards.
    def test_gather_of_one_crashing_shard(self) -> None:
        """Check a gather that ends the searchers of one shard."""
        self.play(Play('127.19', _GATHER, shard='part-b'))

    # Guards against quarantines that are forgotten when all VMs are killed at
    # once.
    def test_killed_vms(self) -> None:
        """Check a request that comes on after all VMs were killed."""
        self.play(Play('127.20', duration_s=_LONG_DURATION_S, kills=1))

    # Guards against quarantines that are forgotten each time that all VMs are
    # killed.
    def test_vms_killed_twice(self) -> None:
        """Check a request that comes on while all VMs are killed twice."""
        self.play(Play('127.21', duration_s=2 * _LONG_DURATION_S, kills=2))

    def play(self, play: Play) -> None:
        """Play the request beside others, and check what it did."""
        run(self.check(RouterFleet(play.network), play))

    async def check(self, fleet: RouterFleet, play: Play) -> None:
        """Play the request beside others, and check what it did."""
        try:
            await fleet.start()
            for searcher in fleet.searchers:
                is_ended = play.shard in {'', searcher.service}
                marker = _MARKER if is_ended else ''
                searcher.plan = replace(
                    play.plan, crash_marker=marker, delay_s=0.01
                )
            tasks = [create_task(repeat_request(fleet, play))]
            if play.kills:
                tasks.append(create_task(restart_all(fleet, play.kills)))
            await gather(
                *tasks,
                *(run_caller(fleet, one, play) for one in range(_CALLER_COUNT)),
            )
            self.check_sends(fleet, play)
            self.check_others(fleet, play)
        finally:
            await fleet.close()

    def check_sends(self, fleet: RouterFleet, play: Play) -> None:
        """Check how often the request reached searchers after three ends."""
        crashes = sorted(
            at for searcher in fleet.searchers for at in searcher.crashed_at
        )
        sends = sorted(
            request.received_at
            for searcher in fleet.searchers
            for request in searcher.seen
            if _MARKER in request.path and play.shard in {'', searcher.service}
        )
        settled_at = crashes[2] + _SETTLED_S if len(crashes) > 2 else None
        late = [at for at in sends if settled_at and at > settled_at]
        described = f'{len(sends)} sends, {len(crashes)} searchers ended'
        self.assertLessEqual(len(late), _MAX_SETTLED_SENDS, described)

    def check_others(self, fleet: RouterFleet, play: Play) -> None:
        """Check that ordinary requests are served once that has settled."""
        first = min(one.sent_at for one in fleet.answers)
        settled_at = first + play.duration_s / 2
        if play.kills:
            settled_at = first + play.kills * _RESTART_AFTER_S + _SETTLED_S
        statuses = Counter(
            one.status
            for one in fleet.answers
            if _MARKER not in one.path and one.sent_at > settled_at
        )
        self.assertGreaterEqual(
            statuses[200], _MIN_SERVED_SHARE * statuses.total(), statuses
        )


async def restart_all(fleet: RouterFleet, kills: int) -> None:
    """Kill all VMs at once, and start new processes in their place."""
    for _ in range(kills):
        await sleep(_RESTART_AFTER_S)
        await fleet.kill_routers()
        await fleet.start_routers()


async def repeat_request(fleet: RouterFleet, play: Play) -> None:
    """Send the same request to the VMs in turn, with a new id each time."""
    loop = get_running_loop()
    until = loop.time() + play.duration_s
    vm = 0
    while loop.time() < until:
        await gather(
            fleet.send(vm % fleet.vm_count, play.path),
            sleep(_KILLER_INTERVAL_S),
        )
        vm += 1


async def run_caller(fleet: RouterFleet, number: int, play: Play) -> None:
    """Send ordinary requests, each with a path of its own."""
    loop = get_running_loop()
    rng = Random(number)
    until = loop.time() + play.duration_s
    while loop.time() < until:
        kind = rng.choice(('all', 'read'))
        path = f'/{kind}/{number}/{rng.randrange(1 << 30)}'
        await fleet.send(number % fleet.vm_count, path)
        await sleep(rng.uniform(0, 2 * _CALLER_INTERVAL_S))
