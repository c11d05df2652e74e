"""Life cycle of a daemon: starting, ready, draining, stopped."""

from dataclasses import dataclass
from enum import Enum

from sesametrack.contracts.types import Instant, Seconds


class Stage(Enum):
    """Where a daemon is in its life."""

    starting = 'starting'
    ready = 'ready'
    draining = 'draining'
    stopped = 'stopped'


@dataclass(slots=True)
class Lifecycle:
    """Decides readiness, and when a graceful shutdown is finished.

    After a stop was requested the daemon keeps accepting for
    `unready_delay` seconds, until the balancer has seen it unready; it
    stops once idle, and at the latest after `stop_timeout` seconds.
    """

    unready_delay: Seconds
    stop_timeout: Seconds
    stage: Stage = Stage.starting
    stop_requested_at: Instant | None = None
    has_configuration: bool = False
    is_joined: bool = False
    is_out_of_service: bool = False

    def request_stop(self, now: Instant) -> bool:
        """Begin to drain; False if that was asked before."""
        if self.stop_requested_at is not None:
            return False
        self.stop_requested_at = now
        self.stage = Stage.draining
        return True

    def mark_configured(self) -> None:
        """Note that a configuration is in force."""
        self.has_configuration = True

    def mark_joined(self) -> None:
        """Note that this daemon knows its peers well enough to serve."""
        self.is_joined = True
        if self.stage is Stage.starting:
            self.stage = Stage.ready

    @property
    def is_draining(self) -> bool:
        """Tell whether a graceful shutdown has begun."""
        return self.stop_requested_at is not None

    @property
    def unready_reason(self) -> str:
        """Say why the balancer must not send work; empty when ready."""
        if self.stage is Stage.draining:
            return 'draining'
        if not self.has_configuration:
            return 'no configuration from peers or platform'
        if not self.is_joined:
            return 'joining'
        if self.is_out_of_service:
            return 'taken out of service'
        return ''

    def accepts(self, now: Instant) -> bool:
        """Tell whether new connections are still accepted."""
        if self.stop_requested_at is None:
            return True
        return now < self.stop_requested_at + self.unready_delay

    def may_exit(self, now: Instant, in_flight: int) -> bool:
        """Tell whether a draining daemon may close its links."""
        if self.stop_requested_at is None or self.accepts(now):
            return False
        is_late = now >= self.stop_requested_at + self.stop_timeout
        return in_flight == 0 or is_late
