"""The upstreams that exist, as the platform lists them."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from sesametrack.contracts.types import (
    Address,
    FailureDomainId,
    Instant,
    Seconds,
    ServiceId,
    UpstreamId,
)
from sesametrack.routing.health import UpstreamHealth

# Entries that lapsed while the store was away come back within two seconds
# of its return; one that is missing after that is gone.
_LAPSE_TIME: Seconds = 2.2
# What another VM said of a service without a reachable upstream holds until
# its next request is likely to have told again.
_LOST_TIME: Seconds = 1


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """What an upstream says of itself in the store."""

    id: UpstreamId
    service: ServiceId
    address: Address
    failure_domain: FailureDomainId
    slots: int
    is_draining: bool
    cold_left: Seconds
    sequence: int
    started_ms: int


@dataclass(slots=True)
class Upstream:
    """A listed upstream and what this VM has learned of it."""

    record: UpstreamRecord
    cold_until: Instant
    vanishes_at: Instant | None = None
    is_replaced: bool = False
    health: UpstreamHealth = field(default_factory=UpstreamHealth)

    @property
    def id(self) -> UpstreamId:
        """Return the name of this incarnation."""
        return self.record.id


class UpstreamDirectory:
    """Keeps the listed upstreams by id and by service.

    An upstream that starts again, under its old id or a new one, is another
    upstream: nothing that was learned of the former one holds for it.
    """

    def __init__(self) -> None:
        """Start empty; `apply_listing` fills the directory."""
        self.by_id: dict[UpstreamId, Upstream] = {}
        self.evacuated: frozenset[FailureDomainId] = frozenset()
        self.has_listing = False
        self._by_service: dict[ServiceId, list[Upstream]] = {}
        self._unreachable_from_peers_until: dict[ServiceId, Instant] = {}

    def usable(self, service: ServiceId) -> list[Upstream]:
        """Return the upstreams of a service that may get new work."""
        return [
            upstream
            for upstream in self._by_service.get(service, ())
            if not upstream.record.is_draining
            and not upstream.is_replaced
            and upstream.record.failure_domain not in self.evacuated
        ]

    def mark_unreachable_from_peers(
        self, services: Iterable[ServiceId], now: Instant
    ) -> None:
        """Note that another VM reaches no upstream of these services."""
        for service in services:
            self._unreachable_from_peers_until[service] = now + _LOST_TIME

    def is_unreachable_from_peers(
        self, service: ServiceId, now: Instant
    ) -> bool:
        """Tell whether another VM lately reached no upstream of a service."""
        return now < self._unreachable_from_peers_until.get(service, now)

    def apply_listing(
        self,
        records: Iterable[UpstreamRecord],
        now: Instant,
        *,
        is_after_outage: bool,
    ) -> list[UpstreamId]:
        """Take over a whole list; return the ids that went.

        After an outage of the store, entries that are missing may yet come
        back, and are kept for a short while.
        """
        self.has_listing = True
        by_id = {record.id: record for record in records}
        for record in by_id.values():
            self.apply_record(record, now)
        missing = [known for known in self.by_id if known not in by_id]
        return [
            known
            for known in missing
            if self.apply_removal(known, now, is_after_outage=is_after_outage)
        ]

    def apply_record(self, record: UpstreamRecord, now: Instant) -> bool:
        """Take over one entry; return whether it is another incarnation."""
        known = self.by_id.get(record.id)
        is_same = known is not None and _is_same_start(known.record, record)
        if is_same:
            if record.sequence < known.record.sequence:
                return False
            known.record = record
            known.vanishes_at = None
            if record.cold_left > 0:
                known.cold_until = now + record.cold_left
            return False
        if known is not None and record.started_ms < known.record.started_ms:
            return False
        if known is not None:
            self._drop(record.id)
        upstream = Upstream(record, now + record.cold_left)
        self.by_id[record.id] = upstream
        self._by_service.setdefault(record.service, []).append(upstream)
        return True

    def apply_removal(
        self, upstream_id: UpstreamId, now: Instant, *, is_after_outage: bool
    ) -> bool:
        """Drop an upstream, or after an outage only mark it as missing."""
        upstream = self.by_id.get(upstream_id)
        if upstream is None:
            return False
        if is_after_outage:
            if upstream.vanishes_at is None:
                upstream.vanishes_at = now + _LAPSE_TIME
            return False
        self._drop(upstream_id)
        return True

    def expire(self, now: Instant) -> list[UpstreamId]:
        """Drop the upstreams that were missing for long enough."""
        expired = [
            upstream.id
            for upstream in self.by_id.values()
            if upstream.vanishes_at is not None and upstream.vanishes_at <= now
        ]
        for upstream_id in expired:
            self._drop(upstream_id)
        return expired

    def mark_replaced(self, upstream_id: UpstreamId) -> None:
        """Note that another upstream answers at this one's address."""
        upstream = self.by_id.get(upstream_id)
        if upstream is not None:
            upstream.is_replaced = True

    def _drop(self, upstream_id: UpstreamId) -> None:
        upstream = self.by_id.pop(upstream_id)
        # Exchanges in flight keep the object and must send it nothing more.
        upstream.is_replaced = True
        self._by_service[upstream.record.service].remove(upstream)


def _is_same_start(known: UpstreamRecord, record: UpstreamRecord) -> bool:
    return (
        known.started_ms == record.started_ms
        and known.address == record.address
        and known.service == record.service
    )
