"""Detects upstreams that end under a request, and reports what follows."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from logging import getLogger

from sesametrack.contracts.types import (
    Fingerprint,
    Instant,
    Seconds,
    ServiceId,
)
from sesametrack.routing.crash_ledger import CrashLedger
from sesametrack.routing.crash_records import (
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
# All connections of a process end with it, and the network takes its time.
_SETTLING_TIME: Seconds = 0.25
_MAX_UNANSWERED_SENDS = 1000

_log = getLogger('crashes')


@dataclass(slots=True)
class UnansweredSend:
    """A send that ended without a reply, though it may have run.

    `is_overdue` if the connection stayed open, but no reply came on it.
    `address_check` is what the next connection to the upstream's address has
    shown, empty if there was none.
    """

    upstream: Upstream
    fingerprint: Fingerprint
    request_id: str
    sent_at: Instant
    ended_at: Instant
    is_overdue: bool = False
    address_check: str = ''
    is_settled: bool = False

    @property
    def silent_since(self) -> Instant:
        """Return when the upstream had ended, if it ended under the request.

        What ends an upstream does so as it runs: well before it is overdue.
        """
        if self.is_overdue:
            return (self.sent_at + self.ended_at) / 2
        return self.ended_at


class CrashWatch:
    """Decides which sends without a reply were the end of the upstream.

    A refused connection proves it. Otherwise it is presumed, unless another
    connection shows that the process goes on: what happens at the address of
    a process that has ended depends on its host.
    """

    def __init__(self, ledger: CrashLedger, metrics: Metrics) -> None:
        """Set the ledger that gets the evidence."""
        self.ledger = ledger
        self._metrics = metrics
        self._unanswered: list[UnansweredSend] = []

    def record_unanswered(self, send: UnansweredSend) -> None:
        """Keep a send until it is known whether the upstream ended."""
        self._unanswered = self._unanswered[-_MAX_UNANSWERED_SENDS:]
        self._unanswered.append(send)

    def settle(
        self, has_survived: Callable[[UnansweredSend], bool], now: Instant
    ) -> None:
        """Presume that upstreams have ended that show no sign of life."""
        if not self._unanswered:
            return
        for send in self._unanswered:
            if not send.is_settled and now >= send.ended_at + _SETTLING_TIME:
                send.is_settled = True
                self._settle(send, is_alive=has_survived(send), now=now)
        earliest = now - _MAX_DETECTION_TIME
        self._unanswered = [
            one for one in self._unanswered if one.ended_at > earliest
        ]

    def record_connection(self, upstream: Upstream, outcome: str) -> None:
        """Record what a new connection to an upstream's address has shown."""
        for send in self._unanswered:
            if send.upstream is upstream:
                send.address_check = outcome

    def record_ended(self, upstream: Upstream, now: Instant) -> None:
        """Record that an upstream's process has ended."""
        under = [one for one in self._unanswered if one.upstream is upstream]
        self._unanswered = [
            one for one in self._unanswered if one.upstream is not upstream
        ]
        for send in under:
            if now <= send.ended_at + _MAX_DETECTION_TIME:
                self._record_end(send, now, is_proven=True)

    def record_alive(self, upstream: Upstream) -> None:
        """Record a reply of an upstream."""
        self.ledger.record_alive((upstream.id, upstream.record.started_ms))

    def record_success(
        self, fingerprint: Fingerprint, service: ServiceId, now: Instant
    ) -> None:
        """Clear a request at a service that has run it to its end."""
        if self.ledger.record_success(fingerprint, service, now):
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
            if not self.ledger.knows(item.fingerprint, now):
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

    def _settle(
        self, send: UnansweredSend, *, is_alive: bool, now: Instant
    ) -> None:
        if is_alive:
            self._metrics.count('crashes.unproven')
            self._log_send('end-unproven', send)
        else:
            self._record_end(send, now, is_proven=False)

    def _record_end(
        self, send: UnansweredSend, now: Instant, *, is_proven: bool
    ) -> None:
        end = UpstreamEnd(
            (send.upstream.id, send.upstream.record.started_ms),
            send.sent_at,
            send.ended_at,
            send.upstream.record.service,
            is_proven,
        )
        is_quarantined = self.ledger.record_end(send.fingerprint, end, now)
        self._metrics.count('crashes.ends')
        self._log_send(
            'upstream-ended',
            send,
            is_proven=is_proven,
            standing=self.ledger.standing(send.fingerprint, now).value,
        )
        if is_quarantined:
            self._report_quarantine(send.fingerprint, '', now)

    def _log_send(
        self, event: str, send: UnansweredSend, **details: object
    ) -> None:
        log_event(
            _log,
            event,
            upstream=send.upstream.id,
            service=send.upstream.record.service,
            request_id=send.request_id,
            fingerprint=send.fingerprint,
            address_check=send.address_check,
            **details,
        )

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
