"""When a request leaves the failure domain, and how many of them do.

Traffic between domains is billed and slower. A request goes to an upstream
elsewhere if its own domain is not expected to serve it in time.
"""

from sesametrack.contracts.types import Instant, Seconds
from sesametrack.routing.directory import Upstream

# Part of the time left that the expected reply time may take. Log-normal
# service times with a spread of a third stay below 2.3 times their mean in
# 99% of requests.
_TIME_LEFT_FRACTION = 0.4
# A reply later than this many usual ones means a paused or stopped upstream.
_OVERDUE_FACTOR = 2
# Time, in expected replies, that a hedge to another domain has until its reply
# is needed.
_HEDGE_REPLIES = 3
# The part of the requests that may leave: at least what a few slow upstreams
# need, and the time in which it grows from none to all and comes back. It grows
# within a burst, and returns more slowly than upstreams recover, so that two
# domains don't take turns.
_MIN_FRACTION = 0.2
_GROWTH_TIME: Seconds = 2
_RETURN_TIME: Seconds = 5
# Returning starts when the demand is below this part of what may leave.
_HYSTERESIS = 0.5
# Weight of a request: the latest are those of a few groups of shards.
_REQUEST_WEIGHT = 1 / 16
# Growth after a pause without requests.
_MAX_STEP: Seconds = 0.1


class LeavingShare:
    """Bounds the part of a VM's requests that leaves its failure domain.

    It follows the part that would leave, slowly in both directions: what VMs
    know of upstreams elsewhere is old by the time that their requests arrive,
    and all of them may know the same.
    """

    def __init__(self) -> None:
        """Start with the least fraction."""
        self.fraction = _MIN_FRACTION
        # The parts of the latest requests that would leave, and that left.
        self._demand: float = 0
        self._left: float = 0
        self._updated_at: Instant | None = None

    def admit(self, now: Instant, *, would_leave: bool) -> bool:
        """Record a request with an upstream at home; return whether it leaves.

        It never does unless it would.
        """
        elapsed = 0.0
        if self._updated_at is not None:
            elapsed = max(0, now - self._updated_at)
        self._updated_at = now
        self._demand += _REQUEST_WEIGHT * (would_leave - self._demand)
        if self._demand > self.fraction:
            grown = min(_MAX_STEP, elapsed) / _GROWTH_TIME
            self.fraction = min(1, self.fraction + grown)
        elif self._demand < self.fraction * _HYSTERESIS:
            returned = self.fraction - elapsed / _RETURN_TIME
            self.fraction = max(_MIN_FRACTION, returned)
        leaves = would_leave and self._left < self.fraction
        self._left += _REQUEST_WEIGHT * (leaves - self._left)
        return leaves


class LeavingPolicy:
    """Decides which requests leave although their domain has an upstream."""

    def __init__(self) -> None:
        """Start while nothing leaves."""
        self.share = LeavingShare()

    def may_leave(
        self,
        home: Upstream,
        away: Upstream,
        expected_time: Seconds,
        reference_time: Seconds,
        time_left: Seconds,
        now: Instant,
    ) -> bool:
        """Return whether a request leaves `home` for the faster `away`.

        `expected_time` is that of a reply from `home`, `reference_time` the
        median of the route.
        """
        if not _has_free_slot(away, now):
            return False
        if _is_overdue(home, reference_time, now):
            return True
        would_leave = expected_time > time_left * _TIME_LEFT_FRACTION
        return self.share.admit(now, would_leave=would_leave)

    def stay(self, now: Instant) -> None:
        """Record a request whose own domain is the fastest."""
        self.share.admit(now, would_leave=False)


def latest_hedge_at(wanted_by: Instant, reply_time: Seconds) -> Instant:
    """Return when a hedge to another domain has to be sent.

    Until then the first send may be answered, and is in time.
    """
    return wanted_by - _HEDGE_REPLIES * reply_time


def _is_overdue(
    upstream: Upstream, reference_time: Seconds, now: Instant
) -> bool:
    """Return whether its load doesn't explain how late its reply is."""
    health = upstream.health
    slots = max(1, upstream.record.slots)
    usual = reference_time * max(1, health.slowness)
    usual *= 1 + health.load.reported_requests(now) / slots
    return health.oldest_attempt_age(now) > _OVERDUE_FACTOR * usual


def _has_free_slot(upstream: Upstream, now: Instant) -> bool:
    """Return whether callers of the upstream's own domain don't pay.

    Without a recent report only this VM's own sends are known.
    """
    health = upstream.health
    busy = max(health.outstanding, health.load.reported_requests(now))
    return busy < upstream.record.slots
