"""A stand-in for the users' platform store: kinds, revisions, watches."""

from asyncio import Condition, sleep, wait_for
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from msgspec.json import decode

from sesametrack.links.http import HttpRequest, HttpResponse, json_response
from sesametrack.links.http_server import HttpServer

_PREFIX = '/sesametrack/objects/'
_MS = 1000


class ObjectStoreStandin:
    """Objects by kind and name, kept in memory, with planned faults.

    `refusal` is a status that every call gets while it is set, `delay_s` a
    pause before each answer, `lost_writes` the number of writes that take
    effect and are not answered.
    """

    def __init__(self, host: str, port: int, page: int = 500) -> None:
        """Bind the address; `start` listens."""
        self.refusal: int | None = None
        self.delay_s: float = 0
        self.lost_writes = 0
        self.calls = 0
        self.revision = 1
        self._page = page
        self._oldest = 0
        self._server = HttpServer(host, port, self._handle)
        self._objects_by_kind: dict[str, dict[str, dict]] = {}
        self._history: list[tuple[int, str, dict, bool]] = []
        self._changed = Condition()

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as the operator or an upstream does."""
        await self._store(kind, name, spec)

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self._objects_by_kind.get(kind, {}).pop(name, None)
        if found is None:
            return
        self.revision += 1
        await self._tell(kind, found, is_gone=True)

    async def compact(self) -> None:
        """Forget the history and cut the waiting watches."""
        self._history.clear()
        self._oldest = self.revision
        async with self._changed:
            self._changed.notify_all()

    def names(self, kind: str) -> list[str]:
        """Return the names of a kind's objects."""
        return sorted(self._objects_by_kind.get(kind, {}))

    async def _store(self, kind: str, name: str, spec: Any) -> dict:
        by_name = self._objects_by_kind.setdefault(kind, {})
        known = by_name.get(name)
        if known is not None and known['spec'] == spec:
            return known
        self.revision += 1
        made = {'meta': {'name': name, 'rev': self.revision}, 'spec': spec}
        by_name[name] = made
        await self._tell(kind, made, is_gone=False)
        return made

    async def _tell(self, kind: str, found: dict, *, is_gone: bool) -> None:
        self._history.append((self.revision, kind, found, is_gone))
        async with self._changed:
            self._changed.notify_all()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        self.calls += 1
        if self.delay_s:
            await sleep(self.delay_s)
        if self.refusal is not None:
            return HttpResponse(self.refusal)
        target = urlsplit(request.path)
        kind, _, name = target.path.removeprefix(_PREFIX).partition('/')
        if request.method == 'GET':
            query = {
                key: found[0] for key, found in parse_qs(target.query).items()
            }
            if 'watch' in query:
                return await self._watch(kind, query)
            return self._list(kind, query.get('after', ''))
        return await self._write(request, kind, unquote(name))

    async def _write(
        self, request: HttpRequest, kind: str, name: str
    ) -> HttpResponse:
        by_name = self._objects_by_kind.get(kind, {})
        if request.method == 'DELETE':
            await self.remove(kind, name)
            return json_response(200, {})
        sent = decode(request.body)
        if request.method == 'POST':
            name = sent['meta']['name']
            if name in by_name:
                return json_response(409, by_name[name])
        made = await self._store(kind, name, sent['spec'])
        if self.lost_writes:
            self.lost_writes -= 1
            raise EOFError('answer lost')
        return json_response(200, made)

    def _list(self, kind: str, after: str) -> HttpResponse:
        by_name = self._objects_by_kind.get(kind, {})
        names = [name for name in sorted(by_name) if name > after]
        page = {
            'items': [by_name[name] for name in names[: self._page]],
            'has_more': len(names) > self._page,
            'store_revision': self.revision,
        }
        return json_response(200, page)

    async def _watch(self, kind: str, query: dict[str, str]) -> HttpResponse:
        after = int(query['watch'])
        oldest = self._oldest
        try:
            await wait_for(
                self._wait_change(kind, after, oldest),
                int(query['wait_ms']) / _MS,
            )
        except TimeoutError:
            return self._changes(kind, after)
        if after < self._oldest:
            return HttpResponse(410)
        return self._changes(kind, after)

    async def _wait_change(self, kind: str, after: int, oldest: int) -> None:
        async with self._changed:
            await self._changed.wait_for(
                lambda: (
                    after < self._oldest
                    or self._oldest != oldest
                    or self.refusal is not None
                    or any(
                        revision > after and of_kind == kind
                        for revision, of_kind, _, _ in self._history
                    )
                )
            )

    def _changes(self, kind: str, after: int) -> HttpResponse:
        events = [
            {'object': found, 'deleted': is_gone}
            for revision, of_kind, found, is_gone in self._history
            if revision > after and of_kind == kind
        ]
        return json_response(
            200, {'events': events, 'store_revision': self.revision}
        )
