"""Stand-in for a searcher."""

import asyncio
import time
from time import monotonic

from wire import read_message, write_response

_POISON = '/poison'


class Searcher:
    """One searcher: it registers, runs requests, and may crash and return.

    `runs` is shared by all searchers: each run is (time, Request-Id, path,
    service, id). A request whose path holds `/poison` crashes the searcher
    that begins to run it, unless `crashes` is false; the searcher is back
    after `down_s`, with a new id unless `keeps_id` is set.
    """

    def __init__(
        self, store, runs, name, service, zone, address, *, work_s=0.005,
        down_s=2.0, keeps_id=False, cold_s=0.0,
        body=b'card' * 8, crashes=True,
    ):
        self.store = store
        self.runs = runs
        self.service = service
        self.zone = zone
        self.address = address
        self.work_s = work_s
        self.down_s = down_s
        self.keeps_id = keeps_id
        self.cold_s = cold_s
        self.body = body
        self._crashes = crashes
        self.starts = []
        self.crashes = []
        self.id = name
        self._name = name
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self, *, is_cold=False):
        """Register, and accept connections."""
        if self.starts and not self.keeps_id:
            self.id = f'{self._name}-{len(self.starts)}'
        self.starts.append(monotonic())
        self._server = await asyncio.start_server(self._serve, *self.address)
        host, port = self.address
        entry = {
            'service': self.service,
            'address': f'{host}:{port}',
            'zone': self.zone,
            'config_version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': int(self.cold_s * 1000) if is_cold else 0,
            'sequence': 1,
            'born': int(time.time() * 1000),
        }
        await self.store.put('servers', self.id, entry)

    def crash(self):
        """End at once: all sockets close, and the store hears nothing."""
        self.crashes.append(monotonic())
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def crash_and_return(self):
        """Crash; come back later. The entry of an old id expires."""
        old_id = self.id
        self.crash()
        await asyncio.sleep(self.down_s)
        await self.start(is_cold=True)
        if self.id != old_id:
            # Three check-in intervals of 1.2 s after the last one.
            await asyncio.sleep(max(0, 3.6 - self.down_s))
            await self.store.remove('servers', old_id)

    async def close(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, _ = message
                path = line.split(' ')[1]
                request_id = headers.get('request-id', '')
                if headers.get('expect-instance', self.id) != self.id:
                    answer = {'Instance-Id': self.id, 'Not-Executed': '1'}
                    write_response(writer, 421, answer)
                    continue
                self.runs.append(
                    (monotonic(), request_id, path, self.service, self.id)
                )
                if _POISON in path and self._crashes:
                    task = asyncio.create_task(self.crash_and_return())
                    self._tasks.add(task)
                    return
                await asyncio.sleep(self.work_s)
                answer = {
                    'Request-Id': request_id,
                    'Server-Stamp': f'{self.id}.{request_id}',
                    'Server-Load': '1,0,8',
                    'Keep-Alive': 'timeout=5',
                }
                write_response(writer, 200, answer, self.body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()
