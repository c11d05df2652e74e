"""Requests under which upstreams have ended, as all VMs have seen it.

A request that crashes each upstream that runs it comes again, with another id,
at any VM. No VM sees all of its runs, so VMs exchange what they know: a ledger
is a union of observations, which may arrive late, twice or in any order.
"""

from collections import OrderedDict
from collections.abc import Hashable, Iterable

from sesametrack.contracts.types import (
    Fingerprint,
    Instant,
    Seconds,
    ServiceId,
)
from sesametrack.routing.crash_records import (
    ALL_SERVICES,
    ENDS_TO_HOLD_BACK,
    ENDS_TO_QUARANTINE,
    NEVER,
    RECORD_TIME,
    CrashNews,
    CrashRecord,
    Incarnation,
    Standing,
    UpstreamEnd,
    decode_age,
    decode_end,
    encode_record,
)

# A request that has succeeded so recently is not what ended an upstream.
_SUCCESS_TIME: Seconds = 10
# Successes that are remembered, by service, and answered requests.
_MAX_SUCCESSES = 16384
_MAX_ANSWERED = 4096
# How long a change is told at short intervals, and how long at all unless it
# is a quarantine.
_CHANGE_TIME: Seconds = 2
_NEWS_TIME: Seconds = 10
# News of one clearance seem later by the time that their messages take.
_SAME_CLEARANCE_TIME: Seconds = 0.5
_MAX_RECORDS = 1024
# Incarnations whose end a quarantined request explains, and those that have
# ended under any request.
_MAX_EXPLAINED = 512
_MAX_ENDED = 4096
# Sends are written up to this time after the end of an upstream was seen.
_SAME_END_TIME: Seconds = 0.1


