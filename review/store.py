"""Stand-in for the platform's store: objects, conditional writes, watches."""

import asyncio
import json
from contextlib import suppress
from time import monotonic
from urllib.parse import parse_qs, unquote, urlsplit

from wire import read_message, write_response

_PREFIX = '/sesametrack/objects/'


class Store:
    """Keeps objects by kind and name; calls are answered one at a time.

    `loses_answer` is asked for each answer with the number of the VM that
    called (by the port it connected to), the kind, and whether it is the
    answer of a watch with events. If it returns true, the call is carried out
    and the connection stays open, but returns nothing further. Until the time
    in `cut_until`, by VM, all bytes to and from a VM are held up.
    """

    def __init__(self, host):
        self.host = host
        self.revision = 1
        self.answers = []
        self.loses_answer = lambda vm, kind, has_events: False
        self.cut_until = {}
        self._objects = {}
        self._history = []
        self._changed = asyncio.Event()
        self._servers = []
        self._tasks = set()

    async def listen(self, port, vm):
        """Listen on a port of its own for each VM, to tell them apart."""
        self._servers.append(
            await asyncio.start_server(
                lambda reader, writer: self._serve(reader, writer, vm),
                self.host,
                port,
            )
        )

    async def close(self):
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()

    async def put(self, kind, name, spec):
        """Write as the operator or a searcher; return the time of the ack."""
        by_name = self._objects.setdefault(kind, {})
        self.revision += 1
        meta = {
            'name': name,
            'rev': self.revision,
            'created_rev': by_name.get(name, {'meta': {}})['meta'].get(
                'created_rev', self.revision
            ),
            'finalizers': [],
            'deleting': False,
        }
        by_name[name] = {'meta': meta, 'spec': spec, 'status': None}
        self._publish(kind, by_name[name], False)
        return monotonic()

    async def remove(self, kind, name):
        found = self._objects.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            self._publish(kind, found, True)
        return monotonic()

    def _publish(self, kind, found, deleted):
        event = {'object': found, 'deleted': deleted}
        self._history.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer, vm):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                await self._hold_up(vm)
                line, _, body = message
                method, target, _ = line.split(' ', 2)
                kind, has_events, status, content = await self._handle(
                    method, target, body
                )
                if self.loses_answer(vm, kind, has_events):
                    self.answers.append((monotonic(), vm, kind, 'lost'))
                    # The connection stays open and returns nothing further.
                    await reader.read()
                    return
                await self._hold_up(vm)
                self.answers.append((monotonic(), vm, kind, 'sent'))
                write_response(writer, status, {}, json.dumps(content).encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _hold_up(self, vm):
        await asyncio.sleep(max(0, self.cut_until.get(vm, 0) - monotonic()))

    async def _handle(self, method, target, body):
        await asyncio.sleep(0.004)
        parts = urlsplit(target)
        kind, _, name = parts.path.removeprefix(_PREFIX).partition('/')
        query = {key: found[0] for key, found in parse_qs(parts.query).items()}
        if method == 'GET' and 'watch' in query:
            events = await self._watch(kind, query)
            reply = {'events': events, 'store_revision': self.revision}
            return kind, bool(events), 200, reply
        if method == 'GET':
            return kind, False, 200, self._list(kind, query.get('after', ''))
        status, content = await self._write(method, kind, unquote(name), body)
        return kind, False, status, content

    def _list(self, kind, after):
        by_name = self._objects.get(kind, {})
        names = [name for name in sorted(by_name) if name > after]
        return {
            'items': [by_name[name] for name in names[:500]],
            'has_more': len(names) > 500,
            'store_revision': self.revision,
        }

    async def _watch(self, kind, query):
        after = int(query['watch'])
        until = monotonic() + int(query['wait_ms']) / 1000
        while True:
            events = [
                event
                for revision, its_kind, event in self._history
                if revision > after and its_kind == kind
            ]
            left = until - monotonic()
            if events or left <= 0:
                return events
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    async def _write(self, method, kind, name, body):
        by_name = self._objects.setdefault(kind, {})
        if method == 'DELETE':
            if name not in by_name:
                return 404, {}
            await self.remove(kind, name)
            return 200, {}
        received = json.loads(body)
        meta = received['meta']
        if method == 'POST':
            name = meta['name']
            if name in by_name:
                return 409, by_name[name]
        elif name not in by_name:
            return 404, {}
        elif meta.get('rev', by_name[name]['meta']['rev']) != (
            by_name[name]['meta']['rev']
        ):
            return 409, by_name[name]
        await self.put(kind, name, received['spec'])
        return 200, by_name[name]
