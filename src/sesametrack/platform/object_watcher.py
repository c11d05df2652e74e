"""List-and-watch loops over the store's objects, with a listener."""

from asyncio import Event as AsyncEvent
from asyncio import Task, create_task, sleep, wait_for
from collections.abc import Callable
from contextlib import suppress
from logging import getLogger
from random import Random

from sesametrack.contracts.exceptions import (
    PlatformError,
    PlatformUnavailableError,
    RevisionExpiredError,
)
from sesametrack.contracts.types import (
    Address,
    Instant,
    Seconds,
)
from sesametrack.platform.credentials import hide_keys, hide_keys_of_batch
from sesametrack.platform.object_kinds import (
    EVACUATIONS,
    UPSTREAMS,
    Listener,
    ObjectKinds,
)
from sesametrack.platform.pages import ChangeBatch, StoreObject
from sesametrack.platform.relay import Relay
from sesametrack.platform.store import (
    StoreConnection,
)
from sesametrack.telemetry.structured_log import log_event
from sesametrack.telemetry.traffic import Traffic
from sesametrack.vms.repeats import Repeated, grown_wait
from sesametrack.vms.watchers import StoreSources

# A watch returns at each event. The delay before the next one collects a burst
# of events in one call; the longer one is harmless because upstreams that leave
# keep serving for seconds.
_BATCH_DELAY: Seconds = 0.15
_UPSTREAM_BATCH_DELAY: Seconds = 0.4
# A store that has just discarded its history or was unavailable may not wake a
# watch that was opened at the same moment. So the first ones after such a
# listing end soon.
_SETTLING_WAIT: Seconds = 1
_SETTLING_TIME: Seconds = 4
# Followers must detect within the drain time that their relay is unreachable or
# cut off from the store: a watch with its margin and a listing from the next
# relay fit into it. A relay that detects the loss of the store ends their
# watches at once.
_RELAYED_UPSTREAM_WAIT: Seconds = 1.2
_FOLLOWER_WAIT: Seconds = 1.2
RELAY_MAX_STALENESS: Seconds = 2.1
_SOURCE_SWITCH_DELAY: Seconds = 0.02
# A kind that has been watched for longer than this is listed again soon.
_STEADY_TIME: Seconds = 5
# How long the watches wait for the fleet's first listing, which names the
# relays: on the first start of all VMs, and after a restart of this one.
_FIRST_SOURCES_TIMEOUT: Seconds = 3
_SOURCES_TIMEOUT: Seconds = 0.5
# While the upstreams can't be listed, the other kinds are tried this rarely.
_OTHER_KINDS_DELAY: Seconds = 2

_log = getLogger('platform')


