"""Connection pool of one upstream: when to open, probe and close."""

from dataclasses import dataclass
from enum import Enum

from sesametrack.contracts.types import Instant, Seconds
from sesametrack.upstreams.actions import (
    CloseConnection,
    OpenConnection,
    ProbeConnection,
    UpstreamAction,
)

# Connections beyond the slots, so that losing one costs no connect time.
_SPARE_CONNECTIONS = 1
# The gate uses one connection for load reports and cancellations.
_CONTROL_CONNECTIONS = 1
# Two gates may be connected at once while an upstream is handed over.
_MAX_GATES = 2
_PROBE_IDLE_AFTER: Seconds = 2
_PROBE_TIMEOUT: Seconds = 0.15
_OPEN_TIMEOUT: Seconds = 1
_MIN_BACKOFF: Seconds = 0.05
_MAX_BACKOFF: Seconds = 1


class ConnectionState(Enum):
    """State of a pooled connection."""

    opening = 'opening'
    idle = 'idle'
    busy = 'busy'
    probing = 'probing'


@dataclass(slots=True)
class _Connection:
    state: ConnectionState
    since: Instant


class ConnectionPool:
    """Decides which pooled connections to open, use, probe and close."""

    def __init__(self, slots: int, connections: int) -> None:
        """Set the pool size from the upstream's limits in the inventory."""
        share = connections // _MAX_GATES - _CONTROL_CONNECTIONS
        self._target = max(1, min(slots + _SPARE_CONNECTIONS, share))
        self._by_number: dict[int, _Connection] = {}
        self._last_number = 0
        self._backoff: Seconds = 0
        self._open_after: Instant = 0

    def __len__(self) -> int:
        """Return the number of connections, opening ones included."""
        return len(self._by_number)

    def describe(self) -> dict[str, int]:
        """Return the number of connections by state."""
        return {
            state.value: len(self._numbers(state)) for state in ConnectionState
        }

    def refill(
        self, now: Instant, *, is_responsive: bool = True
    ) -> list[UpstreamAction]:
        """Open missing connections, one at a time after a failure.

        For an unresponsive upstream only one connection is opened at a time,
        with increasing delays: a frozen upstream still accepts connections,
        and would find all of them open when it resumes.
        """
        actions: list[UpstreamAction] = []
        if now < self._open_after:
            return actions
        target = self._target if is_responsive else 1
        while len(self._by_number) < target:
            self._last_number += 1
            self._by_number[self._last_number] = _Connection(
                ConnectionState.opening, now
            )
            actions.append(OpenConnection(self._last_number))
            if self._backoff:
                break
        return actions

    def record_open(self, number: int, now: Instant) -> None:
        """Mark a newly opened connection idle."""
        if number in self._by_number:
            self._by_number[number] = _Connection(ConnectionState.idle, now)

    def record_end(self, number: int, now: Instant) -> None:
        """Remove a connection; back off if it could not be opened."""
        connection = self._by_number.pop(number, None)
        if connection is None:
            return
        if connection.state is ConnectionState.opening:
            self._back_off(now)

    def acquire_idle(self, now: Instant) -> int | None:
        """Mark the most recently used idle connection busy and return it.

        Return None if no connection is idle.
        """
        idle = self._numbers(ConnectionState.idle)
        if not idle:
            return None
        number = max(
            idle, key=lambda candidate: self._by_number[candidate].since
        )
        self._by_number[number] = _Connection(ConnectionState.busy, now)
        return number

    def has_open(self) -> bool:
        """Return whether any connection is open."""
        return any(
            connection.state is not ConnectionState.opening
            for connection in self._by_number.values()
        )

    def reset_backoff(self) -> None:
        """Allow new connections at once, since the upstream has responded."""
        self._backoff = 0
        self._open_after = 0

    def release(self, number: int, now: Instant) -> None:
        """Mark a connection idle after a response to a request or probe."""
        if number in self._by_number:
            self._by_number[number] = _Connection(ConnectionState.idle, now)

    def close(self, number: int) -> list[UpstreamAction]:
        """Remove a connection and close it."""
        if self._by_number.pop(number, None) is None:
            return []
        return [CloseConnection(number)]

    def close_all(self) -> list[UpstreamAction]:
        """Remove and close all connections."""
        numbers = list(self._by_number)
        return [action for number in numbers for action in self.close(number)]

    def probe_idle(
        self, now: Instant, idle_for: Seconds = _PROBE_IDLE_AFTER
    ) -> list[UpstreamAction]:
        """Probe the connections that have been idle for `idle_for` seconds."""
        actions: list[UpstreamAction] = []
        for number in self._numbers(ConnectionState.idle):
            if now - self._by_number[number].since < idle_for:
                continue
            self._by_number[number] = _Connection(ConnectionState.probing, now)
            actions.append(ProbeConnection(number))
        return actions

    def close_overdue(self, now: Instant) -> list[UpstreamAction]:
        """Close connections whose probe or opening timed out."""
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
            # Connections that fail together count as one failure.
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
