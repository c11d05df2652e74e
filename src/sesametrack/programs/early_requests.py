"""Requests that arrive before a process knows where to send them."""

from asyncio import AbstractEventLoop, TimerHandle
from collections.abc import Callable
from functools import partial

from sesametrack.contracts.types import Instant, Seconds
from sesametrack.links.caller_connection import (
    CallerConnection,
    IncomingRequest,
)

# A process that has no listing this long after its start may not get one soon.
_MAX_START_TIME: Seconds = 1
# Part of a caller's time after which it may as well try another VM.
_MAX_FRACTION = 0.3
_MAX_HELD = 256

RequestHandler = Callable[[CallerConnection, IncomingRequest], None]


class EarlyRequests:
    """Holds requests of a process that starts until its first listing.

    A refusal would cost their callers a new connection and more time than the
    listing takes. Nothing of a request is sent while it is held.
    """

    def __init__(
        self,
        on_ready: RequestHandler,
        on_late: RequestHandler,
        loop: AbstractEventLoop,
        now: Callable[[], Instant],
    ) -> None:
        """Pass requests to `on_ready`, or to `on_late` if it takes too long."""
        self._on_ready = on_ready
        self._on_late = on_late
        self._loop = loop
        self._now = now
        self._started_at = now()
        self._held: dict[
            CallerConnection, tuple[IncomingRequest, TimerHandle]
        ] = {}

    def hold(
        self,
        connection: CallerConnection,
        incoming: IncomingRequest,
        timeout: Seconds | None,
    ) -> None:
        """Hold a request for a part of its caller's time, if it has any."""
        until = self._started_at + _MAX_START_TIME
        if timeout is not None:
            until = min(until, incoming.arrived_at + timeout * _MAX_FRACTION)
        left = until - self._now()
        if left <= 0 or len(self._held) >= _MAX_HELD:
            self._on_late(connection, incoming)
            return
        timer = self._loop.call_later(left, partial(self._expire, connection))
        self._held[connection] = (incoming, timer)

    def release(self) -> None:
        """Start all requests, as there is a listing."""
        self._pass_on(self._on_ready)

    def refuse(self) -> None:
        """Refuse all requests, and those that follow: the process ends."""
        self._started_at = float('-inf')
        self._pass_on(self._on_late)

    def drop(self, connection: CallerConnection) -> None:
        """Forget the request of a caller that has left."""
        held = self._held.pop(connection, None)
        if held is not None:
            held[1].cancel()

    def _pass_on(self, handler: RequestHandler) -> None:
        held, self._held = self._held, {}
        for connection, (incoming, timer) in held.items():
            timer.cancel()
            handler(connection, incoming)

    def _expire(self, connection: CallerConnection) -> None:
        incoming, _ = self._held.pop(connection)
        self._on_late(connection, incoming)
