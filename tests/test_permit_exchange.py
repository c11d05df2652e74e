"""Tests of requests for permits between VMs, on loopback."""

from asyncio import get_running_loop, run, sleep
from collections.abc import Callable
from random import Random
from time import monotonic

from testtools import TestCase

from sesametrack.programs.permit_exchange import PermitExchange
from sesametrack.routing.directory import Upstream
from sesametrack.routing.events import RequestPermits
from sesametrack.routing.pacing import UpstreamPacer
from sesametrack.telemetry.metrics import Metrics
from standins.object_store import ObjectStoreStandin
from tests.router_builders import make_directory

_STORE = '127.1.8.100:9800'
_PORT = 9801
_POLL_INTERVAL_S = 0.05
_ERA_AGE_S = 60


class Vm:
    """The permits of one VM."""

    def __init__(self, number: int) -> None:
        """Set up the VM; all VMs know the address of the others."""
        self.clock_offset: float = -_ERA_AGE_S
        self.pacer = UpstreamPacer()
        self.exchange = PermitExchange(
            _STORE,
            f'vm-{number}',
            f'127.1.8.{number}:{_PORT}',
            self.pacer,
            Metrics(None, ''),
            get_running_loop(),
            lambda: monotonic() + self.clock_offset,
            Random(number),
        )
        self.exchange.observe_era(1)
        self.clock_offset = 0
        self.waits: list[float | None] = []

    async def start(self) -> None:
        """Open the socket."""
        await self.exchange.start()

    async def close(self) -> None:
        """Close the socket without giving up the lease."""
        await self.exchange.close()
        # The event loop closes the socket in its next round.
        await sleep(_POLL_INTERVAL_S)

    async def obtain_permit(self, upstream: Upstream, timeout_s: float) -> bool:
        """Request permits until there is one; return whether there was."""
        until = monotonic() + timeout_s
        while monotonic() < until:
            request = RequestPermits([[upstream]], 1, 0.1, is_admission=True)
            self.exchange.request(
                request, lambda wait, after: self.waits.append(wait)
            )
            await sleep(_POLL_INTERVAL_S)
            if self.waits and self.waits[-1] is not None:
                return True
        return False


class PermitExchangeTest(TestCase):
    """A VM that asks, and the coordinator."""

    def setUp(self) -> None:
        """Create a store, and an upstream with a limit."""
        super().setUp()
        self.upstream = make_directory(['s'], 1).by_id['s-0']
        self.upstream.rate_limit.record_reply(50, 0, 1)

    def play(self, check: Callable) -> None:
        """Run a check with a store and two VMs, of which the first is asked."""

        async def run_check() -> None:
            host, _, port = _STORE.partition(':')
            store = ObjectStoreStandin(host, int(port))
            await store.start()
            first, second = Vm(1), Vm(2)
            await first.start()
            await second.start()
            try:
                self.assertTrue(await first.obtain_permit(self.upstream, 3))
                self.assertTrue(await second.obtain_permit(self.upstream, 3))
                await check(first, second)
            finally:
                await second.close()
                await store.close()

        run(run_check())

    # Guards against a fleet that waits for the end of a lease although its VM
    # is back, as that VM itself has no need for permits.
    def test_restarted_coordinator(self) -> None:
        """A VM that is asked as the coordinator takes its lease again."""

        async def check(first: Vm, second: Vm) -> None:
            await first.close()
            restarted = Vm(1)
            await restarted.start()
            second.waits.clear()
            try:
                self.assertTrue(await second.obtain_permit(self.upstream, 4))
                self.assertTrue(restarted.exchange.is_coordinator)
            finally:
                await restarted.close()

        self.play(check)

    def test_late_permits(self) -> None:
        """The reply to a request that was given up is ignored."""

        async def check(first: Vm, second: Vm) -> None:
            second.waits.clear()
            request = RequestPermits([[self.upstream]], 1, 0.1, True)
            second.exchange.request(
                request, lambda wait, after: second.waits.append(wait)
            )
            # Both VMs are paused until the request has timed out.
            second.clock_offset += 1
            await sleep(_POLL_INTERVAL_S)
            self.assertEqual([None], second.waits)
            await first.close()

        self.play(check)
