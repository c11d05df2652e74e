"""Client of the platform's object store."""

from collections.abc import AsyncIterator, Callable
from typing import Any, TypeVar
from urllib.parse import quote, urlencode
from zlib import decompressobj
from zlib import error as CompressionError

from msgspec import DecodeError
from msgspec.json import encode

from sesametrack.contracts.exceptions import (
    ConflictError,
    ObjectMissingError,
    PlatformLostReplyError,
    PlatformUnavailableError,
    ProtocolError,
    RevisionExpiredError,
    StoreRestoredError,
)
from sesametrack.contracts.types import Address, Seconds
from sesametrack.links.http import HttpRequest, HttpResponse
from sesametrack.links.http_client import MAX_RESPONSE_BYTES, HttpConnection
from sesametrack.platform.pages import (
    ChangeBatch,
    Page,
    StoreObject,
    decode_batch,
    decode_object,
    decode_page,
)
from sesametrack.telemetry.traffic import Traffic

_PATH = '/sesametrack/objects'
# The store replies within milliseconds; if it is slowed down about 60 times,
# a reply still takes a quarter of a second.
_CONNECT_TIMEOUT: Seconds = 0.5
_CALL_TIMEOUT: Seconds = 2
# Time beyond its wait time that a watch may take: the reply of a slow store.
_WATCH_TIMEOUT_MARGIN: Seconds = 0.7
_MS_PER_S = 1000
# Content coding of relays: the zlib format (RFC 9110, section 8.4.1.2).
RELAY_CODING = 'deflate'
# Counts how often the store came back from an older copy. It is in the headers
# of all replies of the store, and of relays for the copy that they serve.
ERA_HEADER = 'store-era'
_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_FIRST_SERVER_ERROR = 500
_UNAVAILABLE = 503

_Decoded = TypeVar('_Decoded')


