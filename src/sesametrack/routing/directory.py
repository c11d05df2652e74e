"""Directory of the upstreams that are listed in the store."""

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
from sesametrack.routing.rate_limits import RateLimit
from sesametrack.routing.rollout_orders import RolloutOrder, RolloutPhase
from sesametrack.routing.version_gate import VersionGate

# Entries that expired during a store outage are written again within two
# seconds of its end; upstreams that are still missing then have stopped.
_MISSING_GRACE_PERIOD: Seconds = 2.2
# A restored copy of the store is seconds old; older removals are in it.
_MAX_COPY_AGE: Seconds = 60
# Upstreams that are alive write their entries again well within this time.
_RESTORE_TIME: Seconds = 10
# A peer's report of an unreachable service holds until the next request is
# likely to have returned another one.
_PEER_UNREACHABLE_TTL: Seconds = 1


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """An upstream's entry in the store, written by the upstream itself.

    `cold_left` is the remaining time of its cold start. `sequence` orders
    the entries of one incarnation, `started_ms` the incarnations.
    """

    id: UpstreamId
    service: ServiceId
    address: Address
    failure_domain: FailureDomainId
    slots: int
    is_draining: bool
    cold_left: Seconds
    sequence: int
    started_ms: int
    # Of its software; empty if unknown.
    version: str = ''


@dataclass(slots=True)
class Upstream:
    """A listed upstream and its health as measured by this VM.

    `expires_at` is set while the upstream is missing from the store after
    an outage. `is_replaced` is set once no request may be sent to it any
    more, because it was removed or another upstream has its address.
    `leaving_since` is when this VM heard that the upstream itself has said
    that it leaves: no entry of this incarnation takes that back. `trial` is
    the order of which each send needs a permit, empty for none.
    """

    record: UpstreamRecord
    cold_until: Instant
    expires_at: Instant | None = None
    is_replaced: bool = False
    leaving_since: Instant | None = None
    trial: str = ''
    health: UpstreamHealth = field(default_factory=UpstreamHealth)
    rate_limit: RateLimit = field(default_factory=RateLimit)

    @property
    def is_leaving(self) -> bool:
        """Return whether the upstream has said that it leaves."""
        return self.leaving_since is not None

    def record_leaving(self, now: Instant) -> None:
        """Record that the upstream has said that it leaves."""
        if self.leaving_since is None:
            self.leaving_since = now

    @property
    def id(self) -> UpstreamId:
        """Return the id of the upstream."""
        return self.record.id


@dataclass(frozen=True, slots=True)
class _RemovedUpstream:
    record: UpstreamRecord
    at: Instant


