"""How long messages to the VMs of other failure domains take."""

from sesametrack.contracts.types import FailureDomainId, Instant, Seconds
from sesametrack.routing.directory import Upstream

# An aggregator acknowledges a sub-gather before it starts any work; one that
# does not is stopped or disconnected. A network path inside a failure domain
# takes less than a millisecond, opening a connection two more.
ACK_TIMEOUT: Seconds = 0.02
# Round trip to assume for acknowledgements from a domain that has sent none:
# that between two regions.
_UNKNOWN_ROUND_TRIP: Seconds = 0.04
# A shorter time than the estimate is taken as it is, a longer one by this
# fraction: most of it is the other VM's own delay.
_RISE_FRACTION = 0.005


class LinkTimes:
    """Least round trips to failure domains, from acknowledgements."""

    def __init__(self, domain: FailureDomainId) -> None:
        """Start without measurements."""
        self._domain = domain
        self._round_trip_by_domain: dict[FailureDomainId, Seconds] = {}

    def record(
        self, peer: Upstream, written_at: Instant | None, now: Instant
    ) -> None:
        """Record an acknowledgement of a request to another VM."""
        domain = peer.record.failure_domain
        if written_at is None:
            return
        elapsed = max(0, now - written_at)
        known = self._round_trip_by_domain.get(domain, elapsed)
        if elapsed > known:
            elapsed = known + _RISE_FRACTION * (elapsed - known)
        self._round_trip_by_domain[domain] = elapsed

    def round_trip(self, domain: FailureDomainId) -> Seconds:
        """Return what the link adds to a round trip; 0 if it is unknown.

        The other VM's own time is in acknowledgements of the own domain too.
        """
        acknowledged = self._round_trip_by_domain.get(domain, 0)
        inside = self._round_trip_by_domain.get(self._domain, 0)
        return max(0, acknowledged - inside)

    def ack_timeout(self, peer: Upstream) -> Seconds:
        """Return how long an acknowledgement may take after the write."""
        domain = peer.record.failure_domain
        if domain == self._domain:
            return ACK_TIMEOUT
        known = self._round_trip_by_domain.get(domain, _UNKNOWN_ROUND_TRIP)
        return ACK_TIMEOUT + known
