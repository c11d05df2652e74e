"""VMs that follow the store through others."""

from asyncio import create_task, run, sleep
from random import Random
from time import monotonic

from testtools import TestCase

from sesametrack.links.http import HttpRequest
from sesametrack.links.http_client import HttpConnection
from sesametrack.platform.object_watcher import (
    RELAY_MAX_STALENESS,
    ObjectWatcher,
)
from sesametrack.platform.relay import Relay
from sesametrack.platform.store import (
    ObjectMeta,
    StoreConnection,
    StoreObject,
)
from sesametrack.vms.watchers import (
    SMALL_DOMAIN_VMS,
    WATCHERS_PER_DOMAIN,
    FleetVm,
    StoreSources,
    choose_watchers,
)
from standins.object_store import ObjectStoreStandin

_HOST = '127.1.4.1'
_STORE_PORT = 9400
_FIRST_RELAY_PORT = 9410
_VMS = 5
_STEPS = 150
_STEP_S = 0.02


def make_fleet(size: int) -> list[FleetVm]:
    """Make VMs of one failure domain."""
    return [
        FleetVm(
            f'vm-{number}',
            'north',
            f'{_HOST}:{_FIRST_RELAY_PORT + number}',
            f'{_HOST}:1',
        )
        for number in range(size)
    ]


class Known:
    """What a VM has been told."""

    def __init__(self) -> None:
        """Start without knowledge."""
        self.version = 0
        self.went_back = False
        self.upstreams: set[str] = set()
        self.domains: frozenset[str] = frozenset()
        self.lost = 0

    def on_desired_state(self, state) -> None:
        """Take a version."""
        self.went_back = self.went_back or state.version < self.version
        self.version = max(self.version, state.version)

    def on_upstreams_listed(self, records) -> None:
        """Take a list."""
        self.upstreams = {record.id for record in records}

    def on_upstream_changed(self, record) -> None:
        """Take an entry."""
        self.upstreams.add(record.id)

    def on_upstream_removed(self, upstream_id: str) -> None:
        """Take a removal."""
        self.upstreams.discard(upstream_id)

    def on_evacuated(self, domains) -> None:
        """Take the failure domains that are out."""
        self.domains = domains

    def on_store_lost(self, kind: str, problem: str) -> None:
        """Count losses."""
        self.lost += 1

    def on_store_regained(self, kind: str) -> None:
        """Ignore the store's return."""


class Vm:
    """One VM's part: relay and follower."""

    def __init__(self, me: FleetVm, fleet: list[FleetVm]) -> None:
        """Bind the VM to the fleet."""
        store = f'{_HOST}:{_STORE_PORT}'
        watchers = choose_watchers(fleet, 'north')
        self.known = Known()
        self.sources = StoreSources(store, me.vm)
        self.sources.set_watchers(watchers, len(fleet))
        self.relay = Relay(me.relay_address, monotonic, RELAY_MAX_STALENESS)
        self.object_watcher = ObjectWatcher(
            self.sources, self.relay, self.known, monotonic, Random(1)
        )
        self.object_watcher.set_sources_ready(is_relaying=True)

    @property
    def is_watcher(self) -> bool:
        """Tell whether the VM asks the store itself."""
        return self.sources.current(0) == self.sources.store

    async def start(self) -> None:
        """Listen and follow."""
        await self.relay.start()
        await self.object_watcher.start(is_first_start=False)

    async def close(self) -> None:
        """Stop."""
        await self.object_watcher.close()
        await self.relay.close()


class RelayTest(TestCase):
    """Followers learn all that watchers do, and do not depend on one."""

    def test_fleet(self) -> None:
        """Run the checks on one fleet."""
        run(self.live())

    async def live(self) -> None:
        """Start a store and a fleet."""
        store = ObjectStoreStandin(_HOST, _STORE_PORT)
        await store.start()
        await self.write(store, 1)
        fleet = make_fleet(_VMS)
        vms = [Vm(me, fleet) for me in fleet]
        try:
            for vm in sorted(vms, key=lambda one: not one.is_watcher):
                await vm.start()
            await self.check_news(store, vms)
            await self.check_calls(store)
            await self.check_refused_watchers(store, vms)
            await self.check_lost_watcher(store, vms)
            await self.check_store_outage(store, vms)
        finally:
            for vm in vms:
                await vm.close()
            await store.close()

    async def write(self, store: ObjectStoreStandin, version: int) -> None:
        """Write a version of everything."""
        await store.put('config', 'main', {'config_version': version})
        entry = {
            'service': 's',
            'address': '10.0.0.1:80',
            'zone': 'north',
            'state': 'ready',
            'sequence': 1,
            'born': version,
        }
        await store.put('servers', f'i-{version}', entry)
        await store.put('evacuations', f'zone-{version}', {})

    async def wait(self, vms: list[Vm], version: int) -> None:
        """Wait until all VMs know a version of everything."""
        for _ in range(_STEPS):
            if all(
                vm.known.version == version
                and f'i-{version}' in vm.known.upstreams
                and f'zone-{version}' in vm.known.domains
                for vm in vms
            ):
                return
            await sleep(_STEP_S)
        raise AssertionError(f'version {version} is not known everywhere')

    async def check_news(
        self, store: ObjectStoreStandin, vms: list[Vm]
    ) -> None:
        """News, and removals, reach every VM."""
        self.assertEqual(
            WATCHERS_PER_DOMAIN, sum(1 for vm in vms if vm.is_watcher)
        )
        await self.wait(vms, 1)
        await self.write(store, 2)
        await self.wait(vms, 2)
        await store.remove('servers', 'i-1')
        for _ in range(_STEPS):
            if not any('i-1' in vm.known.upstreams for vm in vms):
                return
            await sleep(_STEP_S)
        raise AssertionError('the removal is not known everywhere')

    async def check_calls(self, store: ObjectStoreStandin) -> None:
        """Only the watchers call the store."""
        before = store.calls
        await sleep(1)
        self.assertLessEqual(store.calls - before, WATCHERS_PER_DOMAIN * 2)

    async def check_lost_watcher(
        self, store: ObjectStoreStandin, vms: list[Vm]
    ) -> None:
        """Followers of a watcher that is gone follow another one."""
        lost = next(vm for vm in vms if vm.is_watcher)
        await lost.close()
        await self.write(store, 4)
        await self.wait([vm for vm in vms if vm is not lost], 4)

    async def check_store_outage(
        self, store: ObjectStoreStandin, vms: list[Vm]
    ) -> None:
        """After an outage all learn what happened meanwhile."""
        store.refusal = 503
        await store.compact()
        await sleep(0.5)
        await self.write(store, 5)
        store.refusal = None
        lost = [vm for vm in vms if vm.known.version < 4]
        await self.wait([vm for vm in vms if vm not in lost], 5)
        self.assertFalse(any(vm.known.went_back for vm in vms))

    async def check_refused_watchers(
        self, store: ObjectStoreStandin, vms: list[Vm]
    ) -> None:
        """A follower goes on at the store when all relays have failed.

        Pattern: the store refuses all watchers of a failure domain. One
        kind's call finds it out; the watches of the other kinds moved to the
        store without a list, and ended for good.
        """
        for vm in vms:
            relays = [me.relay_address for me in make_fleet(_VMS)]
            for relay in relays:
                vm.sources.record_failure(relay, monotonic())
        await sleep(1)
        await self.write(store, 3)
        await self.wait(vms, 3)


