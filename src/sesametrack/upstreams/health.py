"""Whether an upstream may get new work, from several weak sources."""

from dataclasses import dataclass

from sesametrack.contracts.outcomes import Reason
from sesametrack.contracts.types import Instant, Seconds

# In-band draining holds for this long; a load report that still says
# "serving" lags behind the reply and must not undo it.
_IN_BAND_HOLD: Seconds = 5


@dataclass(slots=True)
class Health:
    """Drain state of an upstream; any one source is enough to stop work."""

    is_failure_domain_out: bool = False
    is_leaving: bool = False
    is_report_draining: bool = False
    is_gate_stopping: bool = False
    draining_until: Instant = 0
    not_owner_until: Instant = 0

    def record_in_band_drain(self, now: Instant) -> None:
        """Note that a reply said the upstream is draining."""
        self.draining_until = now + _IN_BAND_HOLD

    def refusal(self, now: Instant) -> Reason:
        """Return why no new work may start, or Reason.none."""
        if self.is_failure_domain_out:
            return Reason.failure_domain_out
        if self.is_gate_stopping or now < self.not_owner_until:
            return Reason.not_owner
        is_draining = (
            self.is_leaving
            or self.is_report_draining
            or now < self.draining_until
        )
        return Reason.draining if is_draining else Reason.none
