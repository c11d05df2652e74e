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
_WATCH_TIMEOUT: Seconds = 20
_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_PRECONDITION_FAILED = 412
_SERVER_ERROR = 500
_MS_PER_S = 1000


class PlatformObject(Struct, frozen=True):
    """An object with its key, its version and its text."""

    key: str
    version: int
    text: str


class ObjectList(Struct, frozen=True):
    """The objects with a key prefix, and the store's version when read."""

    version: int
    objects: list[PlatformObject]


class PlatformVm(Struct, frozen=True):
    """A VM as listed by the platform; the list may be out of date."""

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
    """Numbers of calls made to the platform; a long poll counts as one."""

    reads: int = 0
    writes: int = 0
    failures: int = 0


class PlatformClient:
    """Client of the platform that moves to its next address on a failure.

    Reads raise PlatformUnavailableError. Writes raise it only if they
    cannot have taken effect, and PlatformLostReplyError if they may have.
    """

    def __init__(self, addresses: list[Address]) -> None:
        """Store the platform's addresses; connections are opened on use."""
        self._addresses = addresses
        self._address_index = 0
        self._connection: HttpConnection | None = None
        self._lock = Lock()
        self.calls = CallCounts()

    async def start(self) -> None:
        """Do nothing, as connections are opened on use."""

    async def close(self) -> None:
        """Close the persistent connection."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def get(self, key: str) -> PlatformObject | None:
        """Return the object with a key, or None."""
        self.calls.reads += 1
        response = await self._read(HttpRequest('GET', _path(key), {}))
        if response.status == _NOT_FOUND:
            return None
        self._check_status(response, _OK)
        return _object_decoder.decode(response.body)

    async def list_objects(self, prefix: str) -> ObjectList:
        """Return all objects whose keys begin with a prefix."""
        self.calls.reads += 1
        query = urlencode({'prefix': prefix})
        response = await self._read(HttpRequest('GET', f'/objects?{query}', {}))
        self._check_status(response, _OK)
        return _list_decoder.decode(response.body)

    async def create(self, key: str, text: bytes) -> PlatformObject:
        """Create an object; raises ConflictError if it exists."""
        return await self._write(key, text, {'if-none-match': '*'})

    async def update(
        self, key: str, text: bytes, version: int
    ) -> PlatformObject:
        """Replace an object; raises ConflictError if its version differs."""
        return await self._write(key, text, {'if-match': str(version)})

    async def list_vms(self) -> list[PlatformVm]:
        """Return the platform's list of VMs, which may be out of date."""
        self.calls.reads += 1
        response = await self._read(HttpRequest('GET', '/vms', {}))
        self._check_status(response, _OK)
        return _vms_decoder.decode(response.body).vms

    async def watch(self, prefix: str, after: int) -> ObjectList:
        """Wait for changes after a store version; may return no objects.

        A long poll with a connection of its own, so that it delays no call.
        """
        self.calls.reads += 1
        query = urlencode(
            {
                'prefix': prefix,
                'after': after,
                'timeout_ms': int(_WATCH_TIMEOUT * _MS_PER_S),
            }
        )
        connection = HttpConnection(self._addresses[self._address_index])
        try:
            await connection.start(_CONNECT_TIMEOUT)
            response = await connection.exchange(
                HttpRequest('GET', f'/watch?{query}', {}),
                _WATCH_TIMEOUT + _CALL_TIMEOUT,
            )
        except (OSError, EOFError, TimeoutError, ProtocolError) as error:
            raise self._record_unavailable(error) from error
        finally:
            connection.abort()
        self._check_status(response, _OK)
        return _list_decoder.decode(response.body)

    async def _read(self, request: HttpRequest) -> HttpResponse:
        async with self._lock:
            try:
                return await self._exchange(request)
            except (OSError, EOFError, TimeoutError, ProtocolError) as error:
                raise self._record_unavailable(error) from error

    async def _write(
        self, key: str, text: bytes, condition: dict[str, str]
    ) -> PlatformObject:
        self.calls.writes += 1
        request = HttpRequest('PUT', _path(key), condition, text)
        async with self._lock:
            # The persistent connection may be dead without notice. On a new
            # one a write fails before it is sent, or was certainly sent.
            await self.close()
            try:
                await self._connect()
            except (OSError, TimeoutError) as error:
                raise self._record_unavailable(error) from error
            try:
                response = await self._exchange(request)
            except (OSError, EOFError, TimeoutError, ProtocolError) as error:
                await self.close()
                self.calls.failures += 1
                raise PlatformLostReplyError(
                    f'no reply to the write of {key}: {error!r}'
                ) from error
        if response.status == _PRECONDITION_FAILED:
            raise ConflictError(f'{key} was changed by another writer')
        if response.status >= _SERVER_ERROR:
            # The server may have failed after the write took effect.
            self.calls.failures += 1
            raise PlatformLostReplyError(
                f'the write of {key} was answered with {response.status}'
            )
        self._check_status(response, _OK, _CREATED)
        return _object_decoder.decode(response.body)

    async def _connect(self) -> None:
        connection = HttpConnection(self._addresses[self._address_index])
        await connection.start(_CONNECT_TIMEOUT)
        self._connection = connection

    async def _exchange(self, request: HttpRequest) -> HttpResponse:
        connection = self._connection
        if connection is None or not connection.is_reusable:
            await self._connect()
        try:
            return await self._connection.exchange(request, _CALL_TIMEOUT)
        except BaseException:
            await self.close()
            raise

    def _record_unavailable(self, error: Exception) -> PlatformUnavailableError:
        self.calls.failures += 1
        self._address_index = (self._address_index + 1) % len(self._addresses)
        return PlatformUnavailableError(f'platform: {error!r}')

    def _check_status(self, response: HttpResponse, *statuses: int) -> None:
        if response.status in statuses:
            return
        self.calls.failures += 1
        raise PlatformUnavailableError(
            f'platform answered {response.status}: {response.body[:200]!r}'
        )


def _path(key: str) -> str:
    return f'/objects/{quote(key)}'
