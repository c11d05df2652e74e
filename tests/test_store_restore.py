"""Tests of a store that comes back from an older copy, on loopback.

Its connections stay open, so that no failed call makes a VM list anew.
"""

from asyncio import run, sleep

from testtools import TestCase

from sesametrack.contracts.types import UpstreamId
from standins.object_store import ObjectStoreStandin
from tests.test_relay import Vm, make_fleet
from tests.test_router_path import Deployment

_HOST = '127.1.4.1'
_STORE_PORT = 9400
# Changes have to be in force within 3 s.
_MAX_POLLS = 150
_POLL_INTERVAL_S = 0.02
# Watches start again well within this time after a change.
_WATCH_START_S = 1
# Upstreams write their entries again within two seconds after a restore; a
# watch of theirs ends at most 2.5 s after it.
_REWRITE_POLLS = 190


def make_entry(number: int) -> dict[str, object]:
    """Return the entry of an upstream."""
    return {
        'service': 's',
        'address': f'10.0.0.{number}:80',
        'zone': 'north',
        'state': 'ready',
        'sequence': 1,
        'born': 1,
    }


class StoreRestoreTest(TestCase):
    """Watches of VMs that read from the store, and of those at a relay."""

    # Guards against a watch that goes on after revisions were given out again:
    # it misses all changes up to the revision that it had seen before.
    def test_direct_watches(self) -> None:
        """VMs of a small failure domain watch the store itself."""
        run(self.run_restores(2))

    # Guards against a follower that waits for revisions of the former history,
    # as its relay has listed the store anew but answers the old watch.
    def test_relayed_watches(self) -> None:
        """Most VMs of a larger failure domain watch at relays."""
        run(self.run_restores(6))

    async def run_restores(self, vm_count: int) -> None:
        """Restore a store twice while VMs watch it."""
        store = ObjectStoreStandin(_HOST, _STORE_PORT)
        await store.start()
        fleet = make_fleet(vm_count)
        vms = [Vm(fleet_vm, fleet) for fleet_vm in fleet]
        try:
            await store.put('config', 'main', {'config_version': 1})
            for vm in sorted(vms, key=lambda one: not one.is_watcher):
                await vm.start()
            await self.wait_until(vms, 1, set(), set())
            await self.restore_once(store, vms, 10)
            await self.restore_once(store, vms, 20)
            self.assertFalse(any(vm.listener.has_regressed for vm in vms))
        finally:
            for vm in vms:
                await vm.close()
            await store.close()

    async def restore_once(
        self, store: ObjectStoreStandin, vms: list[Vm], version: int
    ) -> None:
        """Lose some changes, and make others with the same revisions."""
        copy = store.copy()
        lost = {f'i-{version + number}' for number in range(6)}
        for number in range(6):
            name = f'i-{version + number}'
            await store.put('servers', name, make_entry(number))
        await store.put('config', 'main', {'config_version': version})
        await self.wait_until(vms, version, lost, set())
        await sleep(_WATCH_START_S)
        await store.restore(copy)
        await store.put('evacuations', f'zone-{version}', {})
        await store.put('servers', f'new-{version}', make_entry(9))
        await store.put('config', 'main', {'config_version': version + 1})
        await self.wait_until(
            vms, version + 1, {f'new-{version}'}, {f'zone-{version}'}
        )

    async def wait_until(
        self,
        vms: list[Vm],
        version: int,
        upstreams: set[str],
        domains: set[str],
    ) -> None:
        """Wait until all VMs know these objects.

        Raises AssertionError if they do not in time.
        """
        for _ in range(_MAX_POLLS):
            if all(
                vm.listener.version == version
                and upstreams <= vm.listener.upstreams
                and domains <= vm.listener.domains
                for vm in vms
            ):
                return
            await sleep(_POLL_INTERVAL_S)
        known = [
            (
                vm.listener.version,
                sorted(vm.listener.upstreams),
                sorted(vm.listener.domains),
            )
            for vm in vms
        ]
        raise AssertionError(f'not known to all VMs: {version} {known}')


class RouterRestoreTest(TestCase):
    """A router, when its store comes back from an older copy."""

    # Guards against upstreams that are dropped because the copy is older than
    # their entries.
    def test_missing_upstream(self) -> None:
        """An upstream that the copy lacks is kept until it writes again."""
        run(self.run_missing_upstream(Deployment()))

    async def run_missing_upstream(self, deployment: Deployment) -> None:
        """Restore a copy that was made before an upstream's entry."""
        try:
            await deployment.start()
            store, searcher = deployment.store, deployment.searchers[3]
            await store.remove('servers', searcher.id)
            await self.wait_until(deployment, searcher.id, is_listed=False)
            copy = store.copy()
            await store.put('servers', searcher.id, searcher.entry)
            await self.wait_until(deployment, searcher.id, is_listed=True)
            await sleep(_WATCH_START_S)
            await store.restore(copy)
            for _ in range(_REWRITE_POLLS):
                self.assertTrue(self.is_listed(deployment, searcher.id))
                await sleep(_POLL_INTERVAL_S)
            entry = {**searcher.entry, 'sequence': 2}
            await store.put('servers', searcher.id, entry)
            await sleep(_WATCH_START_S)
            self.assertTrue(self.is_listed(deployment, searcher.id))
        finally:
            await deployment.close()

    # Guards against requests to an evacuated failure domain because the copy
    # is older than its evacuation.
    def test_missing_evacuation(self) -> None:
        """An evacuation that the copy lacks lasts until it is written again."""
        run(self.run_missing_evacuation(Deployment()))

    async def run_missing_evacuation(self, deployment: Deployment) -> None:
        """Restore a copy that was made before an evacuation."""
        try:
            await deployment.start()
            store = deployment.store
            directory = deployment.router._forwarder.directory
            copy = store.copy()
            await store.put('evacuations', 'west', {})

            async def probe() -> bool:
                return 'west' in directory.evacuated

            await deployment.wait_until(probe, expected=True)
            await sleep(_WATCH_START_S)
            await store.restore(copy)
            for _ in range(_REWRITE_POLLS):
                self.assertIn('west', directory.evacuated)
                await sleep(_POLL_INTERVAL_S)
            await store.put('evacuations', 'west', {})
            await sleep(_REWRITE_POLLS * _POLL_INTERVAL_S)
            self.assertIn('west', directory.evacuated)
            await store.remove('evacuations', 'west')
            await deployment.wait_until(probe, expected=False)
        finally:
            await deployment.close()

    def is_listed(self, deployment: Deployment, upstream: UpstreamId) -> bool:
        """Return whether the router knows an upstream."""
        return upstream in deployment.router._forwarder.directory.by_id

    async def wait_until(
        self, deployment: Deployment, upstream: UpstreamId, *, is_listed: bool
    ) -> None:
        """Wait until the router knows an upstream, or doesn't."""

        async def probe() -> bool:
            return self.is_listed(deployment, upstream)

        await deployment.wait_until(probe, expected=is_listed)
