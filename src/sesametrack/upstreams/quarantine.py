"""Quarantine of requests that crash upstreams."""

from dataclasses import dataclass, field

from sesametrack.contracts.members import QuarantineNotice
from sesametrack.contracts.types import (
    Fingerprint,
    Instant,
    Seconds,
    UpstreamId,
)

_SUSPECT_TIME: Seconds = 30
_QUARANTINE_TIME: Seconds = 300
_MIN_CRASHED_UPSTREAMS = 2
_MAX_FINGERPRINTS = 4096
# Value of `QuarantineNotice.deaths` that marks a fingerprint as quarantined.
QUARANTINED_DEATHS = 1_000_000


@dataclass(slots=True)
class _Record:
    expires: Instant
    crashed_upstreams: set[UpstreamId] = field(default_factory=set)
    has_crashed_alone: bool = False
    is_quarantined: bool = False


class Quarantine:
    """Tracks upstream crashes by request fingerprint.

    A crash makes each request that was in flight a suspect. A fingerprint is
    quarantined once it was in flight when two different upstreams crashed
    and was the only request in flight in at least one of those crashes. Any
    success clears a suspect, since a request that crashes upstreams crashes
    every upstream that runs it.
    """

    def __init__(self) -> None:
        """Create an empty quarantine."""
        self._by_fingerprint: dict[Fingerprint, _Record] = {}

    def record_crash(
        self,
        fingerprint: Fingerprint,
        upstream: UpstreamId,
        in_flight: int,
        now: Instant,
    ) -> bool:
        """Record a crash; return whether it quarantines the fingerprint."""
        record = self._find(fingerprint, now)
        if record is None:
            record = self._add(fingerprint, now)
        record.crashed_upstreams.add(upstream)
        record.has_crashed_alone = record.has_crashed_alone or in_flight == 1
        record.expires = max(record.expires, now + _SUSPECT_TIME)
        is_confirmed = (
            record.has_crashed_alone
            and len(record.crashed_upstreams) >= _MIN_CRASHED_UPSTREAMS
        )
        if record.is_quarantined or not is_confirmed:
            return False
        record.is_quarantined = True
        record.expires = now + _QUARANTINE_TIME
        return True

    def record_success(self, fingerprint: Fingerprint) -> None:
        """Clear a suspect that an upstream has run to completion."""
        record = self._by_fingerprint.get(fingerprint)
        if record is not None and not record.is_quarantined:
            self._by_fingerprint.pop(fingerprint)

    def is_suspect(self, fingerprint: Fingerprint, now: Instant) -> bool:
        """Return whether a fingerprint must first run as a canary."""
        return self._find(fingerprint, now) is not None

    def is_quarantined(self, fingerprint: Fingerprint, now: Instant) -> bool:
        """Return whether requests with a fingerprint must be refused."""
        record = self._find(fingerprint, now)
        return record is not None and record.is_quarantined

    def notices(self, now: Instant, limit: int) -> list[QuarantineNotice]:
        """Return up to `limit` notices for peers, quarantined ones first."""
        active = [
            (fingerprint, record)
            for fingerprint, record in self._by_fingerprint.items()
            if record.expires > now
        ]
        active.sort(key=lambda pair: not pair[1].is_quarantined)
        return [
            QuarantineNotice(
                fingerprint,
                QUARANTINED_DEATHS if record.is_quarantined else 1,
                int(record.expires - now),
            )
            for fingerprint, record in active[:limit]
        ]

    def merge_notice(self, notice: QuarantineNotice, now: Instant) -> bool:
        """Merge a notice from a peer; return whether it changed the state."""
        if notice.remaining_s <= 0:
            return False
        is_quarantine_notice = notice.deaths >= QUARANTINED_DEATHS
        record = self._find(notice.fingerprint, now)
        if record is not None and record.is_quarantined >= is_quarantine_notice:
            return False
        if record is None:
            # Peers may still repeat a suspicion that was cleared here, and
            # accepting it would renew it forever; so only quarantines are
            # accepted.
            if not is_quarantine_notice:
                return False
            record = self._add(notice.fingerprint, now)
        record.is_quarantined = is_quarantine_notice
        record.expires = now + min(notice.remaining_s, _QUARANTINE_TIME)
        return True

    def _add(self, fingerprint: Fingerprint, now: Instant) -> _Record:
        if len(self._by_fingerprint) >= _MAX_FINGERPRINTS:
            oldest = min(
                self._by_fingerprint,
                key=lambda candidate: self._by_fingerprint[candidate].expires,
            )
            self._by_fingerprint.pop(oldest)
        record = _Record(now + _SUSPECT_TIME)
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
