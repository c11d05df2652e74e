"""Which connections to one upstream to open, use, probe and close."""

from dataclasses import dataclass
from enum import Enum

from sesametrack.contracts.types import Instant, Seconds
from sesametrack.upstreams.actions import (
    CloseConnection,
    OpenConnection,
    ProbeConnection,
    UpstreamAction,
)

# Connections beyond the slots, so that a lost one costs no connect time.
_SPARE = 1
# One connection is kept by the gate for load reports and cancellations.
_CONTROL = 1
# During a change of gates two of them may hold connections at once.
_GATES_AT_ONCE = 2
_PROBE_AFTER_IDLE: Seconds = 2
_PROBE_TIMEOUT: Seconds = 0.15
_OPEN_TIMEOUT: Seconds = 1
_MIN_BACKOFF: Seconds = 0.05
_MAX_BACKOFF: Seconds = 1


class ConnectionState(Enum):
    """What a pooled connection is doing."""

    opening = 'opening'
    idle = 'idle'
    busy = 'busy'
    probing = 'probing'


@dataclass(slots=True)
class _Connection:
    state: ConnectionState
    since: Instant


class ConnectionPool:
    """Decides about the pooled connections of one upstream."""

    def __init__(self, slots: int, connections: int) -> None:
        """Derive the pool size from the limits of the inventory."""
        share = connections // _GATES_AT_ONCE - _CONTROL
        self._target = max(1, min(slots + _SPARE, share))
        self._by_number: dict[int, _Connection] = {}
        self._opened = 0
        self._backoff: Seconds = 0
        self._open_after: Instant = 0

    def __len__(self) -> int:
        """Count the connections that count against the limit."""
        return len(self._by_number)

    def describe(self) -> dict[str, int]:
        """Return the number of connections by state."""
        return {
            state.value: len(self._numbers(state)) for state in ConnectionState
        }

    def refill(
        self, now: Instant, *, is_responsive: bool = True
    ) -> list[UpstreamAction]:
        """Open what is missing, at most one at a time after a failure.

        To an upstream that gives no sign of life only one is opened at a
        time, more and more rarely: a host that stands still accepts
        connections all the same, and would find them all when it goes on.
        """
        actions: list[UpstreamAction] = []
        if now < self._open_after:
            return actions
        target = self._target if is_responsive else 1
        while len(self._by_number) < target:
            self._opened += 1
            self._by_number[self._opened] = _Connection(
                ConnectionState.opening, now
            )
            actions.append(OpenConnection(self._opened))
            if self._backoff:
                break
        return actions

    def record_open(self, number: int, now: Instant) -> None:
        """Note that a connection is ready."""
        if number in self._by_number:
            self._by_number[number] = _Connection(ConnectionState.idle, now)

    def record_end(self, number: int, now: Instant) -> None:
        """Forget a connection; delay the next one if it never opened."""
        connection = self._by_number.pop(number, None)
        if connection is None:
            return
        if connection.state is ConnectionState.opening:
            self._back_off(now)

    def take_idle(self, now: Instant) -> int | None:
        """Mark the most recently used idle connection busy; None if none."""
        idle = self._numbers(ConnectionState.idle)
        if not idle:
            return None
        number = max(idle, key=lambda known: self._by_number[known].since)
        self._by_number[number] = _Connection(ConnectionState.busy, now)
        return number

    def has_open(self) -> bool:
        """Tell whether any connection is open."""
        return any(
            connection.state is not ConnectionState.opening
            for connection in self._by_number.values()
        )

    def reset_backoff(self) -> None:
        """Open freely again: the upstream has answered."""
        self._backoff = 0
        self._open_after = 0

    def release(self, number: int, now: Instant) -> None:
        """Mark a connection idle after its response or probe answer."""
        if number in self._by_number:
            self._by_number[number] = _Connection(ConnectionState.idle, now)

    def close(self, number: int) -> list[UpstreamAction]:
        """Give a connection up."""
        if self._by_number.pop(number, None) is None:
            return []
        return [CloseConnection(number)]

    def close_all(self) -> list[UpstreamAction]:
        """Give all connections up."""
        numbers = list(self._by_number)
        return [action for known in numbers for action in self.close(known)]

    def probe_idle(
        self, now: Instant, idle_for: Seconds = _PROBE_AFTER_IDLE
    ) -> list[UpstreamAction]:
        """Probe the connections that have been idle for a time."""
        actions: list[UpstreamAction] = []
        for number in self._numbers(ConnectionState.idle):
            if now - self._by_number[number].since < idle_for:
                continue
            self._by_number[number] = _Connection(ConnectionState.probing, now)
            actions.append(ProbeConnection(number))
        return actions

    def close_overdue(self, now: Instant) -> list[UpstreamAction]:
        """Close connections whose probe or opening got no answer in time."""
        actions: list[UpstreamAction] = []
        limits = (
            (ConnectionState.probing, _PROBE_TIMEOUT),
            (ConnectionState.opening, _OPEN_TIMEOUT),
        )
        for state, limit in limits:
            for number in self._numbers(state):
                if now - self._by_number[number].since >= limit:
                    actions.extend(self.close(number))
        if actions:
            self._back_off(now)
        return actions

    def _back_off(self, now: Instant) -> None:
        if now < self._open_after:
            # Connections that fail together count once.
            return
        doubled = max(_MIN_BACKOFF, self._backoff * 2)
        self._backoff = min(_MAX_BACKOFF, doubled)
        self._open_after = now + self._backoff

    def _numbers(self, state: ConnectionState) -> list[int]:
        return [
            number
            for number, connection in self._by_number.items()
            if connection.state is state
        ]