class CrashLedger:
    """Collects ends of upstreams by request, of this VM and of others."""

    def __init__(self) -> None:
        """Start without records."""
        self._record_by_fingerprint: dict[Fingerprint, CrashRecord] = {}
        self._succeeded_at: OrderedDict[
            tuple[Fingerprint, ServiceId], Instant
        ] = OrderedDict()
        self._answered_at: OrderedDict[Fingerprint, Instant] = OrderedDict()
        self._explained: OrderedDict[Incarnation, Fingerprint] = OrderedDict()
        self._ended_at: OrderedDict[Incarnation, Instant] = OrderedDict()
        self._position = 0

    def standing(
        self,
        fingerprint: Fingerprint,
        now: Instant,
        service: ServiceId | None = None,
    ) -> Standing:
        """Return whether a request may be sent as usual, to a service or all.

        A request that some services answer is clear at all but those whose
        upstreams have ended under it.
        """
        record = self._find(fingerprint, now)
        if record is None:
            return Standing.clear
        if service is not None and not record.holds(service):
            return Standing.clear
        return record.standing(now)

    def knows(self, fingerprint: Fingerprint, now: Instant) -> bool:
        """Return whether upstreams are known to have ended under a request."""
        record = self._find(fingerprint, now)
        return record is not None and bool(record.ends)

    def is_whole(self, fingerprint: Fingerprint, now: Instant) -> bool:
        """Return whether a request is held at all services alike."""
        record = self._find(fingerprint, now)
        return record is not None and record.is_whole

    def held_services(
        self,
        fingerprint: Fingerprint,
        services: Iterable[ServiceId],
        now: Instant,
    ) -> frozenset[ServiceId]:
        """Return the services that must not get a request as usual."""
        record = self._find(fingerprint, now)
        if record is None or record.standing(now) is Standing.clear:
            return frozenset()
        return frozenset(one for one in services if record.holds(one))

    def may_retry(
        self,
        fingerprint: Fingerprint,
        now: Instant,
        service: ServiceId | None = None,
    ) -> bool:
        """Return whether a running request may go to another upstream.

        The first upstream that ends under a request was probably not ended
        by it.
        """
        record = self._find(fingerprint, now)
        if record is None or record.standing(now) is Standing.clear:
            return True
        if service is not None and not record.holds(service):
            return True
        return len(record.consecutive_ends()) < ENDS_TO_HOLD_BACK

    def quarantined_until(self, fingerprint: Fingerprint) -> Instant:
        """Return when the quarantine of a request ends."""
        record = self._record_by_fingerprint.get(fingerprint)
        return NEVER if record is None else record.quarantined_until

    def count(self, standing: Standing, now: Instant) -> int:
        """Return the number of requests with a standing."""
        return sum(
            1
            for record in self._record_by_fingerprint.values()
            if record.standing(now) is standing and not record.is_expired(now)
        )

    def record_end(
        self, fingerprint: Fingerprint, end: UpstreamEnd, now: Instant
    ) -> bool:
        """Record an end; return whether it quarantines the request."""
        if self._has_met_successor(end) or not self._is_evidence(
            fingerprint, end, now
        ):
            return False
        record = self._find(fingerprint, now) or self._create(fingerprint, now)
        if record.add(end):
            record.changed_at = now
        return self._quarantine_if_due(fingerprint, record, now)

    def record_success(
        self, fingerprint: Fingerprint, service: ServiceId, now: Instant
    ) -> bool:
        """Clear a request at a service; return whether it was a suspect."""
        _remember(
            self._succeeded_at, (fingerprint, service), now, _MAX_SUCCESSES
        )
        _remember(self._answered_at, fingerprint, now, _MAX_ANSWERED)
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None:
            return False
        record.answered_at = now
        if not record.has_ends(service):
            # Others are told of the services that were suspected only.
            return False
        return self.clear(fingerprint, now, service)

    def record_alive(self, incarnation: Incarnation) -> None:
        """Record a reply: the incarnation, or its successor, can end again."""
        self._ended_at.pop(incarnation, None)

    def clear(
        self,
        fingerprint: Fingerprint,
        cleared_at: Instant,
        service: ServiceId = ALL_SERVICES,
    ) -> bool:
        """Drop what is known until then; return whether there was anything."""
        record = self._record_by_fingerprint.get(fingerprint)
        return record is not None and record.clear(service, cleared_at)

    def has_changed(self, now: Instant) -> bool:
        """Return whether something is so new that others may not know it."""
        return any(
            now < record.changed_at + _CHANGE_TIME
            for record in self._record_by_fingerprint.values()
        )

    def news(self, limit: int, now: Instant) -> list[CrashNews]:
        """Return up to `limit` records; calls in a row return all in turn.

        Suspects that nothing was heard of for a while are left out. They were
        told when they were new, and most of them never come again. Those of
        which more than one upstream has ended go first.
        """
        self._expire(now)
        fingerprints = [
            fingerprint
            for fingerprint, record in self._record_by_fingerprint.items()
            if record.quarantined_at > NEVER
            or now < record.changed_at + _NEWS_TIME
        ]
        if not fingerprints:
            return []
        start = self._position % len(fingerprints)
        in_turn = fingerprints[start:] + fingerprints[:start]
        urgent = [one for one in in_turn if self._is_urgent(one, now)]
        chosen = list(dict.fromkeys(urgent[: limit // 2] + in_turn))[:limit]
        self._position = start + max(1, limit - limit // 2)
        return [
            encode_record(one, self._record_by_fingerprint[one], now)
            for one in chosen
        ]

    def merge(
        self, news: Iterable[CrashNews], now: Instant
    ) -> list[Fingerprint]:
        """Add what another VM knows; return the requests it quarantines."""
        quarantined = []
        for item in news:
            if self._merge_one(item, now):
                quarantined.append(item.fingerprint)
        return quarantined

    def _merge_one(self, item: CrashNews, now: Instant) -> bool:
        self._merge_successes(item, now)
        if self._is_known(item, now):
            return False
        ends = [decode_end(one, now) for one in item.ends]
        quarantined_at = decode_age(item.quarantined_age, now)
        latest = max([end.ended_at for end in ends] + [quarantined_at])
        if latest <= now - RECORD_TIME:
            return False
        record = self._find(item.fingerprint, now)
        if record is None:
            record = self._create(item.fingerprint, latest)
            self._merge_successes(item, now)
        evidence = [
            end for end in ends if self._is_evidence(item.fingerprint, end, now)
        ]
        if evidence:
            record.is_broad = record.is_broad or item.is_broad
        for end in evidence:
            if record.add(end):
                record.changed_at = max(record.changed_at, end.ended_at)
        for end in ends:
            if self._has_succeeded(item.fingerprint, end.service, now):
                self._contradict(record, end.service, now)
        if quarantined_at > NEVER and len(evidence) == len(ends):
            return self._take_quarantine(item, record, quarantined_at, now)
        return self._quarantine_if_due(item.fingerprint, record, now)

    def _contradict(
        self, record: CrashRecord, service: ServiceId, now: Instant
    ) -> None:
        """Tell the VM that accuses a request that it succeeds here."""
        told_at = record.cleared_at_by_service.get(service, NEVER)
        if now >= told_at + _CHANGE_TIME:
            record.clear(service, now)
            record.changed_at = now

    def _take_quarantine(
        self,
        item: CrashNews,
        record: CrashRecord,
        quarantined_at: Instant,
        now: Instant,
    ) -> bool:
        lifted_at = record.cleared_at_by_service.get(ALL_SERVICES, NEVER)
        if quarantined_at <= max(lifted_at, record.quarantined_at):
            return False
        if item.ends and not record.ends:
            return False
        self._quarantine(item.fingerprint, record, quarantined_at)
        return record.standing(now) is Standing.quarantined

    def _is_known(self, item: CrashNews, now: Instant) -> bool:
        """Return whether the news has no new end and no new quarantine."""
        record = self._record_by_fingerprint.get(item.fingerprint)
        if record is None:
            return False
        if record.standing(now) is Standing.quarantined:
            return True
        if item.quarantined_age is not None:
            return False
        known = {end.incarnation for end in record.ends}
        proven = {end.incarnation for end in record.ends if end.is_proven}
        return all(
            (end.upstream, end.started_ms)
            in (proven if end.is_proven else known)
            for end in item.ends
        )

    def _merge_successes(self, item: CrashNews, now: Instant) -> None:
        record = self._record_by_fingerprint.get(item.fingerprint)
        if record is None:
            return
        answered_at = decode_age(item.answered_age, now)
        record.answered_at = max(record.answered_at, answered_at)
        for service, age in item.cleared_ages.items():
            cleared_at = decode_age(age, now)
            known_at = record.cleared_at_by_service.get(service, NEVER)
            if cleared_at > known_at + _SAME_CLEARANCE_TIME:
                record.clear(service, cleared_at)

    def _quarantine_if_due(
        self, fingerprint: Fingerprint, record: CrashRecord, now: Instant
    ) -> bool:
        if record.standing(now) is Standing.quarantined:
            return False
        chain = record.consecutive_ends()
        if len(chain) < ENDS_TO_QUARANTINE:
            return False
        if chain[-1].ended_at <= record.quarantined_at:
            # The trial after a quarantine has not ended yet.
            return False
        self._quarantine(fingerprint, record, now)
        return True

    def _quarantine(
        self, fingerprint: Fingerprint, record: CrashRecord, at: Instant
    ) -> None:
        """Quarantine a request; it explains the ends that it has seen.

        Other requests that the same incarnations had are no suspects for
        these ends any more.
        """
        record.quarantined_at = at
        record.changed_at = max(record.changed_at, at)
        record.ends = record.consecutive_ends()
        explained = {end.incarnation for end in record.ends}
        for incarnation in explained:
            _remember(self._explained, incarnation, fingerprint, _MAX_EXPLAINED)
        for known in self._record_by_fingerprint.values():
            if known.quarantined_at == NEVER:
                known.drop(explained, at)

    def _is_evidence(
        self, fingerprint: Fingerprint, end: UpstreamEnd, now: Instant
    ) -> bool:
        """Return whether the request may be what ended the upstream."""
        if self._has_succeeded(fingerprint, end.service, now):
            return False
        return not self._is_explained(fingerprint, end.incarnation)

    def _has_met_successor(self, end: UpstreamEnd) -> bool:
        """Return whether the upstream had ended before the request came.

        Then something else closes the connections to its address, or nothing
        answers there, and no request is the reason.
        """
        ended_at = self._ended_at.setdefault(end.incarnation, end.ended_at)
        if len(self._ended_at) > _MAX_ENDED:
            self._ended_at.popitem(last=False)
        return not end.is_proven and end.sent_at > ended_at + _SAME_END_TIME

    def _is_explained(
        self, fingerprint: Fingerprint, incarnation: Incarnation
    ) -> bool:
        cause = self._explained.get(incarnation)
        if cause is None or cause == fingerprint:
            return False
        record = self._record_by_fingerprint.get(cause)
        return record is not None and record.quarantined_at > NEVER

    def _has_succeeded(
        self, fingerprint: Fingerprint, service: ServiceId, now: Instant
    ) -> bool:
        succeeded_at = self._succeeded_at.get((fingerprint, service), NEVER)
        if service == ALL_SERVICES:
            succeeded_at = self._answered_at.get(fingerprint, NEVER)
        return now < succeeded_at + _SUCCESS_TIME

    def _is_urgent(self, fingerprint: Fingerprint, now: Instant) -> bool:
        record = self._record_by_fingerprint[fingerprint]
        is_new = now < record.changed_at + _CHANGE_TIME
        return is_new and record.standing(now) is not Standing.clear

    def _find(
        self, fingerprint: Fingerprint, now: Instant
    ) -> CrashRecord | None:
        record = self._record_by_fingerprint.get(fingerprint)
        return None if record is None or record.is_expired(now) else record

    def _create(self, fingerprint: Fingerprint, now: Instant) -> CrashRecord:
        if len(self._record_by_fingerprint) >= _MAX_RECORDS:
            # Quarantined requests stay: forgetting one lets it run again.
            oldest = min(self._record_by_fingerprint, key=self._eviction_order)
            self._record_by_fingerprint.pop(oldest)
        record = CrashRecord(
            now, answered_at=self._answered_at.get(fingerprint, NEVER)
        )
        self._record_by_fingerprint[fingerprint] = record
        return record

    def _eviction_order(self, fingerprint: Fingerprint) -> tuple:
        record = self._record_by_fingerprint[fingerprint]
        return (
            record.quarantined_at > NEVER,
            len(record.consecutive_ends()),
            record.changed_at,
        )

    def _expire(self, now: Instant) -> None:
        self._record_by_fingerprint = {
            fingerprint: record
            for fingerprint, record in self._record_by_fingerprint.items()
            if not record.is_expired(now)
        }


def _remember(
    memory: OrderedDict, key: Hashable, fact: Hashable, limit: int
) -> None:
    """Set the newest entry of a memory, and drop the oldest above the limit."""
    memory[key] = fact
    memory.move_to_end(key)
    if len(memory) > limit:
        memory.popitem(last=False)
