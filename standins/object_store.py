"""Simulates the platform store: kinds, revisions and watches."""

from asyncio import Condition, sleep, wait_for
from copy import deepcopy
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from msgspec.json import decode

from sesametrack.links.http import HttpRequest, HttpResponse, json_response
from sesametrack.links.http_server import HttpServer

_PATH_PREFIX = '/sesametrack/objects/'
_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The objects and the history of a store at one revision."""

    revision: int
    objects_by_kind: dict[str, dict[str, dict]]
    history: list[tuple[int, str, dict, bool]]


class ObjectStoreStandin:
    """Objects by kind and name, kept in memory, with injected faults.

    `refusal` is the HTTP status of every response while it is set, `delay_s`
    the delay of each response, and `lost_writes` the number of next writes
    that are applied but get no response. While the store `is_mute`, changes
    wake no watch; each gets them when its wait ends. `era` is in the header of
    every
    response, and rises with each restore from a copy.
    """

    def __init__(self, host: str, port: int, page_size: int = 500) -> None:
        """Create an empty store; `start` listens."""
        self.refusal: int | None = None
        self.delay_s: float = 0
        self.lost_writes = 0
        self.is_mute = False
        self.calls = 0
        self.longest_wait_s: float = 0
        self.revision = 1
        self.era = 1
        self._page_size = page_size
        self._compacted_revision = 0
        self._server = HttpServer(host, port, self._handle)
        self._objects_by_kind: dict[str, dict[str, dict]] = {}
        self._history: list[tuple[int, str, dict, bool]] = []
        self._changed = Condition()

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object without an HTTP request."""
        await self._store(kind, name, spec)

    async def remove(self, kind: str, name: str) -> None:
        """Delete an object, if it exists, without an HTTP request."""
        found = self._objects_by_kind.get(kind, {}).pop(name, None)
        if found is None:
            return
        self.revision += 1
        await self._publish(kind, found, is_deleted=True)

    async def compact(self) -> None:
        """Drop the change history and end the pending watches."""
        self._history.clear()
        self._compacted_revision = self.revision
        async with self._changed:
            self._changed.notify_all()

    def copy(self) -> StoreCopy:
        """Return a copy of all objects, for a later restore."""
        return StoreCopy(
            self.revision, deepcopy(self._objects_by_kind), list(self._history)
        )

    async def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy, and give the later revisions out again.

        Connections and pending watches stay open. What was written since the
        copy is gone.
        """
        self.era += 1
        self.revision = copy.revision
        self._objects_by_kind = deepcopy(copy.objects_by_kind)
        self._history = list(copy.history)
        async with self._changed:
            self._changed.notify_all()

    def spec(self, kind: str, name: str) -> Any:
        """Return the content of an object."""
        return self._objects_by_kind[kind][name]['spec']

    def status(self, kind: str, name: str) -> Any:
        """Return the status of an object."""
        return self._objects_by_kind[kind][name]['status']

    def names(self, kind: str) -> list[str]:
        """Return the sorted names of a kind's objects."""
        return sorted(self._objects_by_kind.get(kind, {}))

    async def _store(self, kind: str, name: str, spec: Any) -> dict:
        by_name = self._objects_by_kind.setdefault(kind, {})
        current = by_name.get(name)
        if current is not None and current['spec'] == spec:
            return current
        self.revision += 1
        created = self.revision
        status = None
        if current is not None:
            created = _meta(current)['created_rev']
            status = current['status']
        stored = {
            'meta': {
                'name': name,
                'rev': self.revision,
                'created_rev': created,
            },
            'spec': spec,
            'status': status,
        }
        by_name[name] = stored
        await self._publish(kind, stored, is_deleted=False)
        return stored

    async def put_status(self, kind: str, name: str, status: Any) -> dict:
        """Replace the status of an object without an HTTP request."""
        by_name = self._objects_by_kind[kind]
        current = by_name[name]
        if current['status'] == status:
            return current
        self.revision += 1
        stored = {**current, 'status': status}
        stored['meta'] = {**_meta(current), 'rev': self.revision}
        by_name[name] = stored
        await self._publish(kind, stored, is_deleted=False)
        return stored

    async def _publish(
        self, kind: str, found: dict, *, is_deleted: bool
    ) -> None:
        self._history.append((self.revision, kind, found, is_deleted))
        async with self._changed:
            self._changed.notify_all()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        response = await self._respond(request)
        return HttpResponse(
            response.status,
            response.body,
            {**response.headers, 'store-era': str(self.era)},
        )

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        self.calls += 1
        if self.delay_s:
            await sleep(self.delay_s)
        if self.refusal is not None:
            return HttpResponse(self.refusal)
        target = urlsplit(request.path)
        kind, _, name = target.path.removeprefix(_PATH_PREFIX).partition('/')
        if request.method == 'GET':
            query = {
                key: found[0] for key, found in parse_qs(target.query).items()
            }
            if 'watch' in query:
                return await self._watch(kind, query)
            return self._list(kind, query.get('after', ''))
        return await self._write(request, kind, unquote(name))

    async def _write(
        self, request: HttpRequest, kind: str, name_and_part: str
    ) -> HttpResponse:
        name = name_and_part.removesuffix('/status')
        by_name = self._objects_by_kind.get(kind, {})
        if request.method == 'DELETE':
            await self.remove(kind, name)
            return json_response(200, {})
        received = decode(request.body)
        if request.method == 'POST':
            name = _meta(received)['name']
            if name in by_name:
                return json_response(409, by_name[name])
        elif name not in by_name:
            return json_response(404, {})
        elif (
            _meta(received).get('rev', _meta(by_name[name])['rev'])
            != (_meta(by_name[name])['rev'])
        ):
            return json_response(409, by_name[name])
        if name_and_part.endswith('/status'):
            stored = await self.put_status(kind, name, received['status'])
        else:
            stored = await self._store(kind, name, received['spec'])
        if self.lost_writes:
            self.lost_writes -= 1
            raise EOFError('injected fault: response lost')
        return json_response(200, stored)

    def _list(self, kind: str, after: str) -> HttpResponse:
        by_name = self._objects_by_kind.get(kind, {})
        names = [name for name in sorted(by_name) if name > after]
        page = {
            'items': [by_name[name] for name in names[: self._page_size]],
            'has_more': len(names) > self._page_size,
            'store_revision': self.revision,
        }
        return json_response(200, page)

    async def _watch(self, kind: str, query: dict[str, str]) -> HttpResponse:
        wait_s = int(query['wait_ms']) / _MS_PER_S
        self.longest_wait_s = max(self.longest_wait_s, wait_s)
        after = int(query['watch'])
        if after > self.revision:
            return HttpResponse(410)
        compacted_revision = self._compacted_revision
        try:
            await wait_for(
                self._wait_for_change(kind, after, compacted_revision),
                wait_s,
            )
        except TimeoutError:
            return self._changes(kind, after)
        if after < self._compacted_revision or after > self.revision:
            return HttpResponse(410)
        return self._changes(kind, after)

    async def _wait_for_change(
        self, kind: str, after: int, compacted_revision: int
    ) -> None:
        async with self._changed:
            await self._changed.wait_for(
                lambda: (
                    after < self._compacted_revision
                    or self._compacted_revision != compacted_revision
                    or self.refusal is not None
                    or (not self.is_mute and self._has_changes(kind, after))
                )
            )

    def _has_changes(self, kind: str, after: int) -> bool:
        return any(
            revision > after and changed_kind == kind
            for revision, changed_kind, _, _ in self._history
        )

    def _changes(self, kind: str, after: int) -> HttpResponse:
        events = [
            {'object': found, 'deleted': is_deleted}
            for revision, changed_kind, found, is_deleted in self._history
            if revision > after and changed_kind == kind
        ]
        return json_response(
            200, {'events': events, 'store_revision': self.revision}
        )


def _meta(stored: dict) -> dict:
    return stored['meta']