class UpstreamDirectory:
    """Index of the listed upstreams by id and by service.

    A restarted upstream is a new one, even under the same id: it does not
    inherit the health of the previous incarnation.
    """

    def __init__(self) -> None:
        """Create an empty directory; `apply_listing` fills it."""
        self.by_id: dict[UpstreamId, Upstream] = {}
        self.evacuated: frozenset[FailureDomainId] = frozenset()
        self.has_listing = False
        # None if versions make no difference.
        self.gate: VersionGate | None = None
        # Counts changes of which upstreams may get requests, and where.
        self.changes = 0
        self._by_service: dict[ServiceId, list[Upstream]] = {}
        self._unreachable_from_peers_until: dict[ServiceId, Instant] = {}
        self._removed_by_id: dict[UpstreamId, _RemovedUpstream] = {}
        self._restored_until: Instant = float('-inf')

    def usable(self, service: ServiceId) -> list[Upstream]:
        """Return the upstreams of a service that may get new requests."""
        usable = [
            upstream
            for upstream in self._by_service.get(service, ())
            if not upstream.record.is_draining
            and not upstream.is_leaving
            and not upstream.is_replaced
            and upstream.record.failure_domain not in self.evacuated
        ]
        if self.has_rollout(service):
            return self._of_allowed_versions(service, usable)
        return usable

    def has_rollout(self, service: ServiceId) -> bool:
        """Return whether some version of a service is held or on trial."""
        return self.gate is not None and not self.gate.is_open(service)

    def of_service(self, service: ServiceId) -> list[Upstream]:
        """Return all listed upstreams of a service."""
        return list(self._by_service.get(service, ()))

    def apply_rollouts(self, orders: list[RolloutOrder], now: Instant) -> None:
        """Replace the orders that decide which versions are usable."""
        before = set(self.gate.phases.order_by_service)
        self.gate.apply_orders(orders, now)
        for service in before | set(self.gate.phases.order_by_service):
            self._update_versions(service, now)

    def apply_phase(
        self, order_id: str, phase: RolloutPhase, now: Instant
    ) -> bool:
        """Apply what the judge says; return whether it is news."""
        order = self.gate.phases.find(order_id)
        if order is None or not self.gate.phases.announce(order_id, phase):
            return False
        self._update_versions(order.service, now)
        return True

    def settle_versions(self, now: Instant) -> None:
        """Update the services whose versions are not all in use."""
        for service in self.gate.unsettled:
            self._update_versions(service, now)

    def mark_unreachable_from_peers(
        self, services: Iterable[ServiceId], now: Instant
    ) -> None:
        """Record that another VM reaches no upstream of these services."""
        for service in services:
            self._unreachable_from_peers_until[service] = (
                now + _PEER_UNREACHABLE_TTL
            )

    def is_unreachable_from_peers(
        self, service: ServiceId, now: Instant
    ) -> bool:
        """Return whether another VM recently reached no upstream of it."""
        return now < self._unreachable_from_peers_until.get(service, now)

    def apply_listing(
        self,
        records: Iterable[UpstreamRecord],
        now: Instant,
        *,
        is_after_outage: bool,
    ) -> list[UpstreamId]:
        """Apply a complete listing; return the ids of removed upstreams.

        After an outage of the store, missing upstreams are kept for a grace
        period, because their entries may be written again.
        """
        self.has_listing = True
        by_id = {record.id: record for record in records}
        for record in by_id.values():
            self.apply_record(record, now)
        missing = [listed for listed in self.by_id if listed not in by_id]
        return [
            upstream_id
            for upstream_id in missing
            if self.apply_removal(
                upstream_id, now, is_after_outage=is_after_outage
            )
        ]

    def apply_record(self, record: UpstreamRecord, now: Instant) -> bool:
        """Apply one entry; return whether it adds a new incarnation."""
        current = self.by_id.get(record.id)
        is_update = current is not None and _is_same_incarnation(
            current.record, record
        )
        if is_update:
            if record.sequence < current.record.sequence:
                return False
            if _is_placed_anew(current.record, record):
                self.changes += 1
            current.record = record
            current.expires_at = None
            if record.cold_left > 0:
                current.cold_until = now + record.cold_left
            return False
        if (
            current is not None
            and record.started_ms < current.record.started_ms
        ):
            return False
        if current is not None:
            self._drop(record.id, now)
        elif self._is_older_copy(record, now):
            return False
        self.changes += 1
        upstream = Upstream(record, now + record.cold_left)
        self.by_id[record.id] = upstream
        self._by_service.setdefault(record.service, []).append(upstream)
        self._update_versions(record.service, now)
        return True

    def apply_removal(
        self, upstream_id: UpstreamId, now: Instant, *, is_after_outage: bool
    ) -> bool:
        """Remove an upstream; return whether it was removed.

        After an outage it is only marked as missing, and `expire` removes
        it later.
        """
        upstream = self.by_id.get(upstream_id)
        if upstream is None:
            return False
        if is_after_outage:
            if upstream.expires_at is None:
                upstream.expires_at = now + _MISSING_GRACE_PERIOD
            return False
        self._drop(upstream_id, now)
        return True

    def expire(self, now: Instant) -> list[UpstreamId]:
        """Remove upstreams whose grace period is over; return their ids."""
        expired = [
            upstream.id
            for upstream in self.by_id.values()
            if upstream.expires_at is not None and upstream.expires_at <= now
        ]
        for upstream_id in expired:
            self._drop(upstream_id, now)
        return expired

    def record_restore(self, now: Instant) -> None:
        """Record that listings may come from an older copy for a while.

        Meanwhile, upstreams that were removed before are not added again by
        the entries that they had then.
        """
        self._restored_until = now + _RESTORE_TIME

    def mark_replaced(self, upstream_id: UpstreamId) -> None:
        """Record that another upstream responds at this one's address."""
        upstream = self.by_id.get(upstream_id)
        if upstream is not None:
            self.changes += 1
            upstream.is_replaced = True

    def _is_older_copy(self, record: UpstreamRecord, now: Instant) -> bool:
        """Return whether an entry is one that was removed before a restore."""
        removed = self._removed_by_id.get(record.id)
        if removed is None or now >= self._restored_until:
            return False
        known = removed.record
        return (record.started_ms, record.sequence) <= (
            known.started_ms,
            known.sequence,
        )

    def _drop(self, upstream_id: UpstreamId, now: Instant) -> None:
        upstream = self.by_id.pop(upstream_id)
        self._removed_by_id = {
            removed_id: removed
            for removed_id, removed in self._removed_by_id.items()
            if now < removed.at + _MAX_COPY_AGE
        }
        self._removed_by_id[upstream_id] = _RemovedUpstream(
            upstream.record, now
        )
        self.changes += 1
        # Exchanges in flight still hold the object and must not send to it.
        upstream.is_replaced = True
        self._by_service[upstream.record.service].remove(upstream)
        self._update_versions(upstream.record.service, now)

    def _update_versions(self, service: ServiceId, now: Instant) -> None:
        if self.gate is not None:
            self.gate.update(service, self._by_service.get(service, []), now)

    def _of_allowed_versions(
        self, service: ServiceId, upstreams: list[Upstream]
    ) -> list[Upstream]:
        """Return the upstreams that an unfinished roll-out leaves."""
        preferred = self.gate.preferred(service)
        allowed = [
            one
            for one in upstreams
            if self.gate.allows(service, one.record.version)
        ]
        chosen = [one for one in allowed if one.record.version == preferred]
        if any(not one.health.is_unreachable for one in chosen):
            return chosen
        return allowed


def _is_same_incarnation(
    current: UpstreamRecord, record: UpstreamRecord
) -> bool:
    return (
        current.started_ms == record.started_ms
        and current.address == record.address
        and current.service == record.service
    )


def _is_placed_anew(current: UpstreamRecord, record: UpstreamRecord) -> bool:
    return (
        current.is_draining != record.is_draining
        or current.failure_domain != record.failure_domain
    )
