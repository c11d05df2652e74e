"""Client of the platform's object API."""

from asyncio import Lock
from dataclasses import dataclass
from urllib.parse import quote, urlencode

from msgspec import Struct
from msgspec.json import Decoder

from sesametrack.contracts.exceptions import (
    ConflictError,
    PlatformLostReplyError,
    PlatformUnavailableError,
    ProtocolError,
)
from sesametrack.contracts.types import Address, Seconds
from sesametrack.links.http import HttpRequest, HttpResponse
from sesametrack.links.http_client import HttpConnection

_CONNECT_TIMEOUT: Seconds = 1
_CALL_TIMEOUT: Seconds = 2
_WATCH_TIME: Seconds = 20
_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 412
_SERVER_ERROR = 500
_MS = 1000


class PlatformObject(Struct, frozen=True):
    """An object with its key, its version and its text."""

    key: str
    version: int
    text: str


class ObjectList(Struct, frozen=True):
    """Objects under a prefix, and the store's version when it was read."""

    version: int
    objects: list[PlatformObject]


class PlatformVm(Struct, frozen=True):
    """A VM as the platform lists it; the list lags."""

    id: str
    failure_domain: str
    address: str
    state: str


class VmList(Struct, frozen=True):
    """The platform's list of VMs."""

    vms: list[PlatformVm]


_object_decoder = Decoder(PlatformObject)
_list_decoder = Decoder(ObjectList)
_vms_decoder = Decoder(VmList)


@dataclass(slots=True)
class CallCounts:
    """Calls made to the platform, a waiting watch counted as one."""

    reads: int = 0
    writes: int = 0
    failures: int = 0


class PlatformClient:
    """Talks to the first of the platform's addresses that answers.

    Reads raise PlatformUnavailableError. Writes raise it only if they
    cannot have taken effect, and PlatformLostReplyError if they may have.
    """

    def __init__(self, addresses: list[Address]) -> None:
        """Name the platform's addresses; connections open on use."""
        self._addresses = addresses
        self._preferred = 0
        self._connection: HttpConnection | None = None
        self._lock = Lock()
        self.calls = CallCounts()

    async def start(self) -> None:
        """Do nothing: connections open on use."""

    async def close(self) -> None:
        """Close the kept connection."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def get(self, key: str) -> PlatformObject | None:
        """Read an object; None if there is none."""
        self.calls.reads += 1
        response = await self._read(HttpRequest('GET', _path(key), {}))
        if response.status == _NOT_FOUND:
            return None
        self._require(response, _OK)
        return _object_decoder.decode(response.body)

    async def list_objects(self, prefix: str) -> ObjectList:
        """Read all objects whose keys begin with a prefix."""
        self.calls.reads += 1
        query = urlencode({'prefix': prefix})
        response = await self._read(HttpRequest('GET', f'/objects?{query}', {}))
        self._require(response, _OK)
        return _list_decoder.decode(response.body)

    async def create(self, key: str, text: bytes) -> PlatformObject:
        """Create an object; raises ConflictError if there is one."""
        return await self._write(key, text, {'if-none-match': '*'})

    async def update(
        self, key: str, text: bytes, version: int
    ) -> PlatformObject:
        """Replace a version; raises ConflictError if it is another one."""
        return await self._write(key, text, {'if-match': str(version)})

    async def list_vms(self) -> list[PlatformVm]:
        """Read the lagging list of VMs."""
        self.calls.reads += 1
        response = await self._read(HttpRequest('GET', '/vms', {}))
        self._require(response, _OK)
        return _vms_decoder.decode(response.body).vms

    async def watch(self, prefix: str, after: int) -> ObjectList:
        """Wait for changes after a store version; may return none.

        Uses a connection of its own, since it waits long.
        """
        self.calls.reads += 1
        query = urlencode(
            {
                'prefix': prefix,
                'after': after,
                'timeout_ms': int(_WATCH_TIME * _MS),
            }
        )
        connection = HttpConnection(self._addresses[self._preferred])
        try:
            await connection.start(_CONNECT_TIMEOUT)
            response = await connection.exchange(
                HttpRequest('GET', f'/watch?{query}', {}),
                _WATCH_TIME + _CALL_TIMEOUT,
            )
        except (OSError, EOFError, TimeoutError, ProtocolError) as failed:
            raise self._unavailable(failed) from failed
        finally:
            connection.abort()
        self._require(response, _OK)
        return _list_decoder.decode(response.body)

    async def _read(self, request: HttpRequest) -> HttpResponse:
        async with self._lock:
            try:
                return await self._exchange(request)
            except (OSError, EOFError, TimeoutError, ProtocolError) as failed:
                raise self._unavailable(failed) from failed

    async def _write(
        self, key: str, text: bytes, condition: dict[str, str]
    ) -> PlatformObject:
        self.calls.writes += 1
        request = HttpRequest('PUT', _path(key), condition, text)
        async with self._lock:
            # A kept connection may have gone silent; a write on a new one
            # fails before it is sent, or was sent for certain.
            await self.close()
            try:
                await self._connect()
            except (OSError, TimeoutError) as failed:
                raise self._unavailable(failed) from failed
            try:
                response = await self._exchange(request)
            except (OSError, EOFError, TimeoutError, ProtocolError) as failed:
                await self.close()
                self.calls.failures += 1
                raise PlatformLostReplyError(
                    f'no reply to the write of {key}: {failed!r}'
                ) from failed
        if response.status == _CONFLICT:
            raise ConflictError(f'{key} was changed by another writer')
        if response.status >= _SERVER_ERROR:
            # The error may have come after the write took effect.
            self.calls.failures += 1
            raise PlatformLostReplyError(
                f'the write of {key} was answered with {response.status}'
            )
        self._require(response, _OK, _CREATED)
        return _object_decoder.decode(response.body)

    async def _connect(self) -> None:
        connection = HttpConnection(self._addresses[self._preferred])
        await connection.start(_CONNECT_TIMEOUT)
        self._connection = connection

    async def _exchange(self, request: HttpRequest) -> HttpResponse:
        kept = self._connection
        if kept is None or not kept.is_reusable:
            await self._connect()
        try:
            return await self._connection.exchange(request, _CALL_TIMEOUT)
        except BaseException:
            await self.close()
            raise

    def _unavailable(self, failed: Exception) -> PlatformUnavailableError:
        self.calls.failures += 1
        self._preferred = (self._preferred + 1) % len(self._addresses)
        return PlatformUnavailableError(f'platform: {failed!r}')

    def _require(self, response: HttpResponse, *statuses: int) -> None:
        if response.status in statuses:
            return
        self.calls.failures += 1
        raise PlatformUnavailableError(
            f'platform answered {response.status}: {response.body[:200]!r}'
        )


def _path(key: str) -> str:
    return f'/objects/{quote(key)}'
