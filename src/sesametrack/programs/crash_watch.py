"""Detects upstreams that end under a request, and reports what follows."""

from collections.abc import Iterable
from dataclasses import dataclass
from logging import getLogger

from sesametrack.contracts.types import (
    Fingerprint,
    Instant,
    Seconds,
    ServiceId,
)
from sesametrack.routing.crash_ledger import (
    CrashLedger,
    CrashNews,
    Standing,
    UpstreamEnd,
)
from sesametrack.routing.directory import Upstream
from sesametrack.telemetry.metrics import Metrics
from sesametrack.telemetry.structured_log import log_event

_WARNING = 30
# A process that has ended refuses connections at once. One that does so later
# may have ended for another reason than the connection that it closed.
_MAX_DETECTION_TIME: Seconds = 1
_MAX_CLOSED_SENDS = 1000

_log = getLogger('crashes')


@dataclass(slots=True)
class ClosedSend:
    """A send whose connection the upstream closed without a reply.

    `address_check` is what the next connection to its address has shown,
    empty if there was none.
    """

    upstream: Upstream
    fingerprint: Fingerprint
    request_id: str
    sent_at: Instant
    closed_at: Instant
    address_check: str = ''


class CrashWatch:
    """Decides which closed connections were the end of the upstream.

    A closed connection alone is no evidence: only a process that has ended
    refuses the next one.
    """

    def __init__(self, ledger: CrashLedger, metrics: Metrics) -> None:
        """Set the ledger that gets the evidence."""
        self.ledger = ledger
        self._metrics = metrics
        self._closed: list[ClosedSend] = []

    def record_closed(self, send: ClosedSend) -> None:
        """Keep a closed send until it is known whether the upstream ended."""
        self.expire(send.closed_at)
        self._closed = self._closed[-_MAX_CLOSED_SENDS:]
        self._closed.append(send)

    def expire(self, now: Instant) -> None:
        """Drop the closed sends whose upstream was not found to have ended."""
        earliest = now - _MAX_DETECTION_TIME
        unproven = [one for one in self._closed if one.closed_at <= earliest]
        if not unproven:
            return
        self._closed = [one for one in self._closed if one.closed_at > earliest]
        for send in unproven:
            self._metrics.count('crashes.unproven')
            log_event(
                _log,
                'end-unproven',
                upstream=send.upstream.id,
                service=send.upstream.record.service,
                request_id=send.request_id,
                fingerprint=send.fingerprint,
                address_check=send.address_check,
            )

    def record_connection(self, upstream: Upstream, outcome: str) -> None:
        """Record what a new connection to an upstream's address has shown."""
        for send in self._closed:
            if send.upstream is upstream:
                send.address_check = outcome

    def record_ended(self, upstream: Upstream, now: Instant) -> None:
        """Record that an upstream's process has ended."""
        under = [one for one in self._closed if one.upstream is upstream]
        self._closed = [
            one for one in self._closed if one.upstream is not upstream
        ]
        for send in under:
            if now <= send.closed_at + _MAX_DETECTION_TIME:
                self._record_end(send, now)

    def record_success(
        self, fingerprint: Fingerprint, service: ServiceId, now: Instant
    ) -> None:
        """Clear a request that an upstream has run to its end."""
        if self.ledger.record_success(fingerprint, now):
            self._metrics.count('crashes.cleared')
            log_event(
                _log,
                'request-cleared',
                fingerprint=fingerprint,
                service=service,
            )

    def lift(self, fingerprints: Iterable[str], now: Instant) -> None:
        """End quarantines by the operator's order."""
        for fingerprint in fingerprints:
            if self.ledger.clear(fingerprint, now):
                log_event(_log, 'quarantine-lifted', fingerprint=fingerprint)

    def merge(self, news: list[CrashNews], peer: str, now: Instant) -> None:
        """Add what another VM knows."""
        for item in news:
            if self.ledger.standing(item.fingerprint, now) is Standing.clear:
                self._report_heard(item, peer)
        for fingerprint in self.ledger.merge(news, now):
            self._report_quarantine(fingerprint, peer, now)

    def _report_heard(self, news: CrashNews, peer: str) -> None:
        if not news.ends:
            return
        self._metrics.count('crashes.heard')
        log_event(
            _log,
            'suspect-heard',
            fingerprint=news.fingerprint,
            peer=peer,
            ends=len(news.ends),
            age_s=min(end.ended_age for end in news.ends),
        )

    def _record_end(self, send: ClosedSend, now: Instant) -> None:
        end = UpstreamEnd(
            (send.upstream.id, send.upstream.record.started_ms),
            send.sent_at,
            send.closed_at,
        )
        is_quarantined = self.ledger.record_end(send.fingerprint, end, now)
        self._metrics.count('crashes.ends')
        log_event(
            _log,
            'upstream-ended',
            upstream=send.upstream.id,
            service=send.upstream.record.service,
            request_id=send.request_id,
            fingerprint=send.fingerprint,
            standing=self.ledger.standing(send.fingerprint, now).value,
        )
        if is_quarantined:
            self._report_quarantine(send.fingerprint, '', now)

    def _report_quarantine(
        self, fingerprint: Fingerprint, peer: str, now: Instant
    ) -> None:
        self._metrics.count('crashes.quarantined')
        self._metrics.gauge(
            'crashes.in-quarantine',
            self.ledger.count(Standing.quarantined, now),
        )
        log_event(
            _log,
            'request-quarantined',
            _WARNING,
            fingerprint=fingerprint,
            peer=peer,
            for_s=round(self.ledger.quarantined_until(fingerprint) - now),
        )