class ObjectWatcher:
    """Watches the store's objects, at the store itself or at a relay.

    Each kind of object has its own connection and task. What is read from the
    store itself is copied to this VM's relay.
    """

    def __init__(
        self,
        sources: StoreSources,
        relay: Relay,
        listener: Listener,
        now: Callable[[], Instant],
        rng: Random,
        traffic: Traffic | None = None,
        *,
        watches_rollouts: bool = False,
    ) -> None:
        """Set the sources and the listener; `start` connects."""
        self._sources = sources
        self._traffic = traffic
        self._relay = relay
        self._now = now
        self._is_relaying = False
        self._sources_ready = AsyncEvent()
        self._listener = listener
        self._kinds = ObjectKinds(listener, watches_rollouts=watches_rollouts)
        self._rng = rng
        self._tasks: list[Task] = []
        self._connection_by_kind: dict[str, StoreConnection] = {}
        self._failed_kinds: set[str] = set()
        self._closed_calls = 0
        self._sources_timeout = _SOURCES_TIMEOUT
        # Cleared while the upstreams can't be listed at the store.
        self._is_store_usable = AsyncEvent()
        self._is_store_usable.set()
        self._revision_by_kind: dict[str, int] = {}
        # Until when the watches of a kind end soon.
        self._settling_until: dict[str, Instant] = {}
        self._era_by_kind: dict[str, int | None] = {}
        self._latest_era = 0
        # Kinds whose watch this VM itself has ended.
        self._ended_kinds: set[str] = set()

    @property
    def calls(self) -> int:
        """Number of calls made to the store itself."""
        open_calls = sum(one.calls for one in self._connection_by_kind.values())
        return self._closed_calls + open_calls

    def set_sources_ready(self, *, is_relaying: bool) -> None:
        """Start the watches, as the sources are known.

        `is_relaying` says whether other VMs may watch at this VM's relay.
        """
        self._is_relaying = is_relaying
        self._sources_ready.set()

    async def start(self, *, is_first_start: bool) -> None:
        """Watch all kinds until `close`.

        The watches wait for `set_sources_ready`, up to a timeout: most VMs
        need not call the store if they know the relays.
        """
        if is_first_start:
            self._sources_timeout = _FIRST_SOURCES_TIMEOUT
        for kind in self._kinds.watched():
            self._connection_by_kind[kind.name] = StoreConnection(
                self._sources.store, self._traffic, kind.name
            )
            self._tasks.append(
                create_task(
                    self._watch_forever(
                        kind.name, kind.wait, kind.on_list, kind.on_change
                    )
                )
            )

    async def check_store(self) -> bool:
        """Return whether the store is reachable.

        If it is not, close the connections, because watches on
        unresponsive ones would wait until their timeout.
        """
        probe = StoreConnection(self._sources.store, self._traffic, 'check')
        try:
            await probe.list_objects(EVACUATIONS, allow_stale=True)
        except PlatformError as error:
            log_event(_log, 'store-unreachable', problem=str(error))
            for connection in self._connection_by_kind.values():
                connection.close()
            return False
        finally:
            probe.close()
        return True

    async def close(self) -> None:
        """Cancel the tasks and close the connections."""
        for task in self._tasks:
            task.cancel()
        for connection in self._connection_by_kind.values():
            connection.close()

    async def _watch_forever(
        self,
        kind: str,
        wait: Seconds,
        on_list: Callable[[list[StoreObject]], None],
        on_change: Callable[[StoreObject, bool], None],
    ) -> None:
        with suppress(TimeoutError):
            await wait_for(self._sources_ready.wait(), self._sources_timeout)
        failures = 0
        while True:
            await self._wait_for_source(kind)
            started_at = self._now()
            try:
                await self._list_and_watch(kind, wait, on_list, on_change)
            except RevisionExpiredError as error:
                self._relay.mark_unavailable(kind)
                log_event(_log, 'history-gone', kind=kind, problem=str(error))
            except PlatformError as error:
                self._handle_failure(kind, error)
                await sleep(
                    _SOURCE_SWITCH_DELAY * (0.5 + self._rng.random() / 2)
                )
                continue
            except Exception:
                # Without this task the VM would never see another change.
                self._relay.mark_unavailable(kind)
                _log.exception('follower-failed')
            if self._now() > started_at + _STEADY_TIME:
                failures = 0
            failures += 1
            await sleep(grown_wait(Repeated.relist.value, failures, self._rng))

    async def _list_and_watch(
        self,
        kind: str,
        wait: Seconds,
        on_list: Callable[[list[StoreObject]], None],
        on_change: Callable[[StoreObject, bool], None],
    ) -> None:
        connection = self._connection_by_kind[kind]
        if kind in self._revision_by_kind:
            self._settling_until[kind] = self._now() + _SETTLING_TIME
        source = self._sources.current(self._now())
        connection.set_address(source, is_relay=source != self._sources.store)
        self._ended_kinds.discard(kind)
        revision = await self._list(connection, kind, on_list)
        while True:
            await self._watch(connection, kind, revision, wait, on_change)
            source = self._sources.current(self._now())
            if source == self._sources.store:
                # It must be listed first, as this VM's relay needs that.
                return
            # A relay is used from its first reply on; until then this VM
            # goes on with the watch that it has.
            candidate = StoreConnection(source, self._traffic, kind)
            candidate.set_address(source, is_relay=True)
            try:
                revision = await self._list(candidate, kind, on_list)
            except PlatformError as error:
                candidate.close()
                self._record_relay_failure(source, error)
                revision = self._revision_by_kind[kind]
                continue
            connection.close()
            self._closed_calls += connection.calls
            self._connection_by_kind[kind] = candidate
            connection = candidate

    async def _wait_for_source(self, kind: str) -> None:
        if kind != UPSTREAMS:
            with suppress(TimeoutError):
                await wait_for(self._is_store_usable.wait(), _OTHER_KINDS_DELAY)
        await sleep(self._sources.wait_time(self._now()))

    async def _list(
        self,
        connection: StoreConnection,
        kind: str,
        on_list: Callable[[list[StoreObject]], None],
    ) -> int:
        """Apply a listing; return its revision."""
        objects, revision = await connection.list_objects(kind)
        self._require_current_era(connection)
        self._record_era(connection, kind, revision)
        self._sources.record_success(connection.address)
        if connection.address == self._sources.store:
            objects = [hide_keys(one) for one in objects]
            self._relay.apply_listing(kind, objects, revision, connection.era)
            self._record_store_reply(kind)
        if kind == UPSTREAMS:
            self._is_store_usable.set()
        if kind in self._failed_kinds:
            self._failed_kinds.discard(kind)
            self._listener.on_store_regained(kind)
        on_list(objects)
        return revision

    def _require_current_era(self, connection: StoreConnection) -> None:
        """Refuse a listing of a relay that has not heard of a restore."""
        era = connection.era
        if era is not None and era < self._latest_era:
            raise PlatformUnavailableError(
                f'era {era} is over, {self._latest_era} is known'
            )

    def _record_era(
        self, connection: StoreConnection, kind: str, revision: int
    ) -> None:
        """Record the era of a listing, and end watches of a former one.

        The store may hold a watch of another kind for long without a reply
        that would show the new era.
        """
        before = self._era_by_kind.get(kind)
        if connection.era != before:
            log_event(
                _log,
                'store-era',
                kind=kind,
                era=connection.era,
                before=before,
                revision=revision,
                source=connection.address,
            )
        if connection.era is not None and connection.era > self._latest_era:
            is_restored = self._latest_era > 0
            self._latest_era = connection.era
            self._listener.on_store_era(connection.era, is_restored=is_restored)
        self._era_by_kind[kind] = connection.era
        for other, era in self._era_by_kind.items():
            # Relays of older versions name no era.
            is_known = None not in {era, connection.era}
            if other != kind and is_known and era != connection.era:
                self._end_direct_watch(other)

    def _end_direct_watch(self, kind: str) -> None:
        connection = self._connection_by_kind[kind]
        if connection.address == self._sources.store:
            self._ended_kinds.add(kind)
            connection.close()

    async def _watch(
        self,
        connection: StoreConnection,
        kind: str,
        revision: int,
        wait: Seconds,
        on_change: Callable[[StoreObject, bool], None],
    ) -> None:
        """Apply changes until another source is to be used."""
        while True:
            self._revision_by_kind[kind] = revision
            batch: ChangeBatch = await connection.watch(
                kind, revision, self._wait_time(kind, wait)
            )
            if connection.address == self._sources.store:
                batch = hide_keys_of_batch(batch)
                self._relay.apply_changes(kind, batch)
                self._record_store_reply(kind)
            for change in batch.events:
                on_change(change.object, change.deleted)
            revision = batch.store_revision
            is_burst = kind == UPSTREAMS and batch.events
            await sleep(_UPSTREAM_BATCH_DELAY if is_burst else _BATCH_DELAY)
            self._revision_by_kind[kind] = revision
            if connection.address != self._sources.current(self._now()):
                return

    def _wait_time(self, kind: str, wait: Seconds) -> Seconds:
        is_direct = self._connection_by_kind[kind].address == (
            self._sources.store
        )
        if not is_direct:
            return _FOLLOWER_WAIT
        if kind == UPSTREAMS and self._is_relaying:
            return _RELAYED_UPSTREAM_WAIT
        if self._now() < self._settling_until.get(kind, float('-inf')):
            return min(wait, _SETTLING_WAIT)
        return wait

    def _record_store_reply(self, kind: str) -> None:
        if kind == UPSTREAMS:
            self._relay.record_store_reply()

    def _handle_failure(self, kind: str, error: PlatformError) -> None:
        """Record a failed call, and report the first one."""
        if kind in self._ended_kinds:
            self._ended_kinds.discard(kind)
            self._relay.mark_unavailable(kind)
            return
        source = self._connection_by_kind[kind].address
        if source != self._sources.store:
            self._record_relay_failure(source, error)
            return
        self._relay.mark_unavailable(kind)
        self._sources.record_failure(source, self._now())
        if kind == UPSTREAMS:
            self._is_store_usable.clear()
        if kind in self._failed_kinds:
            return
        self._failed_kinds.add(kind)
        self._listener.on_store_lost(kind, str(error))
        if kind == UPSTREAMS:
            # The connections of the other watches may be unresponsive too.
            for other, connection in self._connection_by_kind.items():
                if other != kind and connection.address == source:
                    connection.close()

    def _record_relay_failure(
        self, relay: Address, error: PlatformError
    ) -> None:
        if self._sources.record_failure(relay, self._now()):
            log_event(_log, 'relay-lost', relay=relay, problem=str(error))