class StoreConnection:
    """One connection to the store or a relay, for one call at a time.

    Every failure closes the connection. Reads raise
    PlatformUnavailableError or RevisionExpiredError, or StoreRestoredError if
    the reply belongs to another history than the listing. Writes raise
    PlatformUnavailableError, ConflictError, ObjectMissingError, or
    PlatformLostReplyError if they may have taken effect.
    """

    def __init__(
        self,
        address: Address,
        traffic: Traffic | None = None,
        purpose: str = '',
    ) -> None:
        """Set the address; the first call opens the connection.

        Calls are counted as traffic of the store or relay, by purpose.
        """
        self._traffic = traffic
        self._purpose = purpose
        self._address = address
        self._http: HttpConnection | None = None
        self._is_relay = False
        # Number of calls to the store; those to relays cost it nothing.
        self.calls = 0
        # Of the last reply; None if it had none.
        self.era: int | None = None
        self._listed_era: int | None = None

    @property
    def address(self) -> Address:
        """Return the address of the store or relay."""
        return self._address

    def set_address(self, address: Address, *, is_relay: bool) -> None:
        """Send further calls to the store, or to a relay, at this address."""
        self._is_relay = is_relay
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
        """Return all objects of a kind and the revision of the first page."""
        objects: list[StoreObject] = []
        revision: int | None = None
        async for page in self._pages(kind, allow_stale):
            if revision is None:
                self._listed_era = self.era
            self._require_listed_era(kind)
            objects.extend(page.objects)
            # A watch from the first page's revision returns the changes that
            # were made between the pages.
            revision = page.store_revision if revision is None else revision
        return objects, revision or 0

    async def watch(self, kind: str, after: int, wait: Seconds) -> ChangeBatch:
        """Return the changes after a revision; none if the wait time ends."""
        query = {'watch': after, 'wait_ms': int(wait * _MS_PER_S)}
        reply = await self._read(kind, query, wait + _WATCH_TIMEOUT_MARGIN)
        self._require_listed_era(kind)
        return self._decode(decode_batch, reply)

    async def create(self, kind: str, name: str, spec: Any) -> int:
        """Create an object and return its revision.

        Raises ConflictError if it exists.
        """
        return await self._write(
            'POST', f'{_PATH}/{kind}', {'name': name}, spec
        )

    async def replace(self, kind: str, name: str, spec: Any) -> int:
        """Replace an object's content at any revision; return the new one."""
        path = f'{_PATH}/{kind}/{quote(name)}'
        return await self._write('PUT', path, {'name': name}, spec)

    async def replace_unchanged(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> int:
        """Replace an object's content if it is still at a revision.

        Return the new revision; raises ConflictError if it has changed.
        """
        path = f'{_PATH}/{kind}/{quote(name)}'
        meta = {'name': name, 'rev': revision}
        return await self._write('PUT', path, meta, spec)

    async def replace_status(
        self, kind: str, name: str, status: Any, revision: int
    ) -> int:
        """Replace an object's status if the object is still at a revision.

        Return the new revision; raises ConflictError if it has changed.
        """
        path = f'{_PATH}/{kind}/{quote(name)}/status'
        body = {'meta': {'name': name, 'rev': revision}, 'status': status}
        return await self._send_write('PUT', path, body)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; a missing one is not an error."""
        path = f'{_PATH}/{kind}/{quote(name)}'
        reply = await self._exchange(HttpRequest('DELETE', path, {}))
        if reply.status != _NOT_FOUND:
            self._require_success(reply)

    async def _pages(self, kind: str, allow_stale: bool) -> AsyncIterator[Page]:
        query: dict[str, str | int] = {}
        if allow_stale:
            query['allow_stale'] = 1
        while True:
            reply = await self._read(kind, query, _CALL_TIMEOUT)
            page = self._decode(decode_page, reply)
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
        # Relays compress their replies; the store has no such option.
        headers = {'accept-encoding': RELAY_CODING} if self._is_relay else {}
        try:
            reply = await self._exchange(
                HttpRequest('GET', path, headers), timeout
            )
        except PlatformLostReplyError as error:
            raise PlatformUnavailableError(str(error)) from error
        if reply.status == _GONE:
            raise RevisionExpiredError(f'{kind}: the history is gone')
        self._require_success(reply)
        return reply

    async def _write(
        self, method: str, path: str, meta: dict[str, str | int], spec: Any
    ) -> int:
        return await self._send_write(
            method, path, {'meta': meta, 'spec': spec}
        )

    async def _send_write(
        self, method: str, path: str, content: dict[str, Any]
    ) -> int:
        headers = {'content-type': 'application/json'}
        reply = await self._exchange(
            HttpRequest(method, path, headers, encode(content))
        )
        if reply.status == _CONFLICT:
            raise ConflictError(f'{path} is held by another writer')
        if reply.status == _NOT_FOUND:
            raise ObjectMissingError(f'{path} does not exist')
        if reply.status >= _FIRST_SERVER_ERROR and reply.status != _UNAVAILABLE:
            raise PlatformLostReplyError(f'{path}: status {reply.status}')
        self._require_success(reply)
        return self._decode(decode_object, reply).meta.rev

    async def _exchange(
        self, request: HttpRequest, timeout: Seconds = _CALL_TIMEOUT
    ) -> HttpResponse:
        if not self._is_relay:
            self.calls += 1
        if self._traffic is not None:
            self._traffic.record_sent(
                self._kind, len(request.path) + len(request.body)
            )
        if self._http is None or not self._http.is_reusable:
            await self._connect()
        try:
            reply = await self._http.exchange(request, timeout)
        except (OSError, EOFError, TimeoutError, ProtocolError) as error:
            self.close()
            raise PlatformLostReplyError(f'{error!r}') from error
        except BaseException:
            self.close()
            raise
        if self._traffic is not None:
            self._traffic.record_received(self._kind, len(reply.body))
        era = reply.headers.get(ERA_HEADER, '')
        self.era = int(era) if era.isdecimal() else None
        return reply

    async def _connect(self) -> None:
        self.close()
        connection = HttpConnection(self._address)
        try:
            await connection.start(_CONNECT_TIMEOUT)
        except (OSError, TimeoutError) as error:
            self._record_connection(type(error).__name__)
            raise PlatformUnavailableError(f'{error!r}') from error
        self._record_connection('accepted')
        self._http = connection

    def _record_connection(self, outcome: str) -> None:
        if self._traffic is not None:
            self._traffic.record_connection(self._kind, outcome)

    @property
    def _kind(self) -> str:
        return f'{"relay" if self._is_relay else "store"}-{self._purpose}'

    def _require_listed_era(self, kind: str) -> None:
        if self.era != self._listed_era:
            raise StoreRestoredError(
                f'{kind}: era {self.era} after {self._listed_era}'
            )

    def _require_success(self, reply: HttpResponse) -> None:
        if reply.status not in {_OK, _CREATED}:
            self.close()
            raise PlatformUnavailableError(f'status {reply.status}')

    def _decode(
        self, decode: Callable[[bytes], _Decoded], reply: HttpResponse
    ) -> _Decoded:
        try:
            return decode(_read_body(reply))
        except (DecodeError, CompressionError) as error:
            self.close()
            raise PlatformUnavailableError(f'unreadable: {error}') from error


def _read_body(reply: HttpResponse) -> bytes:
    """Return the decompressed body; raises CompressionError."""
    if reply.headers.get('content-encoding') != RELAY_CODING:
        return reply.body
    decompressor = decompressobj()
    body = decompressor.decompress(reply.body, MAX_RESPONSE_BYTES)
    if not decompressor.eof:
        raise CompressionError('the body is truncated or too large')
    return body
