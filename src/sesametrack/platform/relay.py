"""Relay of the store's objects from this VM to other VMs.

In a large failure domain only a few VMs watch the store. The others list and
watch the objects at relays on those VMs, with the same calls and revisions,
so that the rate and cost of store calls grow with the number of failure
domains instead of VMs.
"""

from asyncio import Event, wait_for
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit
from zlib import compress

from msgspec.json import encode

from sesametrack.contracts.settings import CallerLimits, split_address
from sesametrack.contracts.types import Address, Instant, Seconds
from sesametrack.links.http import HttpRequest, HttpResponse
from sesametrack.links.http_server import HttpServer
from sesametrack.platform.pages import Change, ChangeBatch, StoreObject
from sesametrack.platform.store import (
    ERA_HEADER,
    RELAY_CODING,
)

_PREFIX = '/sesametrack/objects/'
# Followers send no bodies.
_LIMITS = CallerLimits(max_body_bytes=4096)
_OK = 200
_UNAVAILABLE = 503
_NOT_FOUND = 404
_GONE = 410
_MS_PER_S = 1000
_MAX_HISTORY_CHANGES = 2000
# The fastest level: a listing of 877 upstreams shrinks from 210 to 23 KB.
_COMPRESSION_LEVEL = 1
# A VM that starts gets its first listing of a kind well within this time if the
# store replies. A follower that waits longer gets 404 and tries another source.
_FIRST_LISTING_TIMEOUT: Seconds = 0.5
# A VM whose watch was cut lists again within this time if the store replies.
# Its followers wait for that: together they would call the store many times.
_RECOVERY_TIME: Seconds = 0.5


@dataclass(slots=True)
class _KindState:
    # Of the store's history that the objects belong to, None if unknown.
    era: int | None = None
    revision: int = 0
    oldest_revision: int = 0
    object_by_name: dict[str, StoreObject] = field(default_factory=dict)
    history: deque = field(default_factory=deque)
    changed: Event = field(default_factory=Event)
    is_listed: bool = False
    # Since when this VM's own watch of the kind fails, None if it doesn't.
    unavailable_since: Instant | None = None
    # Encoded bodies, by the revision to watch after (None for a listing) and
    # whether they are compressed. Most followers ask the same.
    body_by_query: dict[tuple[int | None, bool], bytes] = field(
        default_factory=dict
    )


