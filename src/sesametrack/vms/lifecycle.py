"""Lifecycle of a daemon: starting, ready, draining, stopped."""

from dataclasses import dataclass
from enum import Enum

from sesametrack.contracts.types import Instant, Seconds


class Stage(Enum):
    """Stage of a daemon's lifecycle."""

    starting = 'starting'
    ready = 'ready'
    draining = 'draining'
    stopped = 'stopped'


@dataclass(slots=True)
class Lifecycle:
    """Determines readiness and the end of a graceful shutdown.

    After a stop request the daemon keeps accepting connections for
    `unready_delay`, until the load balancer has noticed that it is not
    ready. Then it stops as soon as it is idle, at the latest `stop_timeout`
    after the request.
    """

    unready_delay: Seconds
    stop_timeout: Seconds
    stage: Stage = Stage.starting
    stop_requested_at: Instant | None = None
    has_configuration: bool = False
    is_joined: bool = False
    is_out_of_service: bool = False

    def request_stop(self, now: Instant) -> bool:
        """Start draining; return False if it was requested before."""
        if self.stop_requested_at is not None:
            return False
        self.stop_requested_at = now
        self.stage = Stage.draining
        return True

    def mark_configured(self) -> None:
        """Record that a configuration is in force."""
        self.has_configuration = True

    def mark_joined(self) -> None:
        """Record that this daemon has joined its peers and can serve."""
        self.is_joined = True
        if self.stage is Stage.starting:
            self.stage = Stage.ready

    @property
    def is_draining(self) -> bool:
        """Return whether a graceful shutdown has begun."""
        return self.stop_requested_at is not None

    @property
    def unready_reason(self) -> str:
        """Return why this daemon is not ready; empty if it is ready."""
        if self.stage is Stage.draining:
            return 'draining'
        if not self.has_configuration:
            return 'no configuration from peers or platform'
        if not self.is_joined:
            return 'joining'
        if self.is_out_of_service:
            return 'taken out of service'
        return ''

    def accepts_connections(self, now: Instant) -> bool:
        """Return whether new connections are accepted."""
        if self.stop_requested_at is None:
            return True
        return now < self.stop_requested_at + self.unready_delay

    def may_exit(self, now: Instant, in_flight: int) -> bool:
        """Return whether a draining daemon may close its links and exit."""
        if self.stop_requested_at is None or self.accepts_connections(now):
            return False
        is_timed_out = now >= self.stop_requested_at + self.stop_timeout
        return in_flight == 0 or is_timed_out
