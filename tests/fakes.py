"""In-memory fake of the platform client, for tests without sockets."""

from collections.abc import Callable

from sesametrack.contracts.exceptions import (
    ConflictError,
    PlatformLostReplyError,
    PlatformUnavailableError,
)
from sesametrack.links.platform import PlatformObject


class FakePlatform:
    """Versioned objects in memory, with an injected fault for each call.

    `fault` is called with the method name and returns '' for success, 'down'
    for an unavailable platform, 'lost' for a write that is applied but whose
    reply is lost, 'delayed' for a write that is applied later, and 'lands'
    to apply the delayed writes before a call that has no fault itself.
    """

    def __init__(self, fault: Callable[[str], str] | None = None) -> None:
        """Start without objects; without `fault` every call succeeds."""
        self.object_by_key: dict[str, PlatformObject] = {}
        self._fault = fault or _no_fault
        self._version = 0
        self._delayed_writes: list[tuple[str, bytes, int | None]] = []

    async def get(self, key: str) -> PlatformObject | None:
        """Return an object, or None if the key does not exist.

        Raises PlatformUnavailableError for the faults 'down' and 'lost'.
        """
        fault = self._next_fault('get')
        if fault in {'down', 'lost'}:
            raise PlatformUnavailableError(fault)
        return self.object_by_key.get(key)

    async def create(self, key: str, text: bytes) -> PlatformObject:
        """Create an object; raise ConflictError if the key exists."""
        return self._write('create', key, text, None)

    async def update(
        self, key: str, text: bytes, version: int
    ) -> PlatformObject:
        """Replace an object; raise ConflictError on a version mismatch."""
        return self._write('update', key, text, version)

    def _next_fault(self, call: str) -> str:
        fault = self._fault(call)
        if fault == 'lands':
            self.apply_delayed_writes()
            return ''
        return fault

    def apply_delayed_writes(self) -> None:
        """Apply each delayed write whose version condition still holds."""
        delayed, self._delayed_writes = self._delayed_writes, []
        for key, text, version in delayed:
            self._store(key, text, version)

    def _write(
        self, call: str, key: str, text: bytes, version: int | None
    ) -> PlatformObject:
        fault = self._next_fault(call)
        if fault == 'down':
            raise PlatformUnavailableError(fault)
        if fault == 'delayed':
            self._delayed_writes.append((key, text, version))
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
        current = self.object_by_key.get(key)
        if (current.version if current else None) != version:
            return None
        self._version += 1
        stored = PlatformObject(key, self._version, text.decode())
        self.object_by_key[key] = stored
        return stored


def _no_fault(call: str) -> str:
    return ''
