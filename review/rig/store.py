"""The platform's metadata store, in memory."""

from asyncio import Condition, StreamReader, StreamWriter, start_server, wait_for
from json import dumps, loads
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from rig.wire import Message, encode, read_message

PREFIX = '/sesametrack/objects/'
_PAGE = 500
_TEXT_BY_STATUS = {
    200: 'OK',
    201: 'Created',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
}


class Store:
    """Objects by kind and name with one revision counter, and watches."""

    def __init__(self, host: str, port: int) -> None:
        self.address = f'{host}:{port}'
        self._host = host
        self._port = port
        self._revision = 1
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = Condition()
        self._server = None
        self._writers: set[StreamWriter] = set()

    async def start(self) -> None:
        self._server = await start_server(self._serve, self._host, self._port)

    async def close(self) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object, as the operator or a searcher does."""
        known = self._objects.get(kind, {}).get(name)
        await self._write(kind, name, spec, known)

    async def remove(self, kind: str, name: str) -> None:
        found = self._objects.get(kind, {}).pop(name, None)
        if found is not None:
            self._revision += 1
            await self._publish(kind, found, deleted=True)

    def names(self, kind: str) -> list[str]:
        return sorted(self._objects.get(kind, {}))

    async def _write(
        self, kind: str, name: str, spec: Any, known: dict[str, Any] | None
    ) -> dict[str, Any]:
        if known is not None and known['spec'] == spec:
            return known
        self._revision += 1
        created = known['meta']['created_rev'] if known else self._revision
        written = {
            'meta': {
                'name': name,
                'rev': self._revision,
                'created_rev': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': known['status'] if known else None,
        }
        self._objects.setdefault(kind, {})[name] = written
        await self._publish(kind, written, deleted=False)
        return written

    async def _publish(
        self, kind: str, found: dict[str, Any], *, deleted: bool
    ) -> None:
        self._history.append((self._revision, kind, found, deleted))
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                status, content = await self._answer(request)
                writer.write(
                    encode(
                        f'HTTP/1.1 {status} {_TEXT_BY_STATUS[status]}',
                        {'Content-Type': 'application/json'},
                        dumps(content).encode(),
                    )
                )
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, Any]:
        method, path, _ = request.first_line.split(' ')
        target = urlsplit(path)
        kind, _, name = target.path.removeprefix(PREFIX).partition('/')
        name = unquote(name)
        query = {key: one[0] for key, one in parse_qs(target.query).items()}
        by_name = self._objects.setdefault(kind, {})
        if method == 'GET' and 'watch' in query:
            return await self._watch(kind, query)
        if method == 'GET' and name:
            found = by_name.get(name)
            return (404, {}) if found is None else (200, found)
        if method == 'GET':
            names = [one for one in sorted(by_name) if one > query.get('after', '')]
            return 200, {
                'items': [by_name[one] for one in names[:_PAGE]],
                'has_more': len(names) > _PAGE,
                'store_revision': self._revision,
            }
        if method == 'DELETE':
            if name not in by_name:
                return 404, {}
            await self.remove(kind, name)
            return 200, {}
        sent = loads(request.body)
        if method == 'POST':
            name = sent['meta']['name']
            if name in by_name:
                return 409, by_name[name]
            return 201, await self._write(kind, name, sent['spec'], None)
        known = by_name.get(name)
        if known is None:
            return 404, {}
        revision = sent['meta'].get('rev') or query.get('rev')
        if revision is not None and int(revision) != known['meta']['rev']:
            return 409, known
        return 200, await self._write(kind, name, sent['spec'], known)

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query['watch'])

        def changes() -> list[dict[str, Any]]:
            return [
                {'object': found, 'deleted': deleted}
                for revision, of_kind, found, deleted in self._history
                if revision > after and of_kind == kind
            ]

        try:
            async with self._changed:
                await wait_for(
                    self._changed.wait_for(changes),
                    int(query.get('wait_ms', 0)) / 1000,
                )
        except TimeoutError:
            pass
        return 200, {'events': changes(), 'store_revision': self._revision}
