"""Requests under which upstreams have ended, as all VMs have seen it.

A request that crashes each upstream that runs it comes again, with another id,
at any VM. No VM sees all of its runs, so VMs exchange what they know: a ledger
is a union of observations, which may arrive late, twice or in any order.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from msgspec import Struct

from sesametrack.contracts.types import (
    Fingerprint,
    Instant,
    Milliseconds,
    Seconds,
    UpstreamId,
)

# A request is quarantined once this many upstreams have ended under it, one
# after the other, without a success of the same request.
_ENDS_TO_QUARANTINE = 3
# A request that runs is not sent again after this many.
_ENDS_TO_HOLD_BACK = 2
_RECORD_TIME: Seconds = 300
# How long the news that a request has succeeded is repeated.
_CLEARANCE_TIME: Seconds = 10
# A request that has succeeded so recently is not what ended an upstream.
_SUCCESS_TIME: Seconds = 10
_MAX_SUCCESSES = 4096
# How long a change is told at short intervals, and how long at all unless it
# is a quarantine.
_CHANGE_TIME: Seconds = 2
_NEWS_TIME: Seconds = 10
# News of one clearance seem later by the time that their messages take.
_SAME_CLEARANCE_TIME: Seconds = 0.5
_MAX_RECORDS = 1024
_MAX_ENDS = 6
# Incarnations whose end a quarantined request explains.
_MAX_EXPLAINED = 512
_NEVER: Instant = float('-inf')

_Incarnation = tuple[UpstreamId, Milliseconds]


class Standing(Enum):
    """What the ledger says of a request."""

    clear = 'clear'
    # Upstreams have ended under it; others may have caused that.
    suspect = 'suspect'
    quarantined = 'quarantined'


class EndNews(Struct, frozen=True, array_like=True):
    """An upstream that ended while it had a request.

    The ages are the times since the request was sent to it and since it
    ended; VMs have no common clock.
    """

    upstream: UpstreamId
    started_ms: Milliseconds
    sent_age: Seconds
    ended_age: Seconds


class CrashNews(Struct, frozen=True, array_like=True):
    """What one VM knows of a request under which upstreams have ended.

    `quarantined_age` is the time since it was quarantined, `cleared_age` the
    time since it was last known to succeed; each is None if it never was.
    """

    fingerprint: Fingerprint
    ends: list[EndNews]
    quarantined_age: Seconds | None = None
    cleared_age: Seconds | None = None


@dataclass(frozen=True, slots=True)
class UpstreamEnd:
    """An upstream that ended while it had a request, on this VM's clock."""

    incarnation: _Incarnation
    sent_at: Instant
    ended_at: Instant


@dataclass(slots=True)
class _Record:
    changed_at: Instant
    ends: list[UpstreamEnd] = field(default_factory=list)
    quarantined_at: Instant = _NEVER
    cleared_at: Instant = _NEVER

    @property
    def standing(self) -> Standing:
        """Return what this record makes of the request."""
        if self.quarantined_at > _NEVER:
            return Standing.quarantined
        return Standing.suspect if self.ends else Standing.clear

    def consecutive_ends(self) -> list[UpstreamEnd]:
        """Return ends of which each one's send followed the one before.

        Upstreams that end together, as in the failure of a whole failure
        domain, take innocent requests with them and count once.
        """
        chain: list[UpstreamEnd] = []
        for end in sorted(self.ends, key=lambda one: one.ended_at):
            if not chain or end.sent_at > chain[-1].ended_at:
                chain.append(end)
        return chain

    def add(self, end: UpstreamEnd) -> bool:
        """Add an end; return whether it was unknown and has room."""
        if end.ended_at <= self.cleared_at:
            return False
        if any(known.incarnation == end.incarnation for known in self.ends):
            return False
        if len(self.ends) >= _MAX_ENDS:
            chain = self.consecutive_ends()
            if end.sent_at <= chain[-1].ended_at:
                return False
            self.ends = chain
        self.ends.append(end)
        return True


