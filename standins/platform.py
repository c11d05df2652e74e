"""Simulates the object API of the platform."""

from asyncio import Condition, sleep, wait_for
from random import Random
from time import monotonic
from urllib.parse import parse_qs, unquote, urlsplit

from msgspec import Struct
from msgspec.json import decode

from sesametrack.links.http import (
    HttpRequest,
    HttpResponse,
    json_response,
    problem_response,
)
from sesametrack.links.http_server import HttpServer
from sesametrack.links.platform import (
    ObjectList,
    PlatformObject,
    PlatformVm,
    VmList,
)

_OBJECT_PATH = '/objects/'
_MS_PER_S = 1000


class PlatformFaults(Struct, forbid_unknown_fields=True):
    """Faults of the platform; shares are from 0 to 1."""

    is_down: bool = False
    delay_s: float = 0
    lost_reply_share: float = 0
    vm_list_lag_s: float = 0
    calls_per_second: int = 2000


class PlatformStandin:
    """Versioned objects with conditional writes, watches and faults."""

    def __init__(self, host: str, port: int, seed: int = 1) -> None:
        """Create an empty store; `start` listens."""
        self.faults = PlatformFaults()
        self.calls = 0
        self.refused_by_rate = 0
        self._rng = Random(seed)
        self._server = HttpServer(host, port, self._handle)
        self._control = HttpServer(host, port + 1, self._handle_control)
        self._object_by_key: dict[str, PlatformObject] = {}
        self._version = 0
        self._changed = Condition()
        self._vm_lists: list[tuple[float, VmList]] = []
        self._rate_window_second = 0
        self._calls_in_window = 0

    async def start(self) -> None:
        """Listen on the port, and on the next one for control requests."""
        await self._server.start()
        await self._control.start()

    async def close(self) -> None:
        """Close both servers."""
        await self._server.close()
        await self._control.close()

    def set_vms(self, vms: list[PlatformVm]) -> None:
        """Set the VM list, which clients see after `vm_list_lag_s`."""
        self._vm_lists.append((monotonic(), VmList(vms)))

    def read(self, key: str) -> PlatformObject | None:
        """Return an object, or None, without counting an API call."""
        return self._object_by_key.get(key)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        self.calls += 1
        if self.faults.is_down:
            raise EOFError('injected fault: platform is down')
        if self.faults.delay_s:
            await sleep(self.faults.delay_s)
        if self._is_over_rate():
            self.refused_by_rate += 1
            return problem_response(429, 'Too many calls', 'rate limit')
        target = urlsplit(request.path)
        if target.path == '/vms':
            return json_response(200, self._visible_vms())
        if target.path == '/watch':
            return await self._watch(parse_qs(target.query))
        if target.path == '/objects':
            prefix = parse_qs(target.query).get('prefix', [''])[0]
            return json_response(200, self._list(prefix, 0))
        key = unquote(target.path.removeprefix(_OBJECT_PATH))
        if request.method == 'PUT':
            return await self._put(key, request)
        stored = self._object_by_key.get(key)
        if stored is None:
            return problem_response(404, 'Not found', key)
        return json_response(200, stored)

    async def _put(self, key: str, request: HttpRequest) -> HttpResponse:
        stored = self._object_by_key.get(key)
        expected_version = request.headers.get('if-match')
        is_create = request.headers.get('if-none-match') == '*'
        if is_create and stored is not None:
            return problem_response(412, 'Exists', key)
        if expected_version is not None:
            if stored is None or str(stored.version) != expected_version:
                return problem_response(412, 'Version differs', key)
        self._version += 1
        written = PlatformObject(key, self._version, request.body.decode())
        self._object_by_key[key] = written
        async with self._changed:
            self._changed.notify_all()
        if self._rng.random() < self.faults.lost_reply_share:
            raise EOFError('injected fault: reply lost')
        return json_response(201 if is_create else 200, written)

    async def _watch(self, query: dict[str, list[str]]) -> HttpResponse:
        prefix = query['prefix'][0]
        after = int(query['after'][0])
        timeout_s = int(query['timeout_ms'][0]) / _MS_PER_S
        try:
            await wait_for(self._wait_for_change(prefix, after), timeout_s)
        except TimeoutError:
            return json_response(200, ObjectList(self._version, []))
        if self.faults.is_down:
            raise EOFError('injected fault: platform is down')
        return json_response(200, self._list(prefix, after))

    async def _wait_for_change(self, prefix: str, after: int) -> None:
        async with self._changed:
            await self._changed.wait_for(
                lambda: (
                    self.faults.is_down
                    or bool(self._list(prefix, after).objects)
                )
            )

    def _list(self, prefix: str, after: int) -> ObjectList:
        matching = [
            stored
            for key, stored in sorted(self._object_by_key.items())
            if key.startswith(prefix) and stored.version > after
        ]
        return ObjectList(self._version, matching)

    def _visible_vms(self) -> VmList:
        cutoff = monotonic() - self.faults.vm_list_lag_s
        visible = [vms for at, vms in self._vm_lists if at <= cutoff]
        return visible[-1] if visible else VmList([])

    def _is_over_rate(self) -> bool:
        second = int(monotonic())
        if second != self._rate_window_second:
            self._rate_window_second = second
            self._calls_in_window = 0
        self._calls_in_window += 1
        return self._calls_in_window > self.faults.calls_per_second

    async def _handle_control(self, request: HttpRequest) -> HttpResponse:
        if request.path == '/faults':
            self.faults = decode(request.body, type=PlatformFaults)
            async with self._changed:
                self._changed.notify_all()
        elif request.path == '/vms':
            self.set_vms(decode(request.body, type=VmList).vms)
        return json_response(
            200,
            {'calls': self.calls, 'refused_by_rate': self.refused_by_rate},
        )