class RelayAgeTest(TestCase):
    """A relay does not answer for what it does not follow itself."""

    def test_kinds(self) -> None:
        """Each kind counts by its own watch."""
        run(self.check())

    async def check(self) -> None:
        """Let one watch fail while the others work.

        Pattern: a store that refuses some calls of some VMs; relays whose
        watch of the desired state failed went on answering with an old
        version, since their watch of the upstreams worked.
        """
        self.now = 10.0
        relay = Relay(f'{_HOST}:{_FIRST_RELAY_PORT}', lambda: self.now, 2)
        await relay.start()
        try:
            for kind in ('config', 'servers'):
                relay.apply_listing(kind, [], 7)
            relay.record_store_reply()
            self.assertEqual([200, 200], await self.statuses())
            relay.mark_unavailable('config')
            self.assertEqual([503, 200], await self.statuses())
            relay.apply_listing('config', [], 9)
            self.assertEqual([200, 200], await self.statuses())
            self.now = 12.5
            self.assertEqual([503, 503], await self.statuses())
        finally:
            await relay.close()

    async def statuses(self) -> list[int]:
        """Return the statuses of lists of both kinds."""
        found = []
        for kind in ('config', 'servers'):
            http = HttpConnection(f'{_HOST}:{_FIRST_RELAY_PORT}')
            await http.start(1)
            path = f'/sesametrack/objects/{kind}'
            reply = await http.exchange(HttpRequest('GET', path, {}), 1)
            http.abort()
            found.append(reply.status)
        return found


class SourcesTest(TestCase):
    """Who watches and who follows whom."""

    def test_small_domain(self) -> None:
        """In a small failure domain every VM asks the store."""
        fleet = make_fleet(SMALL_DOMAIN_VMS)
        sources = StoreSources('store', 'vm-0')
        sources.set_watchers(choose_watchers(fleet, 'north'), len(fleet))
        self.assertEqual('store', sources.current(0))

    def test_failed_relays(self) -> None:
        """Relays that fail are passed over, the store is the last one."""
        fleet = make_fleet(20)
        watchers = choose_watchers(fleet, 'north')
        follower = next(one for one in fleet if one not in watchers)
        sources = StoreSources('store', follower.vm)
        sources.set_watchers(watchers, len(fleet))
        seen = []
        for _ in range(WATCHERS_PER_DOMAIN + 1):
            seen.append(sources.current(1))
            sources.record_failure(seen[-1], 1)
        self.assertEqual('store', seen[-1])
        self.assertEqual(
            {one.relay_address for one in watchers}, set(seen[:-1])
        )
        self.assertEqual(seen[0], sources.current(10))

    def test_one_vm_less(self) -> None:
        """A VM that goes moves at most one watcher."""
        fleet = make_fleet(20)
        before = {one.vm for one in choose_watchers(fleet, 'north')}
        for gone in fleet:
            rest = [one for one in fleet if one is not gone]
            after = {one.vm for one in choose_watchers(rest, 'north')}
            self.assertLessEqual(len(before - after), 1)


class RelayStartTest(TestCase):
    """A relay that has just started keeps those that ask waiting."""

    def test_first_list(self) -> None:
        """A list that is asked for too early is answered once it is there.

        Pattern: a fleet that starts at once, where all VMs ask a relay before
        it has heard of the store, and then all turn to the store.
        """
        run(self.ask_early())

    async def ask_early(self) -> None:
        """Ask a relay that learns its objects a moment later."""
        relay = Relay(f'{_HOST}:{_FIRST_RELAY_PORT}', monotonic, 2)
        await relay.start()
        connection = StoreConnection(f'{_HOST}:{_FIRST_RELAY_PORT}')
        try:
            asked = create_task(connection.list_objects('config'))
            await sleep(0.1)
            found = [StoreObject(ObjectMeta('main', 3), {})]
            relay.apply_listing('config', found, 7)
            relay.record_store_reply()
            self.assertEqual((found, 7), await asked)
        finally:
            connection.close()
            await relay.close()
