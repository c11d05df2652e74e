"""Calls of a VM that registers itself and lists the fleet."""

from asyncio import run, sleep
from random import Random
from time import monotonic

from testtools import TestCase

from sesametrack.platform.registration import Registration
from sesametrack.vms.watchers import FleetVm
from standins.object_store import ObjectStoreStandin

_HOST = '127.1.4.2'
_STORE_PORT = 9430
_KIND = 'sesametrack-vms'
_OUTAGE_S = 2
_STARTED_S = 0.2


class RegistrationTest(TestCase):
    """A restarted VM makes few calls, as many VMs may restart at once."""

    def setUp(self) -> None:
        """Start without a listing of the fleet."""
        super().setUp()
        self.fleets: list[list[FleetVm]] = []

    def make_registration(self, *, is_first_start: bool) -> Registration:
        """Make the registration of vm-1."""
        return Registration(
            f'{_HOST}:{_STORE_PORT}',
            FleetVm('vm-1', 'north', f'{_HOST}:1', f'{_HOST}:2'),
            self.fleets.append,
            monotonic,
            Random(1),
            is_first_start=is_first_start,
        )

    def test_restart(self) -> None:
        """A VM that has an entry reads the fleet and writes it once."""
        run(self.check_restart(has_entry=True, max_calls=2))

    def test_added_vm(self) -> None:
        """A VM that is added to a running fleet creates its entry."""
        run(self.check_restart(has_entry=False, max_calls=3))

    async def check_restart(self, *, has_entry: bool, max_calls: int) -> None:
        """Start a VM beside another one, and count its calls."""
        store = ObjectStoreStandin(_HOST, _STORE_PORT)
        await store.start()
        entry = {
            'failure_domain': 'north',
            'peer_address': f'{_HOST}:2',
            'relay_address': f'{_HOST}:1',
            'heartbeat': 1,
        }
        for vm in ('vm-0', 'vm-1') if has_entry else ('vm-0',):
            await store.put(_KIND, vm, entry)
        registration = self.make_registration(is_first_start=False)
        await registration.start()
        await sleep(_STARTED_S)
        self.assertLessEqual(store.calls, max_calls)
        self.assertNotEqual(1, store.spec(_KIND, 'vm-1')['heartbeat'])
        self.assertIn('vm-0', [one.vm for one in self.fleets[0]])
        await registration.close()
        await store.close()

    def test_store_away(self) -> None:
        """A VM that restarts in an outage registers when told of its end.

        Until then it calls the store ever more rarely.
        """
        run(self.check_store_away())

    async def check_store_away(self) -> None:
        """Start a VM while the store refuses all calls."""
        store = ObjectStoreStandin(_HOST, _STORE_PORT)
        store.refusal = 503
        await store.start()
        registration = self.make_registration(is_first_start=False)
        await registration.start()
        await sleep(_OUTAGE_S)
        self.assertLessEqual(store.calls, 4)
        store.refusal = None
        registration.record_store_reply()
        await sleep(_STARTED_S)
        self.assertEqual(['vm-1'], store.names(_KIND))
        self.assertEqual(1, len(self.fleets))
        await registration.close()
        await store.close()
