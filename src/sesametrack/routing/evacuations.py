"""Failure domains that must get no requests."""

from sesametrack.contracts.types import FailureDomainId, Instant, Seconds

# Time in which operators write again what a restored store has lost.
_REWRITE_TIME: Seconds = 5


class EvacuatedDomains:
    """The listed evacuations, and those that a restored store may have lost."""

    def __init__(self) -> None:
        """Start without evacuations."""
        self._listed: frozenset[FailureDomainId] = frozenset()
        self._kept: frozenset[FailureDomainId] = frozenset()
        self._kept_until: Instant = float('-inf')

    def apply(self, domains: frozenset[FailureDomainId]) -> None:
        """Replace the listed evacuations."""
        self._listed = domains

    def record_restore(self, now: Instant) -> None:
        """Keep the present evacuations until they could be written again."""
        self._kept = self.current(now)
        self._kept_until = now + _REWRITE_TIME

    def current(self, now: Instant) -> frozenset[FailureDomainId]:
        """Return the failure domains that must get no requests."""
        if now >= self._kept_until:
            return self._listed
        return self._listed | self._kept
