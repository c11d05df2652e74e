"""Follows the platform's objects and tells the product of changes."""

from asyncio import Event as AsyncEvent
from asyncio import Task, create_task, sleep, wait_for
from collections.abc import Callable
from contextlib import suppress
from logging import getLogger
from random import Random
from typing import Protocol

from sesametrack.contracts.exceptions import (
    HistoryGoneError,
    PlatformError,
)
from sesametrack.contracts.types import (
    FailureDomainId,
    Instant,
    Seconds,
    UpstreamId,
)
from sesametrack.platform.decoding import (
    decode_desired_state,
    decode_upstream,
)
from sesametrack.platform.relay import Relay
from sesametrack.platform.store import ChangeBatch, StoreConnection, StoreObject
from sesametrack.routing.desired_state import DesiredState
from sesametrack.routing.directory import UpstreamRecord
from sesametrack.telemetry.journal import log_event
from sesametrack.vms.watchers import StoreSources

# A watch returns at each event; waiting a moment before the next one lets
# the events of a wave come in one call. Upstreams that leave go on serving
# for seconds.
_GATHER_TIME: Seconds = 0.15
_UPSTREAM_GATHER_TIME: Seconds = 0.4
# The upstreams' watch also shows whether the store is there: it returns so
# often, well within the shortest drain time of the platform (3 s).
_UPSTREAM_WAIT: Seconds = 2.5
_OTHER_WAIT: Seconds = 25
# Other VMs that follow a relay must learn in time that it has lost the store,
# or is silent itself: a watch and its margin, and a list of the next relay, fit
# the drain time. A relay that finds the store lost wakes its followers.
_RELAYED_WAIT: Seconds = 1.2
_FOLLOWER_WAIT: Seconds = 1.2
RELAY_MAX_STALENESS: Seconds = 2.1
_SWITCH_PAUSE: Seconds = 0.02
_SOURCES_TIMEOUT: Seconds = 3
_FIRST_PAUSE: Seconds = 0.1
_MAX_PAUSE: Seconds = 0.8
_MAX_DOUBLINGS = 5

_UPSTREAMS = 'servers'
_DESIRED = 'config'
_EVACUATED = 'evacuations'

_log = getLogger('platform')


class Listener(Protocol):
    """What the product offers to learn of the platform's objects."""

    def on_desired_state(self, state: DesiredState) -> None:
        """Take a version of the desired state."""

    def on_upstreams_listed(self, records: list[UpstreamRecord]) -> None:
        """Take the whole list of upstreams."""

    def on_upstream_changed(self, record: UpstreamRecord) -> None:
        """Take one upstream's entry."""

    def on_upstream_removed(self, upstream_id: UpstreamId) -> None:
        """Take the removal of an entry."""

    def on_evacuated(self, domains: frozenset[FailureDomainId]) -> None:
        """Take the failure domains that must get no work."""

    def on_store_lost(self, kind: str, problem: str) -> None:
        """Take the loss of the store."""

    def on_store_regained(self, kind: str) -> None:
        """Take the return of the store."""


