"""How many permits an order may have, whoever issues them."""

from sesametrack.contracts.types import Instant, Seconds
from sesametrack.routing.rollout_orders import RolloutBounds

# The rest is for the move to the new version, when all traffic goes there
# and the roll-out may still be taken back.
_TRIAL_PART = 0.5
# Part of the slack that may be used at once.
_FIRST_PART = 0.3
# As many requests as the version gets must go to the others, with which it is
# compared; a few may come first.
_COMPARED_PART = 0.5
_FIRST_PERMITS = 6
# Permits that one write of the lease reserves, at least, and as a part of
# what is allowed by then.
_MIN_RESERVATION = 8
_RESERVED_PART = 0.25
# A judge that doesn't know what was spent waits for reports before it
# assumes that all that is allowed was.
_REPORT_TIME: Seconds = 2


class Exposure:
    """Permits of one order: issued, reserved in the lease, and allowed.

    No more are issued than the lease has reserved, so a successor that takes
    the reserved number for spent never allows more than the bounds.
    """

    def __init__(
        self,
        bounds: RolloutBounds,
        spent: int,
        now: Instant,
        *,
        is_known: bool,
    ) -> None:
        """Go on after a judge that may have issued `spent` permits.

        If that is not known, all permits that are allowed count as spent.
        """
        self._bounds = bounds
        self._is_known = is_known
        self._started_at = now
        self.issued = spent
        self.reserved = spent

    def allowed(self, requests: int, progress: float) -> int:
        """Return how many permits may have been issued in all.

        `progress` is the part of the time until the decision that is over.
        """
        released = _FIRST_PART + (1 - _FIRST_PART) * min(1, max(0, progress))
        total = self._bounds.slack * released + self._bounds.share * requests
        compared = _FIRST_PERMITS + _COMPARED_PART * requests
        return int(min(_TRIAL_PART * total, compared))

    def left_to_move(self, requests: int) -> float:
        """Return how many requests the bounds leave for the move."""
        total = self._bounds.slack + self._bounds.share * requests
        return max(0, total - self.reserved)

    def update(self, allowed: int, now: Instant) -> int:
        """Return how many permits the next write of the lease reserves."""
        if not self._is_known:
            self.issued = max(self.issued, allowed)
            self.reserved = max(self.reserved, self.issued)
            self._is_known = now >= self._started_at + _REPORT_TIME
            return self.reserved
        chunk = max(_MIN_RESERVATION, int(_RESERVED_PART * allowed))
        return max(self.reserved, min(allowed, self.issued + chunk))

    def needs_write(self, wanted: int) -> bool:
        """Return whether permits wait for the next write of the lease."""
        return wanted > self.reserved and self.left < _MIN_RESERVATION / 2

    def record_reserved(self, reserved: int) -> None:
        """Record that the lease was written."""
        self.reserved = max(self.reserved, reserved)

    @property
    def left(self) -> int:
        """Return how many permits may be issued before the next write."""
        return max(0, self.reserved - self.issued)

    @property
    def has_permit(self) -> bool:
        """Return whether a permit may be issued now."""
        return self._is_known and self.issued < self.reserved

    def take(self) -> bool:
        """Issue a permit; return whether there was one."""
        if not self.has_permit:
            return False
        self.issued += 1
        return True
