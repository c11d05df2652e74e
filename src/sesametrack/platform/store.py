"""Client of the platform's store."""

from collections.abc import AsyncIterator
from typing import Any
from urllib.parse import quote, urlencode

from msgspec import DecodeError, Struct, ValidationError, field
from msgspec.json import Decoder, encode

from sesametrack.contracts.exceptions import (
    ConflictError,
    HistoryGoneError,
    PlatformLostReplyError,
    PlatformUnavailableError,
    ProtocolError,
)
from sesametrack.contracts.types import Address, Seconds
from sesametrack.links.http import HttpRequest, HttpResponse
from sesametrack.links.http_client import HttpConnection

_PATH = '/sesametrack/objects'
# The store answers within milliseconds; while it is slow by a factor of
# about 60 an answer still takes a quarter of a second.
_CONNECT_TIMEOUT: Seconds = 0.5
_CALL_TIMEOUT: Seconds = 2
# What a watch takes beyond its own time: as long as an answer of a slow store.
_WATCH_MARGIN: Seconds = 0.7
_MS = 1000
_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_LEAST_ERROR = 500
_UNAVAILABLE = 503


class ObjectMeta(Struct):
    """Name and revision of an object."""

    name: str
    # The revision of the object's last change, of the store's one counter.
    rev: int = 0
    deleting: bool = False


class StoreObject(Struct):
    """An object of any kind; what `spec` holds depends on the kind."""

    meta: ObjectMeta
    spec: Any = None


class _Page(Struct):
    objects: list[StoreObject] = field(name='items')
    store_revision: int = 0
    has_more: bool = False


class _Change(Struct):
    object: StoreObject
    deleted: bool = False


class ChangeBatch(Struct):
    """Changes of a kind up to a revision of the store."""

    events: list[_Change]
    store_revision: int


_page_decoder = Decoder(_Page)
_batch_decoder = Decoder(ChangeBatch)


class StoreConnection:
    """One connection to the store; one call at a time.

    Every failure closes the connection. Reads raise
    PlatformUnavailableError or HistoryGoneError; writes also
    ConflictError, and PlatformLostReplyError where they may have taken
    effect.
    """

    def __init__(self, address: Address) -> None:
        """Name the store; the connection opens on use."""
        self._address = address
        self._http: HttpConnection | None = None
        self.calls = 0

    @property
    def address(self) -> Address:
        """Return whom the connection asks."""
        return self._address

    def set_address(self, address: Address) -> None:
        """Ask somebody else from now on."""
        if address != self._address:
            self.close()
            self._address = address

    def close(self) -> None:
        """Close the connection."""
        if self._http is not None:
            self._http.abort()
            self._http = None

    async def list_objects(
        self, kind: str, *, allow_stale: bool = False
    ) -> tuple[list[StoreObject], int]:
        """Read all objects of a kind, and the revision of the first page."""
        found: list[StoreObject] = []
        revision: int | None = None
        async for page in self._pages(kind, allow_stale):
            found.extend(page.objects)
            # Changes between pages are seen again by a watch from here.
            revision = page.store_revision if revision is None else revision
        return found, revision or 0

    async def watch(self, kind: str, after: int, wait: Seconds) -> ChangeBatch:
        """Wait for changes after a revision; may return none."""
        query = {'watch': after, 'wait_ms': int(wait * _MS)}
        reply = await self._read(kind, query, wait + _WATCH_MARGIN)
        return self._decode(_batch_decoder, reply)

    async def create(self, kind: str, name: str, spec: Any) -> None:
        """Create an object; raises ConflictError if it exists."""
        await self._write('POST', f'{_PATH}/{kind}', name, spec)

    async def replace(self, kind: str, name: str, spec: Any) -> None:
        """Replace an object's content whatever its revision is."""
        path = f'{_PATH}/{kind}/{quote(name)}'
        await self._write('PUT', path, name, spec)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object; one that is gone already is no error."""
        path = f'{_PATH}/{kind}/{quote(name)}'
        reply = await self._exchange(HttpRequest('DELETE', path, {}))
        if reply.status != _NOT_FOUND:
            self._require(reply)

    async def _pages(
        self, kind: str, allow_stale: bool
    ) -> AsyncIterator[_Page]:
        query: dict[str, str | int] = {}
        if allow_stale:
            query['allow_stale'] = 1
        while True:
            reply = await self._read(kind, query, _CALL_TIMEOUT)
            page = self._decode(_page_decoder, reply)
            yield page
            if not page.has_more or not page.objects:
                return
            query['after'] = page.objects[-1].meta.name

    async def _read(
        self, kind: str, query: dict[str, str | int], timeout: Seconds
    ) -> HttpResponse:
        path = f'{_PATH}/{kind}'
        if query:
            path = f'{path}?{urlencode(query)}'
        try:
            reply = await self._exchange(HttpRequest('GET', path, {}), timeout)
        except PlatformLostReplyError as lost:
            raise PlatformUnavailableError(str(lost)) from lost
        if reply.status == _GONE:
            raise HistoryGoneError(f'{kind}: the history is gone')
        self._require(reply)
        return reply

    async def _write(
        self, method: str, path: str, name: str, spec: Any
    ) -> None:
        body = encode({'meta': {'name': name}, 'spec': spec})
        headers = {'content-type': 'application/json'}
        reply = await self._exchange(HttpRequest(method, path, headers, body))
        if reply.status == _CONFLICT:
            raise ConflictError(f'{path} is held by another writer')
        if reply.status >= _LEAST_ERROR and reply.status != _UNAVAILABLE:
            raise PlatformLostReplyError(f'{path}: status {reply.status}')
        self._require(reply)

    async def _exchange(
        self, request: HttpRequest, timeout: Seconds = _CALL_TIMEOUT
    ) -> HttpResponse:
        self.calls += 1
        if self._http is None or not self._http.is_reusable:
            await self._connect()
        try:
            return await self._http.exchange(request, timeout)
        except (OSError, EOFError, TimeoutError, ProtocolError) as failed:
            self.close()
            raise PlatformLostReplyError(f'{failed!r}') from failed
        except BaseException:
            self.close()
            raise

    async def _connect(self) -> None:
        self.close()
        connection = HttpConnection(self._address)
        try:
            await connection.start(_CONNECT_TIMEOUT)
        except (OSError, TimeoutError) as failed:
            raise PlatformUnavailableError(f'{failed!r}') from failed
        self._http = connection

    def _require(self, reply: HttpResponse) -> None:
        if reply.status not in {_OK, _CREATED}:
            self.close()
            raise PlatformUnavailableError(f'status {reply.status}')

    def _decode(self, decoder: Decoder, reply: HttpResponse) -> Any:
        try:
            return decoder.decode(reply.body)
        except (DecodeError, ValidationError) as broken:
            self.close()
            raise PlatformUnavailableError(f'unreadable: {broken}') from broken
