"""Decides whose bytes a process goes on holding when memory runs short.

Callers and peers make a process hold bytes: of requests that are not complete,
of complete ones without an answer, and of responses that are not read. All of
them share one allowance, whatever the number of connections.
"""

from dataclasses import dataclass, field
from enum import Enum

from sesametrack.contracts.types import Instant, Seconds

_MEGABYTE = 1024 * 1024
# Memory of a process without any request, and of its connections.
_PROCESS_MB = 96
_MIN_LIMIT_MB = 4
# What unfinished exchanges may take of the limit before readers wait, and
# before the next one is refused. The rest is left for complete requests.
_WAIT_FRACTION = 0.5
_REFUSE_FRACTION = 0.75
# An exchange that takes no more than this is not worth a refusal.
_SMALL_BYTES = 4096
# Fewer bytes than this are no progress.
_PROGRESS_BYTES = 4096
# An exchange without progress for this long gives way to others.
_STALL_TIME: Seconds = 1
# A reader waits for memory this long at most.
_MAX_WAIT: Seconds = 1


class Verdict(Enum):
    """What happens to an exchange that needs more memory."""

    proceed = 'proceed'
    wait = 'wait'
    refuse = 'refuse'


@dataclass(eq=False, slots=True)
class Holding:
    """The bytes that one connection makes the process hold."""

    size: int = 0
    # Whether the other side has to act next: to send on, or to read.
    is_unfinished: bool = False
    progressed_at: Instant = 0
    # The size at that instant.
    progressed_size: int = 0
    waits_since: Instant | None = None


@dataclass(frozen=True, slots=True)
class Sweep:
    """The exchanges to end and those that may read on."""

    evicted: list[Holding] = field(default_factory=list)
    refused: list[Holding] = field(default_factory=list)
    resumed: list[Holding] = field(default_factory=list)


class ByteAllowance:
    """Shares a number of bytes among the exchanges of all connections.

    Holdings that a method returns as evicted or refused are released already.
    """

    def __init__(self, limit: int) -> None:
        """Start with nothing held; `limit` is in bytes."""
        self.limit = limit
        self.used = 0
        self._unfinished_bytes = 0
        # In the order of their last progress.
        self._unfinished: dict[Holding, None] = {}
        self._waiting: dict[Holding, None] = {}

    def read(
        self, holding: Holding, size: int, now: Instant
    ) -> tuple[Verdict, list[Holding]]:
        """Record the size of an incomplete request.

        Returns what it may do, and the exchanges that were evicted for it.
        """
        self._set_unfinished(holding, size, now)
        if size <= _SMALL_BYTES or self._is_alone(holding):
            return Verdict.proceed, []
        evicted = self._evict_stalled(holding, now)
        if self._unfinished_bytes <= self.limit * _WAIT_FRACTION:
            return Verdict.proceed, evicted
        if self._unfinished_bytes > self.limit * _REFUSE_FRACTION:
            self.release(holding)
            return Verdict.refuse, evicted
        holding.waits_since = now
        self._waiting[holding] = None
        return Verdict.wait, evicted

    def hold(
        self, holding: Holding, size: int, now: Instant
    ) -> tuple[bool, list[Holding]]:
        """Hold a complete request until its answer, if there is room for it.

        A request that is alone always has room. Returns whether this one has,
        and the exchanges that were evicted for it.
        """
        self.release(holding)
        evicted = []
        if self.used and self.used + size > self.limit:
            evicted = self._evict_stalled(holding, now)
        if self.used and self.used + size > self.limit:
            return False, evicted
        holding.size = size
        self.used += size
        return True, evicted

    def queue_response(
        self, holding: Holding, size: int, now: Instant
    ) -> list[Holding]:
        """Record the unread size of a response; returns what was evicted.

        A response can't be refused, so the oldest exchanges give way to it.
        """
        self._set_unfinished(holding, size, now)
        if self._unfinished_bytes <= self.limit * _WAIT_FRACTION:
            return []
        evicted = self._evict_stalled(holding, now)
        for other in list(self._unfinished):
            if self._unfinished_bytes <= self.limit * _REFUSE_FRACTION:
                break
            if self._is_alone(holding):
                break
            if other is not holding and other.size > _SMALL_BYTES:
                self.release(other)
                evicted.append(other)
        return evicted

    def release(self, holding: Holding) -> None:
        """Stop holding anything for a connection."""
        self.used -= holding.size
        if holding.is_unfinished:
            self._unfinished_bytes -= holding.size
            del self._unfinished[holding]
            self._waiting.pop(holding, None)
        holding.size = 0
        holding.is_unfinished = False
        holding.waits_since = None

    def sweep(self, now: Instant) -> Sweep:
        """Let readers that wait go on, in their order, or refuse them."""
        if not self._waiting:
            return Sweep()
        swept = Sweep(self._evict_stalled(None, now))
        for holding in list(self._waiting):
            if self._unfinished_bytes <= self.limit * _WAIT_FRACTION:
                del self._waiting[holding]
                holding.waits_since = None
                # It could make no progress in the meantime.
                self._record_progress(holding, now)
                swept.resumed.append(holding)
            elif now - holding.waits_since >= _MAX_WAIT:
                self.release(holding)
                swept.refused.append(holding)
        return swept

    def _is_alone(self, holding: Holding) -> bool:
        return self._unfinished_bytes == holding.size

    def _set_unfinished(
        self, holding: Holding, size: int, now: Instant
    ) -> None:
        if not holding.is_unfinished:
            self.release(holding)
            holding.is_unfinished = True
            self._unfinished[holding] = None
            holding.progressed_at = now
            holding.progressed_size = 0
        self.used += size - holding.size
        self._unfinished_bytes += size - holding.size
        holding.size = size
        if abs(size - holding.progressed_size) >= _PROGRESS_BYTES:
            self._record_progress(holding, now)

    def _record_progress(self, holding: Holding, now: Instant) -> None:
        holding.progressed_at = now
        holding.progressed_size = holding.size
        del self._unfinished[holding]
        self._unfinished[holding] = None

    def _evict_stalled(
        self, wanting: Holding | None, now: Instant
    ) -> list[Holding]:
        """Release the oldest exchanges without progress, as far as needed."""
        evicted = []
        for holding in self._stalled(now):
            if self._unfinished_bytes <= self.limit * _WAIT_FRACTION:
                break
            if holding is not wanting:
                self.release(holding)
                evicted.append(holding)
        return evicted

    def _stalled(self, now: Instant) -> list[Holding]:
        stalled = []
        if self._unfinished_bytes <= self.limit * _WAIT_FRACTION:
            return stalled
        for holding in self._unfinished:
            if now - holding.progressed_at < _STALL_TIME:
                break
            if holding not in self._waiting:
                stalled.append(holding)
        return stalled


def allowed_bytes(memory_mb: int) -> int:
    """Return what a process with this memory may hold for its exchanges.

    Half of what the process itself leaves, as a part of it is held twice.
    """
    return max(_MIN_LIMIT_MB, (memory_mb - _PROCESS_MB) // 2) * _MEGABYTE