class CrashLedger:
    """Collects ends of upstreams by request, of this VM and of others."""

    def __init__(self) -> None:
        """Start without records."""
        self._record_by_fingerprint: dict[Fingerprint, _Record] = {}
        self._succeeded_at: OrderedDict[Fingerprint, Instant] = OrderedDict()
        self._explained: OrderedDict[_Incarnation, Fingerprint] = OrderedDict()
        self._position = 0

    def standing(self, fingerprint: Fingerprint, now: Instant) -> Standing:
        """Return whether a request may be sent as usual."""
        record = self._find(fingerprint, now)
        return Standing.clear if record is None else record.standing

    def may_retry(self, fingerprint: Fingerprint, now: Instant) -> bool:
        """Return whether a running request may go to another upstream.

        The first upstream that ends under a request was probably not ended
        by it.
        """
        record = self._find(fingerprint, now)
        if record is None or record.standing is Standing.clear:
            return True
        return len(record.consecutive_ends()) < _ENDS_TO_HOLD_BACK

    def quarantined_until(self, fingerprint: Fingerprint) -> Instant:
        """Return when the quarantine of a request ends."""
        record = self._record_by_fingerprint.get(fingerprint)
        return _NEVER if record is None else record.changed_at + _RECORD_TIME

    def count(self, standing: Standing, now: Instant) -> int:
        """Return the number of requests with a standing."""
        return sum(
            1
            for record in self._record_by_fingerprint.values()
            if record.standing is standing and not _is_expired(record, now)
        )

    def record_end(
        self, fingerprint: Fingerprint, end: UpstreamEnd, now: Instant
    ) -> bool:
        """Record an end; return whether it quarantines the request."""
        if self._has_succeeded(fingerprint, now):
            return False
        if self._is_explained(fingerprint, end.incarnation):
            return False
        record = self._find(fingerprint, now) or self._create(fingerprint, now)
        if record.add(end):
            record.changed_at = now
        return self._quarantine_if_due(fingerprint, record, now)

    def record_success(self, fingerprint: Fingerprint, now: Instant) -> bool:
        """Clear a request; return whether it had been a suspect."""
        self._succeeded_at[fingerprint] = now
        self._succeeded_at.move_to_end(fingerprint)
        if len(self._succeeded_at) > _MAX_SUCCESSES:
            self._succeeded_at.popitem(last=False)
        return self.clear(fingerprint, now)

    def clear(self, fingerprint: Fingerprint, cleared_at: Instant) -> bool:
        """Drop what is known until then; return whether there was anything."""
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None or cleared_at <= record.cleared_at:
            return False
        was_clear = record.standing is Standing.clear
        record.cleared_at = cleared_at
        record.ends = [end for end in record.ends if end.ended_at > cleared_at]
        if record.quarantined_at <= cleared_at:
            record.quarantined_at = _NEVER
        if not was_clear:
            record.changed_at = cleared_at
        return not was_clear

    def has_changed(self, now: Instant) -> bool:
        """Return whether something is so new that others may not know it."""
        return any(
            now < record.changed_at + _CHANGE_TIME
            for record in self._record_by_fingerprint.values()
        )

    def news(self, limit: int, now: Instant) -> list[CrashNews]:
        """Return up to `limit` records; calls in a row return all in turn.

        Suspects that nothing was heard of for a while are left out. They were
        told when they were new, and most of them never come again.
        """
        self._expire(now)
        fingerprints = [
            fingerprint
            for fingerprint, record in self._record_by_fingerprint.items()
            if record.standing is Standing.quarantined
            or now < record.changed_at + _NEWS_TIME
        ]
        if not fingerprints:
            return []
        start = self._position % len(fingerprints)
        chosen = (fingerprints[start:] + fingerprints[:start])[:limit]
        self._position = start + len(chosen)
        return [
            _make_news(one, self._record_by_fingerprint[one], now)
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
        self._merge_clearance(item, now)
        if self._is_known(item):
            return False
        ends = [_decode_end(one, now) for one in item.ends]
        quarantined_at = _NEVER
        if item.quarantined_age is not None:
            quarantined_at = now - item.quarantined_age
        latest = max([end.ended_at for end in ends] + [quarantined_at])
        if latest <= now - _RECORD_TIME:
            return False
        record = self._find(item.fingerprint, now)
        if record is None:
            record = self._create(item.fingerprint, latest)
            if item.cleared_age is not None:
                record.cleared_at = now - item.cleared_age
        if self._has_succeeded(item.fingerprint, now):
            self.clear(item.fingerprint, now)
            return False
        for end in ends:
            is_explained = self._is_explained(item.fingerprint, end.incarnation)
            if not is_explained and record.add(end):
                record.changed_at = max(record.changed_at, end.ended_at)
        if quarantined_at > record.cleared_at:
            self._quarantine(item.fingerprint, record, quarantined_at)
            return True
        return self._quarantine_if_due(item.fingerprint, record, now)

    def _is_known(self, item: CrashNews) -> bool:
        """Return whether the news holds nothing new."""
        record = self._record_by_fingerprint.get(item.fingerprint)
        if record is None:
            return False
        if record.standing is Standing.quarantined:
            return True
        if item.quarantined_age is not None:
            return False
        known = {end.incarnation for end in record.ends}
        return all((end.upstream, end.started_ms) in known for end in item.ends)

    def _merge_clearance(self, item: CrashNews, now: Instant) -> None:
        known = self._record_by_fingerprint.get(item.fingerprint)
        if known is None or item.cleared_age is None:
            return
        cleared_at = now - max(0, item.cleared_age)
        if cleared_at > known.cleared_at + _SAME_CLEARANCE_TIME:
            self.clear(item.fingerprint, cleared_at)

    def _quarantine_if_due(
        self, fingerprint: Fingerprint, record: _Record, now: Instant
    ) -> bool:
        if record.standing is Standing.quarantined:
            return False
        if len(record.consecutive_ends()) < _ENDS_TO_QUARANTINE:
            return False
        self._quarantine(fingerprint, record, now)
        return True

    def _quarantine(
        self, fingerprint: Fingerprint, record: _Record, at: Instant
    ) -> None:
        """Quarantine a request; it explains the ends that it has seen.

        Other requests that the same incarnations had are no suspects for
        these ends any more.
        """
        record.quarantined_at = at
        record.changed_at = max(record.changed_at, at)
        record.ends = record.consecutive_ends()
        for end in record.ends:
            self._explained[end.incarnation] = fingerprint
        while len(self._explained) > _MAX_EXPLAINED:
            self._explained.popitem(last=False)
        for other, known in self._record_by_fingerprint.items():
            known.ends = [
                end
                for end in known.ends
                if not self._is_explained(other, end.incarnation)
            ]

    def _is_explained(
        self, fingerprint: Fingerprint, incarnation: _Incarnation
    ) -> bool:
        cause = self._explained.get(incarnation)
        if cause is None or cause == fingerprint:
            return False
        record = self._record_by_fingerprint.get(cause)
        return record is not None and record.standing is Standing.quarantined

    def _has_succeeded(self, fingerprint: Fingerprint, now: Instant) -> bool:
        succeeded_at = self._succeeded_at.get(fingerprint, _NEVER)
        return now < succeeded_at + _SUCCESS_TIME

    def _find(self, fingerprint: Fingerprint, now: Instant) -> _Record | None:
        record = self._record_by_fingerprint.get(fingerprint)
        return None if record is None or _is_expired(record, now) else record

    def _create(self, fingerprint: Fingerprint, now: Instant) -> _Record:
        if len(self._record_by_fingerprint) >= _MAX_RECORDS:
            # Quarantined requests stay: forgetting one lets it run again.
            oldest = min(
                self._record_by_fingerprint,
                key=lambda one: (
                    self._record_by_fingerprint[one].standing
                    is Standing.quarantined,
                    self._record_by_fingerprint[one].changed_at,
                ),
            )
            self._record_by_fingerprint.pop(oldest)
        record = _Record(now)
        self._record_by_fingerprint[fingerprint] = record
        return record

    def _expire(self, now: Instant) -> None:
        self._record_by_fingerprint = {
            fingerprint: record
            for fingerprint, record in self._record_by_fingerprint.items()
            if not _is_expired(record, now)
        }


def _is_expired(record: _Record, now: Instant) -> bool:
    is_clear = record.standing is Standing.clear
    kept = _CLEARANCE_TIME if is_clear else _RECORD_TIME
    return now >= record.changed_at + kept


def _make_news(
    fingerprint: Fingerprint, record: _Record, now: Instant
) -> CrashNews:
    is_quarantined = record.standing is Standing.quarantined
    return CrashNews(
        fingerprint,
        [
            EndNews(
                *end.incarnation,
                round(now - end.sent_at, 3),
                round(now - end.ended_at, 3),
            )
            for end in record.ends
        ],
        round(now - record.quarantined_at, 3) if is_quarantined else None,
        round(now - record.cleared_at, 3)
        if record.cleared_at > _NEVER
        else None,
    )


def _decode_end(news: EndNews, now: Instant) -> UpstreamEnd:
    return UpstreamEnd(
        (news.upstream, news.started_ms),
        now - max(0, news.sent_age),
        now - max(0, news.ended_age),
    )