class ObjectWatcher:
    """Owns one connection and one task for each kind of object."""

    def __init__(
        self,
        sources: StoreSources,
        relay: Relay,
        listener: Listener,
        now: Callable[[], Instant],
        rng: Random,
    ) -> None:
        """Bind whom to ask and who is told; `start` connects."""
        self._sources = sources
        self._relay = relay
        self._now = now
        self._is_relaying = False
        self._sources_ready = AsyncEvent()
        self._listener = listener
        self._rng = rng
        self._tasks: list[Task] = []
        self._connection_by_kind: dict[str, StoreConnection] = {}
        self._failures_by_kind: dict[str, int] = {}
        self._evacuated: set[FailureDomainId] = set()

    @property
    def calls(self) -> int:
        """Number of calls made to the store."""
        return sum(one.calls for one in self._connection_by_kind.values())

    def set_sources_ready(self, *, is_relaying: bool) -> None:
        """Note that the sources are known, and whether others follow."""
        self._is_relaying = is_relaying
        self._sources_ready.set()

    async def start(self, *, is_first_start: bool) -> None:
        """Follow all kinds until `close`.

        When the whole system starts, it is first found out whom to follow.
        """
        if not is_first_start:
            self._sources_ready.set()
        kinds: tuple[tuple[str, Seconds, Callable, Callable], ...] = (
            (_DESIRED, _OTHER_WAIT, self._list_config, self._change_config),
            (
                _UPSTREAMS,
                _UPSTREAM_WAIT,
                self._list_upstreams,
                self._change_upstream,
            ),
            (_EVACUATED, _OTHER_WAIT, self._list_zones, self._change_zone),
        )
        for kind, wait, on_list, on_change in kinds:
            self._connection_by_kind[kind] = StoreConnection(
                self._sources.store
            )
            self._tasks.append(
                create_task(self._follow(kind, wait, on_list, on_change))
            )

    async def check_store(self) -> bool:
        """Find out now whether the store can still be reached.

        If it can't, the watches are cut: they wait on silent connections.
        """
        probe = StoreConnection(self._sources.store)
        try:
            await probe.list_objects(_EVACUATED, allow_stale=True)
        except PlatformError as failed:
            log_event(_log, 'store-unreachable', problem=str(failed))
            for connection in self._connection_by_kind.values():
                connection.close()
            return False
        finally:
            probe.close()
        return True

    async def close(self) -> None:
        """Stop following."""
        for task in self._tasks:
            task.cancel()
        for connection in self._connection_by_kind.values():
            connection.close()

    async def _follow(
        self,
        kind: str,
        wait: Seconds,
        on_list: Callable[[list[StoreObject]], None],
        on_change: Callable[[StoreObject, bool], None],
    ) -> None:
        with suppress(TimeoutError):
            await wait_for(self._sources_ready.wait(), _SOURCES_TIMEOUT)
        while True:
            pause = _FIRST_PAUSE
            try:
                await self._list_and_watch(kind, wait, on_list, on_change)
            except HistoryGoneError:
                self._relay.mark_unavailable(kind)
                log_event(_log, 'history-gone', kind=kind)
            except PlatformError as failed:
                pause = self._note_loss(kind, failed)
            except Exception:
                # A follower that ended would leave this VM with what it
                # knows now for ever.
                self._relay.mark_unavailable(kind)
                _log.exception('follower-failed')
            await sleep(pause * (0.5 + self._rng.random() / 2))

    async def _list_and_watch(
        self,
        kind: str,
        wait: Seconds,
        on_list: Callable[[list[StoreObject]], None],
        on_change: Callable[[StoreObject, bool], None],
    ) -> None:
        connection = self._connection_by_kind[kind]
        connection.set_address(self._sources.current(self._now()))
        found, revision = await connection.list_objects(kind)
        if connection.address == self._sources.store:
            self._relay.apply_listing(kind, found, revision)
            self._note_heard(kind)
        if self._failures_by_kind.pop(kind, 0):
            self._listener.on_store_regained(kind)
        on_list(found)
        await self._watch(connection, kind, revision, wait, on_change)

    async def _watch(
        self,
        connection: StoreConnection,
        kind: str,
        revision: int,
        wait: Seconds,
        on_change: Callable[[StoreObject, bool], None],
    ) -> None:
        while True:
            batch: ChangeBatch = await connection.watch(
                kind, revision, self._wait_time(kind, wait)
            )
            if connection.address == self._sources.store:
                self._relay.apply_changes(kind, batch)
                self._note_heard(kind)
            for change in batch.events:
                on_change(change.object, change.deleted)
            revision = batch.store_revision
            is_wave = kind == _UPSTREAMS and batch.events
            await sleep(_UPSTREAM_GATHER_TIME if is_wave else _GATHER_TIME)
            if connection.address != self._sources.current(self._now()):
                # A new source is listed first: the store's lists are what
                # this VM may have to relay.
                return

    def _wait_time(self, kind: str, wait: Seconds) -> Seconds:
        is_direct = self._connection_by_kind[kind].address == (
            self._sources.store
        )
        if not is_direct:
            return _FOLLOWER_WAIT
        if kind == _UPSTREAMS and self._is_relaying:
            return _RELAYED_WAIT
        return wait

    def _note_heard(self, kind: str) -> None:
        if kind == _UPSTREAMS:
            self._relay.record_store_reply()

    def _note_loss(self, kind: str, failed: PlatformError) -> Seconds:
        """Tell of the loss once; return the pause before the next try."""
        asked = self._connection_by_kind[kind].address
        if asked != self._sources.store:
            log_event(_log, 'relay-lost', relay=asked, problem=str(failed))
            self._sources.record_failure(asked, self._now())
            return _SWITCH_PAUSE
        self._relay.mark_unavailable(kind)
        failures = self._failures_by_kind.get(kind, 0)
        self._failures_by_kind[kind] = failures + 1
        doublings = min(failures, _MAX_DOUBLINGS)
        pause = min(_MAX_PAUSE, _FIRST_PAUSE * 2**doublings)
        if failures:
            return pause
        self._listener.on_store_lost(kind, str(failed))
        if kind == _UPSTREAMS:
            # The connections of the other watches may be silent too.
            for other, connection in self._connection_by_kind.items():
                if other != kind:
                    connection.close()
        return pause

    def _list_config(self, found: list[StoreObject]) -> None:
        for one in found:
            self._change_config(one, is_deleted=False)

    def _change_config(self, found: StoreObject, is_deleted: bool) -> None:
        if is_deleted:
            return
        state = decode_desired_state(found)
        if state is not None:
            self._listener.on_desired_state(state)

    def _list_upstreams(self, found: list[StoreObject]) -> None:
        records = [decode_upstream(one) for one in found]
        self._listener.on_upstreams_listed(
            [record for record in records if record is not None]
        )

    def _change_upstream(self, found: StoreObject, is_deleted: bool) -> None:
        record = None if is_deleted else decode_upstream(found)
        if record is None:
            self._listener.on_upstream_removed(found.meta.name)
        else:
            self._listener.on_upstream_changed(record)

    def _list_zones(self, found: list[StoreObject]) -> None:
        self._evacuated = {one.meta.name for one in found}
        self._listener.on_evacuated(frozenset(self._evacuated))

    def _change_zone(self, found: StoreObject, is_deleted: bool) -> None:
        if is_deleted:
            self._evacuated.discard(found.meta.name)
        else:
            self._evacuated.add(found.meta.name)
        self._listener.on_evacuated(frozenset(self._evacuated))
