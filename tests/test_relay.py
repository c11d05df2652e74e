"""Relays of the store's objects and the VMs that watch at them."""

from asyncio import create_task, gather, run, sleep
from random import Random
from time import monotonic

from testtools import ExpectedException, TestCase

from sesametrack.contracts.exceptions import (
    PlatformUnavailableError,
    RevisionExpiredError,
    StoreRestoredError,
)
from sesametrack.links.http import HttpRequest, HttpResponse
from sesametrack.links.http_client import HttpConnection
from sesametrack.platform.object_watcher import (
    RELAY_MAX_STALENESS,
    ObjectWatcher,
)
from sesametrack.platform.pages import (
    Change,
    ChangeBatch,
    ObjectMeta,
    StoreObject,
)
from sesametrack.platform.relay import Relay
from sesametrack.platform.store import (
    RELAY_CODING,
    StoreConnection,
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
_VM_COUNT = 5
# How long the users' store keeps its history, and what a slow call may add.
_HISTORY_S = 20
_CALL_MARGIN_S = 2
_MAX_POLLS = 150
_POLL_INTERVAL_S = 0.02
# By this time after a discarded history all watches are open again.
_REOPENED_S = 0.5
# Longest time for which a relay may delay its refusal.
_MAX_HOLD_S = 0.7


def make_fleet(size: int) -> list[FleetVm]:
    """Return VMs of one failure domain."""
    return [
        FleetVm(
            f'vm-{number}',
            'north',
            f'{_HOST}:{_FIRST_RELAY_PORT + number}',
            f'{_HOST}:1',
        )
        for number in range(size)
    ]


class RecordingListener:
    """Records what a VM is told about the store's objects."""

    def __init__(self) -> None:
        """Record nothing yet."""
        self.version = 0
        self.has_regressed = False
        self.upstreams: set[str] = set()
        self.domains: frozenset[str] = frozenset()
        self.loss_count = 0

    def on_desired_state(self, state) -> None:
        """Record the version and whether it is older than before."""
        self.has_regressed = self.has_regressed or state.version < self.version
        self.version = max(self.version, state.version)

    def on_upstreams_listed(self, records) -> None:
        """Replace the upstream ids."""
        self.upstreams = {record.id for record in records}

    def on_upstream_changed(self, record) -> None:
        """Add an upstream id."""
        self.upstreams.add(record.id)

    def on_upstream_removed(self, upstream_id: str) -> None:
        """Remove an upstream id."""
        self.upstreams.discard(upstream_id)

    def on_evacuated(self, domains) -> None:
        """Replace the evacuated failure domains."""
        self.domains = domains

    def on_store_lost(self, kind: str, problem: str) -> None:
        """Count reports of a lost store."""
        self.loss_count += 1

    def on_store_regained(self, kind: str) -> None:
        """Ignore the recovery of the store."""

    def on_store_era(self, era: int, *, is_restored: bool) -> None:
        """Ignore the era of the store."""


class Vm:
    """Relay and object watcher of one VM."""

    def __init__(self, fleet_vm: FleetVm, fleet: list[FleetVm]) -> None:
        """Set up the VM as a member of the fleet."""
        store = f'{_HOST}:{_STORE_PORT}'
        watchers = choose_watchers(fleet, 'north')
        self.listener = RecordingListener()
        self.sources = StoreSources(store, fleet_vm.vm, Random(1))
        self.sources.set_watchers(watchers, len(fleet))
        self.relay = Relay(
            fleet_vm.relay_address, monotonic, RELAY_MAX_STALENESS
        )
        self.object_watcher = ObjectWatcher(
            self.sources, self.relay, self.listener, monotonic, Random(1)
        )
        self.object_watcher.set_sources_ready(is_relaying=True)

    @property
    def is_watcher(self) -> bool:
        """Return whether the VM reads from the store itself."""
        return self.sources.current(0) == self.sources.store

    async def start(self) -> None:
        """Start the relay and the object watcher."""
        await self.relay.start()
        await self.object_watcher.start(is_first_start=False)

    async def close(self) -> None:
        """Stop both."""
        await self.object_watcher.close()
        await self.relay.close()


class RelayTest(TestCase):
    """Followers get all changes, also after one watcher has stopped."""

    def test_fleet(self) -> None:
        """Run all checks in order on one fleet."""
        run(self.run_checks())

    async def run_checks(self) -> None:
        """Start a store and a fleet, and run the checks."""
        store = ObjectStoreStandin(_HOST, _STORE_PORT)
        await store.start()
        await self.write_objects(store, 1)
        fleet = make_fleet(_VM_COUNT)
        vms = [Vm(fleet_vm, fleet) for fleet_vm in fleet]
        try:
            for vm in sorted(vms, key=lambda one: not one.is_watcher):
                await vm.start()
            await self.check_changes(store, vms)
            await self.check_calls(store, vms)
            self.check_waits(store)
            await self.check_refused_watchers(store, vms)
            await self.check_stopped_watcher(store, vms)
            await self.check_store_outage(store, vms)
        finally:
            for vm in vms:
                await vm.close()
            await store.close()

    async def write_objects(
        self, store: ObjectStoreStandin, version: int
    ) -> None:
        """Write an object of each kind with this version."""
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

    async def wait_for_version(self, vms: list[Vm], version: int) -> None:
        """Wait until all VMs have the objects of this version."""
        for _ in range(_MAX_POLLS):
            if all(
                vm.listener.version == version
                and f'i-{version}' in vm.listener.upstreams
                and f'zone-{version}' in vm.listener.domains
                for vm in vms
            ):
                return
            await sleep(_POLL_INTERVAL_S)
        raise AssertionError(f'version {version} has not reached all VMs')

    async def check_changes(
        self, store: ObjectStoreStandin, vms: list[Vm]
    ) -> None:
        """Changes and removals reach every VM."""
        self.assertEqual(
            WATCHERS_PER_DOMAIN, sum(1 for vm in vms if vm.is_watcher)
        )
        await self.wait_for_version(vms, 1)
        await self.write_objects(store, 2)
        await self.wait_for_version(vms, 2)
        await store.remove('servers', 'i-1')
        for _ in range(_MAX_POLLS):
            if not any('i-1' in vm.listener.upstreams for vm in vms):
                return
            await sleep(_POLL_INTERVAL_S)
        raise AssertionError('the removal has not reached all VMs')

    async def check_calls(
        self, store: ObjectStoreStandin, vms: list[Vm]
    ) -> None:
        """Only watchers call the store."""
        before = store.calls
        await sleep(1)
        self.assertLessEqual(store.calls - before, WATCHERS_PER_DOMAIN * 2)
        # The metric counts what the store has seen.
        self.assertEqual(
            store.calls, sum(vm.object_watcher.calls for vm in vms)
        )

    def check_waits(self, store: ObjectStoreStandin) -> None:
        """Watches end before the store discards the history after them.

        Failure: watches of quiet kinds waited for 25 s and got 410 where
        anything else was written meanwhile; relays refused their followers
        until they had listed anew, and these all turned to the store.
        """
        self.assertGreater(store.longest_wait_s, 0)
        self.assertLessEqual(store.longest_wait_s, _HISTORY_S - _CALL_MARGIN_S)

    async def check_stopped_watcher(
        self, store: ObjectStoreStandin, vms: list[Vm]
    ) -> None:
        """Followers of a stopped watcher follow another one."""
        stopped_vm = next(vm for vm in vms if vm.is_watcher)
        await stopped_vm.close()
        await self.write_objects(store, 4)
        await self.wait_for_version(
            [vm for vm in vms if vm is not stopped_vm], 4
        )

    async def check_store_outage(
        self, store: ObjectStoreStandin, vms: list[Vm]
    ) -> None:
        """After an outage all VMs get the changes made during it."""
        store.refusal = 503
        await store.compact()
        await sleep(0.5)
        await self.write_objects(store, 5)
        store.refusal = None
        stopped_vms = [vm for vm in vms if vm.listener.version < 4]
        await self.wait_for_version(
            [vm for vm in vms if vm not in stopped_vms], 5
        )
        self.assertFalse(any(vm.listener.has_regressed for vm in vms))

    async def check_refused_watchers(
        self, store: ObjectStoreStandin, vms: list[Vm]
    ) -> None:
        """A follower whose relays have all failed watches at the store.

        Fault guarded against: the store refuses all watchers of a failure
        domain. The call of one kind detects it, and the watches of the other
        kinds move to the store without a listing and end for good.
        """
        for vm in vms:
            relays = [
                fleet_vm.relay_address for fleet_vm in make_fleet(_VM_COUNT)
            ]
            for relay in relays:
                vm.sources.record_failure(relay, monotonic())
        await sleep(1)
        await self.write_objects(store, 3)
        await self.wait_for_version(vms, 3)


class RelayStalenessTest(TestCase):
    """A relay refuses requests for kinds that it has no current copy of."""

    def test_kinds(self) -> None:
        """A failed watch of one kind affects requests for that kind only."""
        run(self.check())

    async def check(self) -> None:
        """Mark one kind as unavailable, then let the store's last reply age.

        Fault guarded against: the store refuses some calls, and a relay whose
        watch of the desired state fails keeps serving an old version because
        its watch of the upstreams works.
        """
        self.now = 10.0
        relay = Relay(f'{_HOST}:{_FIRST_RELAY_PORT}', lambda: self.now, 2)
        await relay.start()
        try:
            for kind in ('config', 'servers'):
                relay.apply_listing(kind, [], 7)
            relay.record_store_reply()
            self.assertEqual([200, 200], await self.listing_statuses())
            relay.mark_unavailable('config')
            self.assertEqual([503, 200], await self.listing_statuses())
            relay.apply_listing('config', [], 9)
            self.assertEqual([200, 200], await self.listing_statuses())
            self.now = 12.5
            self.assertEqual([503, 503], await self.listing_statuses())
        finally:
            await relay.close()

    async def listing_statuses(self) -> list[int]:
        """Return the statuses of the listings of both kinds."""
        statuses = []
        for kind in ('config', 'servers'):
            http = HttpConnection(f'{_HOST}:{_FIRST_RELAY_PORT}')
            await http.start(1)
            path = f'/sesametrack/objects/{kind}'
            reply = await http.exchange(HttpRequest('GET', path, {}), 1)
            http.abort()
            statuses.append(reply.status)
        return statuses


class RelayRecoveryTest(TestCase):
    """A relay whose own watch was cut for a moment keeps its followers.

    Guards against a herd: a store that cut all watches got three listings
    and as many watches of every VM of the fleet at the same moment, as both
    relays of each failure domain refused their followers at once.
    """

    def test_short_loss(self) -> None:
        """Watches and listings wait for the relay's next listing."""
        run(self.check_short_loss())

    async def check_short_loss(self) -> None:
        """Lose a kind for a fifth of a second, and change it meanwhile."""
        relay = Relay(f'{_HOST}:{_FIRST_RELAY_PORT}', monotonic, 9)
        await relay.start()
        address = f'{_HOST}:{_FIRST_RELAY_PORT}'
        watcher, lister = StoreConnection(address), StoreConnection(address)
        before, after = make_objects(3, 7), make_objects(4, 7)
        after[1] = make_objects(2, 9)[1]
        removed = after.pop(0)
        try:
            relay.apply_listing('servers', before, 7)
            relay.record_store_reply()
            await watcher.list_objects('servers')
            watch = create_task(watcher.watch('servers', 7, 1))
            await sleep(0.05)
            relay.mark_unavailable('servers')
            listing = create_task(lister.list_objects('servers'))
            await sleep(0.2)
            relay.apply_listing('servers', after, 9)
            batch = await watch
            self.assertEqual((after, 9), await listing)
            lister.close()
        finally:
            watcher.close()
            await relay.close()
        self.assertEqual(9, batch.store_revision)
        self.assertEqual(
            {
                (removed.meta.name, True),
                (after[0].meta.name, False),
                (after[-1].meta.name, False),
            },
            {(one.object.meta.name, one.deleted) for one in batch.events},
        )

    def test_long_loss(self) -> None:
        """A relay that can't list again refuses soon."""
        run(self.check_long_loss())

    async def check_long_loss(self) -> None:
        """Lose a kind for longer than a follower may wait."""
        relay = Relay(f'{_HOST}:{_FIRST_RELAY_PORT}', monotonic, 9)
        await relay.start()
        connection = StoreConnection(f'{_HOST}:{_FIRST_RELAY_PORT}')
        try:
            relay.apply_listing('config', [], 7)
            relay.record_store_reply()
            await connection.list_objects('config')
            watch = create_task(connection.watch('config', 7, 1.2))
            await sleep(0.05)
            lost_at = monotonic()
            relay.mark_unavailable('config')
            with ExpectedException(PlatformUnavailableError):
                await watch
            self.assertLess(monotonic() - lost_at, _MAX_HOLD_S)
            asked_at = monotonic()
            with ExpectedException(PlatformUnavailableError):
                await connection.list_objects('config')
            self.assertLess(monotonic() - asked_at, _MAX_HOLD_S / 2)
        finally:
            connection.close()
            await relay.close()


class MissedWakeUpTest(TestCase):
    """A watch that the store does not wake is not waited for for long."""

    def test_after_discarded_history(self) -> None:
        """The store ends all watches, and wakes no new one for a while.

        Guards against a VM that lists just before a change, and then waits 17
        s for news of it at a store that has just discarded its history.
        """
        run(self.check())

    async def check(self) -> None:
        """Change all kinds after the watches have been opened again."""
        store = ObjectStoreStandin(_HOST, _STORE_PORT)
        await store.start()
        fleet = make_fleet(1)
        vm = Vm(fleet[0], fleet)
        fleet_test = RelayTest('test_fleet')
        try:
            await fleet_test.write_objects(store, 1)
            await vm.start()
            await fleet_test.wait_for_version([vm], 1)
            store.is_mute = True
            store.refusal = 503
            await store.compact()
            await sleep(_POLL_INTERVAL_S * 10)
            store.refusal = None
            await sleep(_REOPENED_S)
            await fleet_test.write_objects(store, 2)
            await fleet_test.wait_for_version([vm], 2)
        finally:
            await vm.close()
            await store.close()


class RelayEraTest(TestCase):
    """A relay that has listed a store that came back from an older copy."""

    # Guards against a follower that waits for revisions of the former history.
    def test_lower_revision(self) -> None:
        """A watch from a revision that the relay doesn't have fails."""
        run(self.watch_after(60, RevisionExpiredError))

    # Guards against a follower that misses what lies below its revision, which
    # the new history has passed meanwhile.
    def test_revisions_given_out_again(self) -> None:
        """A watch from the same revision of another history fails."""
        run(self.watch_after(120, StoreRestoredError))

    async def watch_after(
        self, revision: int, expected: type[Exception]
    ) -> None:
        """List at revision 100, then watch when the relay is elsewhere."""
        relay = Relay(f'{_HOST}:{_FIRST_RELAY_PORT}', monotonic, 9)
        await relay.start()
        connection = StoreConnection(f'{_HOST}:{_FIRST_RELAY_PORT}')
        try:
            relay.apply_listing('config', [], 100, 1)
            relay.record_store_reply()
            await connection.list_objects('config')
            relay.apply_listing('config', [], 60, 2)
            if revision > 60:
                batch = ChangeBatch([Change(make_objects(1, 61)[0])], revision)
                relay.apply_changes('config', batch)
            with ExpectedException(expected):
                await connection.watch('config', 100, 0.2)
            _, listed_revision = await connection.list_objects('config')
            self.assertEqual((revision, 2), (listed_revision, connection.era))
        finally:
            connection.close()
            await relay.close()

    def test_relay_behind(self) -> None:
        """A listing of a former era is refused, and another source is used."""
        run(self.list_from_relay_behind())

    async def list_from_relay_behind(self) -> None:
        """Let one relay of two stay in the former era."""
        fleet = make_fleet(_VM_COUNT)
        watchers = choose_watchers(fleet, 'north')
        follower = Vm(next(one for one in fleet if one not in watchers), fleet)
        first = follower.sources.current(0)
        watchers.sort(key=lambda one: one.relay_address != first)
        behind, ahead = [
            Relay(one.relay_address, monotonic, 9) for one in watchers
        ]
        await behind.start()
        await ahead.start()
        try:
            for kind in ('config', 'servers', 'evacuations'):
                spec = {'config_version': 2}
                objects = [StoreObject(ObjectMeta('main', 3), spec)]
                ahead.apply_listing(kind, objects, 60, 2)
                behind.apply_listing(kind, [], 100, 1)
            behind.apply_listing('servers', [], 60, 2)
            for relay in (ahead, behind):
                relay.record_store_reply()
            await follower.start()
            for _ in range(_MAX_POLLS):
                if follower.listener.version == 2:
                    return
                await sleep(_POLL_INTERVAL_S)
            self.assertEqual(2, follower.listener.version)
        finally:
            await gather(follower.close(), behind.close(), ahead.close())


class SourcesTest(TestCase):
    """Choice of the watchers, and of the source of each VM."""

    def test_small_domain(self) -> None:
        """In a small failure domain every VM reads from the store."""
        fleet = make_fleet(SMALL_DOMAIN_VMS)
        sources = StoreSources('store', 'vm-0', Random(1))
        sources.set_watchers(choose_watchers(fleet, 'north'), len(fleet))
        self.assertEqual('store', sources.current(0))

    def test_failed_relays(self) -> None:
        """Failed relays are skipped; the store is the last source."""
        fleet = make_fleet(20)
        watchers = choose_watchers(fleet, 'north')
        follower = next(one for one in fleet if one not in watchers)
        sources = StoreSources('store', follower.vm, Random(1))
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
        """Removing a VM replaces at most one watcher."""
        fleet = make_fleet(20)
        before = {one.vm for one in choose_watchers(fleet, 'north')}
        for removed in fleet:
            rest = [one for one in fleet if one is not removed]
            after = {one.vm for one in choose_watchers(rest, 'north')}
            self.assertLessEqual(len(before - after), 1)


class RelayStartTest(TestCase):
    """A relay without a listing delays requests until it has one."""

    def test_first_list(self) -> None:
        """An early request is answered as soon as the listing is there.

        Fault guarded against: all VMs start at once, request a listing before
        the relay has one, and then all turn to the store.
        """
        run(self.request_early())

    async def request_early(self) -> None:
        """Request a listing that the relay gets a moment later."""
        relay = Relay(f'{_HOST}:{_FIRST_RELAY_PORT}', monotonic, 2)
        await relay.start()
        connection = StoreConnection(f'{_HOST}:{_FIRST_RELAY_PORT}')
        try:
            listing = create_task(connection.list_objects('config'))
            await sleep(0.1)
            objects = [StoreObject(ObjectMeta('main', 3), {})]
            relay.apply_listing('config', objects, 7)
            relay.record_store_reply()
            self.assertEqual((objects, 7), await listing)
        finally:
            connection.close()
            await relay.close()


class RelayBodiesTest(TestCase):
    """Followers share one encoded and compressed body."""

    def test_many_followers(self) -> None:
        """A listing for a follower is small, and current after changes.

        Failure: a change of all upstreams filled the relay's network link and
        its event loop with 20 listings, so that it was late for gathers.
        """
        run(self.list_often())

    async def list_often(self) -> None:
        """List and watch with and without compression."""
        relay = Relay(f'{_HOST}:{_FIRST_RELAY_PORT}', monotonic, 9)
        await relay.start()
        try:
            relay.apply_listing('servers', make_objects(800, 7), 7)
            relay.record_store_reply()
            plain = await self.read('servers')
            compressed = await self.read(
                'servers', {'accept-encoding': RELAY_CODING}
            )
            self.assertLess(len(compressed.body) * 5, len(plain.body))
            self.assertNotIn('content-encoding', plain.headers)
            connection = StoreConnection(f'{_HOST}:1')
            connection.set_address(
                f'{_HOST}:{_FIRST_RELAY_PORT}', is_relay=True
            )
            expected = (make_objects(800, 7), 7)
            self.assertEqual(expected, await connection.list_objects('servers'))
            batch = ChangeBatch([Change(make_objects(1, 8)[0])], 8)
            watch = create_task(connection.watch('servers', 7, 1))
            await sleep(0.05)
            relay.apply_changes('servers', batch)
            self.assertEqual(batch, await watch)
            expected = (make_objects(1, 8) + make_objects(800, 7)[1:], 8)
            self.assertEqual(expected, await connection.list_objects('servers'))
            relay.apply_changes('servers', ChangeBatch([], 9))
            self.assertEqual(9, (await connection.list_objects('servers'))[1])
            connection.close()
        finally:
            await relay.close()

    async def read(
        self, kind: str, headers: dict[str, str] | None = None
    ) -> HttpResponse:
        """Return the listing of a kind."""
        http = HttpConnection(f'{_HOST}:{_FIRST_RELAY_PORT}')
        await http.start(1)
        path = f'/sesametrack/objects/{kind}'
        reply = await http.exchange(HttpRequest('GET', path, headers or {}), 1)
        http.abort()
        return reply


def make_objects(count: int, revision: int) -> list[StoreObject]:
    """Make objects with a content that is typical of upstreams."""
    return [
        StoreObject(
            ObjectMeta(f'i-{number:010x}', revision),
            {
                'service': f'shard-{number % 90}',
                'address': f'10.1.64.{number % 250}:8002',
                'zone': 'north',
                'state': 'ready',
                'sequence': number * 7919,
            },
        )
        for number in range(count)
    ]
