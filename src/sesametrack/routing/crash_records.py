"""What is known of one request under which upstreams have ended."""

from dataclasses import dataclass, field
from enum import Enum

from msgspec import Struct

from sesametrack.contracts.types import (
    Fingerprint,
    Instant,
    Milliseconds,
    Seconds,
    ServiceId,
    UpstreamId,
)

# A request is quarantined once this many upstreams have ended under it, one
# after the other, without a success of the same request.
ENDS_TO_QUARANTINE = 3
# A request that runs is not sent again after this many.
ENDS_TO_HOLD_BACK = 2
# How long a record is kept, and with it a quarantine.
RECORD_TIME: Seconds = 300
# A first quarantine that rests on presumed ends is followed by a trial sooner.
_PRESUMED_QUARANTINE_TIME: Seconds = 60
# How long the news that a request has succeeded is repeated.
_CLEARANCE_TIME: Seconds = 10
# Ends that are kept and told; of services that are held, one is enough.
_MAX_ENDS = 6
# A request under which upstreams of more services end is held at all of them.
_MAX_HELD_SERVICES = 3
NEVER: Instant = float('-inf')
# Stands for all services in clearances, and in the ends that earlier versions
# tell, which don't name the service.
ALL_SERVICES: ServiceId = ''

Incarnation = tuple[UpstreamId, Milliseconds]


class Standing(Enum):
    """What is concluded about a request."""

    clear = 'clear'
    # Upstreams have ended under it; others may have caused that.
    suspect = 'suspect'
    quarantined = 'quarantined'


class EndNews(Struct, frozen=True, array_like=True):
    """An upstream that ended while it had a request.

    The ages are the times since the request was sent to it and since it
    ended; VMs have no common clock. Earlier versions don't send the service,
    and know proven ends only.
    """

    upstream: UpstreamId
    started_ms: Milliseconds
    sent_age: Seconds
    ended_age: Seconds
    service: ServiceId = ALL_SERVICES
    is_proven: bool = True


class CrashNews(Struct, frozen=True, array_like=True):
    """What one VM knows of a request under which upstreams have ended.

    `quarantined_age` is the time since it was quarantined, None if it is not.
    `answered_age` is the time since any service last answered it,
    `cleared_ages` the times since services were cleared. `cleared_age` is read
    by earlier versions only, to which a clearance is one of all services.
    """

    fingerprint: Fingerprint
    ends: list[EndNews]
    quarantined_age: Seconds | None = None
    cleared_age: Seconds | None = None
    answered_age: Seconds | None = None
    is_broad: bool = False
    cleared_ages: dict[ServiceId, Seconds] = {}


@dataclass(slots=True)
class UpstreamEnd:
    """An upstream that ended while it had a request, on this VM's clock.

    An end is proven if the address then refused a connection, and presumed if
    there was no reply and no sign of life.
    """

    incarnation: Incarnation
    sent_at: Instant
    ended_at: Instant
    service: ServiceId = ALL_SERVICES
    is_proven: bool = True


