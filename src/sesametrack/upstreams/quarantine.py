"""Requests suspected or convicted of crashing upstreams."""

from dataclasses import dataclass, field

from sesametrack.contracts.members import Notice
from sesametrack.contracts.types import (
    Fingerprint,
    Instant,
    Seconds,
    UpstreamId,
)

_SUSPICION_TIME: Seconds = 30
_CONVICTION_TIME: Seconds = 300
_MIN_DEATHS = 2
_MAX_ENTRIES = 4096
# Deaths that a notice carries for a convicted fingerprint.
QUARANTINED_DEATHS = 1_000_000


@dataclass(slots=True)
class _Record:
    expires: Instant
    upstreams: set[UpstreamId] = field(default_factory=set)
    has_lone_death: bool = False
    is_quarantined: bool = False


class Quarantine:
    """Counts upstream deaths for each request fingerprint.

    A death with several requests in flight makes each of them suspect and
    convicts none. A fingerprint is convicted once it was in flight at the
    death of two upstreams, at one of them alone. Any success clears a
    suspect, since a killer crashes each upstream that runs it.
    """

    def __init__(self) -> None:
        """Start without suspects."""
        self._by_fingerprint: dict[Fingerprint, _Record] = {}

    def record_crash(
        self,
        fingerprint: Fingerprint,
        upstream: UpstreamId,
        in_flight: int,
        now: Instant,
    ) -> bool:
        """Count one death; return whether it convicts the fingerprint."""
        record = self._find(fingerprint, now)
        if record is None:
            record = self._add(fingerprint, now)
        record.upstreams.add(upstream)
        record.has_lone_death = record.has_lone_death or in_flight == 1
        record.expires = max(record.expires, now + _SUSPICION_TIME)
        is_proved = (
            record.has_lone_death and len(record.upstreams) >= _MIN_DEATHS
        )
        if record.is_quarantined or not is_proved:
            return False
        record.is_quarantined = True
        record.expires = now + _CONVICTION_TIME
        return True

    def record_success(self, fingerprint: Fingerprint) -> None:
        """Clear a suspect that an upstream has run to its end."""
        record = self._by_fingerprint.get(fingerprint)
        if record is not None and not record.is_quarantined:
            self._by_fingerprint.pop(fingerprint)

    def is_suspect(self, fingerprint: Fingerprint, now: Instant) -> bool:
        """Tell whether a fingerprint must run on a canary first."""
        return self._find(fingerprint, now) is not None

    def is_quarantined(self, fingerprint: Fingerprint, now: Instant) -> bool:
        """Tell whether a fingerprint must not run at all."""
        record = self._find(fingerprint, now)
        return record is not None and record.is_quarantined

    def notices(self, now: Instant, most: int) -> list[Notice]:
        """Return notices for other members, convictions first."""
        live = [
            (fingerprint, record)
            for fingerprint, record in self._by_fingerprint.items()
            if record.expires > now
        ]
        live.sort(key=lambda pair: not pair[1].is_quarantined)
        return [
            Notice(
                fingerprint,
                QUARANTINED_DEATHS if record.is_quarantined else 1,
                int(record.expires - now),
            )
            for fingerprint, record in live[:most]
        ]

    def merge_notice(self, notice: Notice, now: Instant) -> bool:
        """Take over another member's notice; return whether it was new."""
        if notice.remaining_s <= 0:
            return False
        is_conviction = notice.deaths >= QUARANTINED_DEATHS
        record = self._find(notice.fingerprint, now)
        if record is not None and record.is_quarantined >= is_conviction:
            return False
        if record is None:
            # A suspicion that others still repeat after it was cleared here
            # would come back for ever, so only convictions are taken over.
            if not is_conviction:
                return False
            record = self._add(notice.fingerprint, now)
        record.is_quarantined = is_conviction
        record.expires = now + min(notice.remaining_s, _CONVICTION_TIME)
        return True

    def _add(self, fingerprint: Fingerprint, now: Instant) -> _Record:
        if len(self._by_fingerprint) >= _MAX_ENTRIES:
            oldest = min(
                self._by_fingerprint,
                key=lambda known: self._by_fingerprint[known].expires,
            )
            self._by_fingerprint.pop(oldest)
        record = _Record(now + _SUSPICION_TIME)
        self._by_fingerprint[fingerprint] = record
        return record

    def _find(self, fingerprint: Fingerprint, now: Instant) -> _Record | None:
        record = self._by_fingerprint.get(fingerprint)
        if record is None:
            return None
        if record.expires <= now:
            self._by_fingerprint.pop(fingerprint)
            return None
        return record
