"""Fakes of the platform's client for tests without sockets."""

from collections.abc import Callable

from sesametrack.contracts.exceptions import (
    ConflictError,
    PlatformLostReplyError,
    PlatformUnavailableError,
)
from sesametrack.links.platform import PlatformObject


class FakePlatform:
    """Objects in memory; `fault` says what befalls each call.

    It returns '' for a call that works, 'down' for one that is refused,
    'lost' for a write whose reply is lost, 'delayed' for a write that takes
    effect later: just before a call for which it returns 'lands'.
    """

    def __init__(self, fault: Callable[[str], str] | None = None) -> None:
        """Start empty; without `fault` all calls work."""
        self.object_by_key: dict[str, PlatformObject] = {}
        self._fault = fault or _no_fault
        self._version = 0
        self._delayed: list[tuple[str, bytes, int | None]] = []

    async def get(self, key: str) -> PlatformObject | None:
        """Read an object."""
        fault = self._begin('get')
        if fault in {'down', 'lost'}:
            raise PlatformUnavailableError(fault)
        return self.object_by_key.get(key)

    async def create(self, key: str, text: bytes) -> PlatformObject:
        """Create an object."""
        return self._write('create', key, text, None)

    async def update(
        self, key: str, text: bytes, version: int
    ) -> PlatformObject:
        """Replace a version of an object."""
        return self._write('update', key, text, version)

    def _begin(self, call: str) -> str:
        fault = self._fault(call)
        if fault == 'lands':
            self.apply_delayed_writes()
            return ''
        return fault

    def apply_delayed_writes(self) -> None:
        """Let delayed writes take effect, if their conditions hold."""
        delayed, self._delayed = self._delayed, []
        for key, text, version in delayed:
            self._store(key, text, version)

    def _write(
        self, call: str, key: str, text: bytes, version: int | None
    ) -> PlatformObject:
        fault = self._begin(call)
        if fault == 'down':
            raise PlatformUnavailableError(fault)
        if fault == 'delayed':
            self._delayed.append((key, text, version))
            raise PlatformLostReplyError(fault)
        stored = self._store(key, text, version)
        if fault == 'lost':
            raise PlatformLostReplyError(fault)
        if stored is None:
            raise ConflictError(key)
        return stored

    def _store(
        self, key: str, text: bytes, version: int | None
    ) -> PlatformObject | None:
        present = self.object_by_key.get(key)
        if (present.version if present else None) != version:
            return None
        self._version += 1
        stored = PlatformObject(key, self._version, text.decode())
        self.object_by_key[key] = stored
        return stored


def _no_fault(call: str) -> str:
    return ''
