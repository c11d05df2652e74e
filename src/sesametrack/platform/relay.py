"""Serves the store's objects that this VM follows to other VMs.

Most VMs of a large failure domain follow a few that watch the store, by the
same calls and with the store's revisions, so that the store's rates and prices
grow with the failure domains and not with the VMs.
"""

from asyncio import Event, wait_for
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from sesametrack.contracts.settings import split_address
from sesametrack.contracts.types import Address, Instant, Seconds
from sesametrack.links.http import HttpRequest, HttpResponse, json_response
from sesametrack.links.http_server import HttpServer
from sesametrack.platform.store import ChangeBatch, StoreObject

_PREFIX = '/sesametrack/objects/'
_UNAVAILABLE = 503
_NOT_FOUND = 404
_GONE = 410
_MS = 1000
_MAX_HISTORY = 2000
# A watcher that starts has its first list well within that time, if the store
# answers; those that wait for it have this and other relays to ask.
_FIRST_LIST_TIME: Seconds = 0.5


@dataclass(slots=True)
class _Kind:
    revision: int = 0
    oldest: int = 0
    object_by_name: dict[str, StoreObject] = field(default_factory=dict)
    history: deque = field(default_factory=deque)
    changed: Event = field(default_factory=Event)
    is_listed: bool = False
    # Set while this VM's own watch of the kind fails.
    is_lost: bool = False


class Relay:
    """Keeps the followed objects and answers lists and watches of them."""

    def __init__(
        self,
        address: Address,
        now: Callable[[], Instant],
        max_staleness: Seconds,
    ) -> None:
        """Bind the address; answers while the store was heard lately."""
        host, port = split_address(address)
        self._server = HttpServer(host, port, self._handle)
        self._now = now
        self._max_staleness = max_staleness
        self._heard_at: Instant = float('-inf')
        self._by_kind: dict[str, _Kind] = {}

    async def start(self) -> None:
        """Listen; raises OSError if the address is taken."""
        await self._server.start()

    async def close(self) -> None:
        """Close all connections."""
        await self._server.close()

    def record_store_reply(self) -> None:
        """Note that the store has answered the watch that returns often.

        The other watches wait for long, so only this one shows that the
        path to the store is there.
        """
        self._heard_at = self._now()

    def mark_unavailable(self, kind: str) -> None:
        """Answer nothing of a kind until its own watch works again."""
        kept = self._by_kind.get(kind)
        if kept is not None:
            kept.is_lost = True
            _wake(kept)

    def apply_listing(
        self, kind: str, objects: list[StoreObject], revision: int
    ) -> None:
        """Take over a whole list of a kind."""
        kept = self._by_kind.setdefault(kind, _Kind())
        kept.object_by_name = {one.meta.name: one for one in objects}
        kept.history.clear()
        kept.is_lost = False
        kept.is_listed = True
        kept.revision = revision
        kept.oldest = revision
        _wake(kept)

    def apply_changes(self, kind: str, batch: ChangeBatch) -> None:
        """Take over changes of a kind."""
        kept = self._by_kind.setdefault(kind, _Kind())
        for change in batch.events:
            name = change.object.meta.name
            if change.deleted:
                kept.object_by_name.pop(name, None)
            else:
                kept.object_by_name[name] = change.object
            kept.history.append((batch.store_revision, change))
        while len(kept.history) > _MAX_HISTORY:
            kept.oldest = kept.history.popleft()[0]
        kept.revision = batch.store_revision
        if batch.events:
            _wake(kept)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        target = urlsplit(request.path)
        kept = self._by_kind.setdefault(
            target.path.removeprefix(_PREFIX), _Kind()
        )
        if not kept.is_listed:
            # All VMs of a fleet may start at once.
            with suppress(TimeoutError):
                await wait_for(kept.changed.wait(), _FIRST_LIST_TIME)
        if not kept.is_listed:
            return HttpResponse(_NOT_FOUND)
        query = {key: found[0] for key, found in parse_qs(target.query).items()}
        if 'watch' in query:
            after = int(query['watch'])
            if not any(revision > after for revision, _ in kept.history):
                # A spurious wake-up only makes the caller ask again.
                with suppress(TimeoutError):
                    await wait_for(
                        kept.changed.wait(), int(query['wait_ms']) / _MS
                    )
        is_old = self._now() - self._heard_at > self._max_staleness
        if is_old or kept.is_lost:
            return HttpResponse(_UNAVAILABLE)
        if 'watch' in query:
            return _changes(kept, int(query['watch']))
        return json_response(
            200,
            {
                'items': list(kept.object_by_name.values()),
                'has_more': False,
                'store_revision': kept.revision,
            },
        )


def _changes(kept: _Kind, after: int) -> HttpResponse:
    if after < kept.oldest:
        return HttpResponse(_GONE)
    events = [change for revision, change in kept.history if revision > after]
    revision = max(kept.revision, after)
    return json_response(200, {'events': events, 'store_revision': revision})


def _wake(kept: _Kind) -> None:
    kept.changed.set()
    kept.changed = Event()