@dataclass(slots=True)
class CrashRecord:
    """Ends under one request, and its successes since."""

    changed_at: Instant
    ends: list[UpstreamEnd] = field(default_factory=list)
    quarantined_at: Instant = NEVER
    answered_at: Instant = NEVER
    cleared_at_by_service: dict[ServiceId, Instant] = field(
        default_factory=dict
    )
    # Whether upstreams of many services have ended under it.
    is_broad: bool = False

    def standing(self, now: Instant) -> Standing:
        """Return what this record makes of the request."""
        if now < self.quarantined_until:
            return Standing.quarantined
        if any(end.is_proven for end in self.ends):
            return Standing.suspect
        # A single send without a reply has many causes.
        if len(self.consecutive_ends()) >= ENDS_TO_HOLD_BACK:
            return Standing.suspect
        return Standing.clear

    @property
    def quarantined_until(self) -> Instant:
        """Return when the quarantine ends, or has ended."""
        if self.quarantined_at == NEVER:
            return NEVER
        chain = self.consecutive_ends()
        is_first = len(chain) <= ENDS_TO_QUARANTINE
        if is_first and not all(end.is_proven for end in chain):
            return self.quarantined_at + _PRESUMED_QUARANTINE_TIME
        return self.quarantined_at + RECORD_TIME

    def consecutive_ends(self) -> list[UpstreamEnd]:
        """Return ends of which each one's send followed the one before.

        Upstreams that end together, as in the failure of a whole failure
        domain, take innocent requests with them and count once.
        """
        chain: list[UpstreamEnd] = []
        for end in sorted(self.ends, key=lambda one: one.ended_at):
            # A retry is sent at the instant at which the end is seen.
            if not chain or end.sent_at >= chain[-1].ended_at:
                chain.append(end)
        return chain

    @property
    def is_whole(self) -> bool:
        """Return whether no service is known to answer the request."""
        if self.is_broad or not self.ends:
            return True
        return self.answered_at <= min(end.sent_at for end in self.ends)

    def holds(self, service: ServiceId) -> bool:
        """Return whether what the record says applies to a service."""
        return self.is_whole or self.has_ends(service)

    def has_ends(self, service: ServiceId) -> bool:
        """Return whether upstreams of a service have ended."""
        return any(_concerns(end, service) for end in self.ends)

    def add(self, end: UpstreamEnd) -> bool:
        """Add an end; return whether it says anything new."""
        if end.ended_at <= self._cleared_at(end.service):
            return False
        for known in self.ends:
            if known.incarnation == end.incarnation:
                is_news = end.is_proven and not known.is_proven
                known.is_proven = known.is_proven or end.is_proven
                return is_news
        if len(self.ends) >= _MAX_ENDS:
            chain = self.consecutive_ends()
            if end.sent_at < chain[-1].ended_at:
                return False
            self.ends = chain
        self.ends.append(end)
        services = {one.service for one in self.ends}
        self.is_broad = self.is_broad or len(services) > _MAX_HELD_SERVICES
        return True

    def clear(self, service: ServiceId, at: Instant) -> bool:
        """Drop the ends of a service until then; return whether there were any.

        A quarantine ends with the last of the ends.
        """
        if at <= self._cleared_at(service):
            return False
        self.cleared_at_by_service[service] = at
        kept = [
            end
            for end in self.ends
            if end.ended_at > at or not _concerns(end, service)
        ]
        return self._keep(kept, at, is_lifted=service == ALL_SERVICES)

    def drop(self, incarnations: set[Incarnation], at: Instant) -> None:
        """Drop the ends of incarnations that did not end under the request."""
        self._keep(
            [end for end in self.ends if end.incarnation not in incarnations],
            at,
            is_lifted=False,
        )

    def _keep(
        self, kept: list[UpstreamEnd], at: Instant, *, is_lifted: bool
    ) -> bool:
        had_any = len(kept) < len(self.ends)
        was_quarantined = self.quarantined_at > NEVER
        self.ends = kept
        if not kept:
            self.is_broad = False
        if is_lifted or (had_any and not kept):
            self.quarantined_at = NEVER
        is_changed = had_any or (is_lifted and was_quarantined)
        if is_changed:
            self.changed_at = max(self.changed_at, at)
        return is_changed

    def is_expired(self, now: Instant) -> bool:
        """Return whether the record says nothing any more."""
        is_empty = not self.ends and self.quarantined_at == NEVER
        kept = _CLEARANCE_TIME if is_empty else RECORD_TIME
        return now >= self.changed_at + kept

    def _cleared_at(self, service: ServiceId) -> Instant:
        cleared_at = self.cleared_at_by_service
        return max(
            cleared_at.get(service, NEVER), cleared_at.get(ALL_SERVICES, NEVER)
        )


def _concerns(end: UpstreamEnd, service: ServiceId) -> bool:
    return ALL_SERVICES in {end.service, service} or end.service == service


def encode_record(
    fingerprint: Fingerprint, record: CrashRecord, now: Instant
) -> CrashNews:
    """Return a record as it is told to other VMs."""
    cleared_ages = {
        service: round(now - at, 3)
        for service, at in record.cleared_at_by_service.items()
    }
    is_empty = not record.ends and record.quarantined_at == NEVER
    return CrashNews(
        fingerprint,
        [
            EndNews(
                *end.incarnation,
                round(now - end.sent_at, 3),
                round(now - end.ended_at, 3),
                end.service,
                end.is_proven,
            )
            for end in record.ends
        ],
        _encode_age(record.quarantined_at, now),
        min(cleared_ages.values(), default=None) if is_empty else None,
        _encode_age(record.answered_at, now),
        record.is_broad,
        cleared_ages,
    )


def decode_end(news: EndNews, now: Instant) -> UpstreamEnd:
    """Return an end that another VM tells."""
    return UpstreamEnd(
        (news.upstream, news.started_ms),
        now - max(0, news.sent_age),
        now - max(0, news.ended_age),
        news.service,
        news.is_proven,
    )


def decode_age(age: Seconds | None, now: Instant) -> Instant:
    """Return the instant that an age states, NEVER if there is none."""
    return NEVER if age is None else now - max(0, age)


def _encode_age(at: Instant, now: Instant) -> Seconds | None:
    return None if at == NEVER else round(now - at, 3)
