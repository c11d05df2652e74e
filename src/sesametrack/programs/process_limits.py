"""What one process may hold and open, derived from its settings."""

from collections.abc import Callable

from sesametrack.contracts.router_settings import RouterSettings
from sesametrack.contracts.settings import CallerLimits
from sesametrack.contracts.types import Instant
from sesametrack.links.held_bytes import HeldBytes
from sesametrack.links.reply_parser import MAX_SHARED_BYTES
from sesametrack.routing.byte_allowance import allowed_bytes
from sesametrack.telemetry.limit_log import LimitLog
from sesametrack.telemetry.metrics import Metrics

_MEGABYTE = 1024 * 1024
# The part of the memory that incomplete replies of upstreams may take.
_REPLY_FRACTION = 5
# Parts of the descriptors that connections of callers and of other VMs may
# take. The rest is for upstreams, the store and connections being accepted.
_CALLER_FRACTION = 2
_PEER_FRACTION = 4


class ProcessLimits:
    """Limits that all servers of a process share, and their log."""

    # Of requests for the readiness and the metrics, which have no body.
    admin = CallerLimits(max_body_bytes=4096, max_connections=32)

    def __init__(
        self,
        settings: RouterSettings,
        metrics: Metrics,
        now: Callable[[], Instant],
    ) -> None:
        """Derive the limits from the settings."""
        self.log = LimitLog(metrics, now)
        held_bytes = allowed_bytes(settings.memory_mb)
        if settings.bodies.held_mb is not None:
            held_bytes = settings.bodies.held_mb * _MEGABYTE
        self.memory = HeldBytes(held_bytes, now, self.log.record)
        self.reply_bytes = min(
            MAX_SHARED_BYTES, settings.memory_mb * _MEGABYTE // _REPLY_FRACTION
        )
        self.caller_connections = settings.max_descriptors // _CALLER_FRACTION
        self.peer_connections = settings.max_descriptors // _PEER_FRACTION