class Relay:
    """Keeps copies of the store's objects and serves lists and watches."""

    def __init__(
        self,
        address: Address,
        now: Callable[[], Instant],
        max_staleness: Seconds,
    ) -> None:
        """Set the address; `start` opens the socket.

        Requests are refused once `max_staleness` has passed since the last
        reply of the store.
        """
        host, port = split_address(address)
        self._server = HttpServer(host, port, self._handle, _LIMITS)
        self._now = now
        self._max_staleness = max_staleness
        self._store_replied_at: Instant = float('-inf')
        self._state_by_kind: dict[str, _KindState] = {}

    async def start(self) -> None:
        """Open the socket; raises OSError if the address is in use."""
        await self._server.start()

    async def close(self) -> None:
        """Close the socket and all connections."""
        await self._server.close()

    def record_store_reply(self) -> None:
        """Record that the store replied to the watch with a short wait.

        The other watches wait too long to show that the store is reachable.
        """
        self._store_replied_at = self._now()

    def mark_unavailable(self, kind: str) -> None:
        """Refuse requests for a kind after a while, until its next listing.

        Meanwhile they wait for the listing.
        """
        state = self._state_by_kind.get(kind)
        if state is not None and state.unavailable_since is None:
            state.unavailable_since = self._now()
            _notify_watches(state)

    def apply_listing(
        self,
        kind: str,
        objects: list[StoreObject],
        revision: int,
        era: int | None = None,
    ) -> None:
        """Replace all objects of a kind by a complete listing of an era.

        Followers that watch from an earlier listing of the same history get
        what has changed since.
        """
        state = self._state_by_kind.setdefault(kind, _KindState())
        listed = {one.meta.name: one for one in objects}
        is_continued = (
            state.is_listed and state.era == era and revision >= state.revision
        )
        if is_continued:
            batch = ChangeBatch(
                _find_changes(state.object_by_name, listed), revision
            )
            _apply_batch(state, batch)
        else:
            state.history.clear()
            state.oldest_revision = revision
        state.object_by_name = listed
        state.unavailable_since = None
        state.is_listed = True
        state.era = era
        state.revision = revision
        _notify_watches(state)

    def apply_changes(self, kind: str, batch: ChangeBatch) -> None:
        """Apply changes of a kind and record them for watches."""
        state = self._state_by_kind.setdefault(kind, _KindState())
        _apply_batch(state, batch)
        if batch.events:
            _notify_watches(state)
        elif state.revision != batch.store_revision:
            state.body_by_query.clear()
        state.revision = batch.store_revision

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        target = urlsplit(request.path)
        state = self._state_by_kind.setdefault(
            target.path.removeprefix(_PREFIX), _KindState()
        )
        if not state.is_listed:
            # If all VMs start at once, requests come before the first listing.
            with suppress(TimeoutError):
                await wait_for(state.changed.wait(), _FIRST_LISTING_TIMEOUT)
        if not state.is_listed:
            return HttpResponse(_NOT_FOUND)
        is_compressed = RELAY_CODING in request.headers.get(
            'accept-encoding', ''
        )
        query = {key: texts[0] for key, texts in parse_qs(target.query).items()}
        if 'watch' in query:
            after = int(query['watch'])
            if not any(revision > after for revision, _ in state.history):
                # After a spurious wake-up the client only repeats the watch.
                with suppress(TimeoutError):
                    await wait_for(
                        state.changed.wait(), int(query['wait_ms']) / _MS_PER_S
                    )
        await self._wait_for_recovery(state)
        is_stale = self._now() - self._store_replied_at > self._max_staleness
        if is_stale or state.unavailable_since is not None:
            return HttpResponse(_UNAVAILABLE)
        after = int(query['watch']) if 'watch' in query else None
        if after is not None and not (
            state.oldest_revision <= after <= state.revision
        ):
            return HttpResponse(_GONE)
        return _build_response(state, after, is_compressed=is_compressed)

    async def _wait_for_recovery(self, state: _KindState) -> None:
        while state.unavailable_since is not None:
            left = state.unavailable_since + _RECOVERY_TIME - self._now()
            try:
                await wait_for(state.changed.wait(), max(0, left))
            except TimeoutError:
                return


def _build_response(
    state: _KindState, after: int | None, *, is_compressed: bool
) -> HttpResponse:
    """Return the changes after a revision, or a listing if that is None."""
    key = (after, is_compressed)
    body = state.body_by_query.get(key)
    if body is None:
        body = encode(
            _list_objects(state)
            if after is None
            else _list_changes(state, after)
        )
        if is_compressed:
            body = compress(body, _COMPRESSION_LEVEL)
        state.body_by_query[key] = body
    headers = {'content-type': 'application/json'}
    if state.era is not None:
        headers[ERA_HEADER] = str(state.era)
    if is_compressed:
        headers['content-encoding'] = RELAY_CODING
    return HttpResponse(_OK, body, headers)


def _list_objects(state: _KindState) -> dict[str, object]:
    return {
        'items': list(state.object_by_name.values()),
        'has_more': False,
        'store_revision': state.revision,
    }


def _list_changes(state: _KindState, after: int) -> dict[str, object]:
    events = [change for revision, change in state.history if revision > after]
    return {'events': events, 'store_revision': state.revision}


def _find_changes(
    before: dict[str, StoreObject], after: dict[str, StoreObject]
) -> list[Change]:
    """Return the changes from one listing to a later one."""
    changes = [
        Change(one)
        for name, one in after.items()
        if name not in before or before[name].meta.rev != one.meta.rev
    ]
    changes.extend(
        Change(one, deleted=True)
        for name, one in before.items()
        if name not in after
    )
    return changes


def _apply_batch(state: _KindState, batch: ChangeBatch) -> None:
    for change in batch.events:
        name = change.object.meta.name
        if change.deleted:
            state.object_by_name.pop(name, None)
        else:
            state.object_by_name[name] = change.object
        state.history.append((batch.store_revision, change))
    while len(state.history) > _MAX_HISTORY_CHANGES:
        state.oldest_revision = state.history.popleft()[0]


def _notify_watches(state: _KindState) -> None:
    """Wake the waiting watches after a change; drop the encoded bodies."""
    state.body_by_query.clear()
    state.changed.set()
    state.changed = Event()
