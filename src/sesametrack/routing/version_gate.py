"""Which versions of a service this VM may send to."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from sesametrack.contracts.types import Instant, Seconds, ServiceId
from sesametrack.routing.rollout_orders import (
    OrderPhases,
    RolloutOrder,
    RolloutPhase,
)

# An order may be seen later than the upstreams that it is about: relays are
# up to 2.1 s behind the store, and watches collect bursts.
HOLD_TIME: Seconds = 4


class VersionedRecord(Protocol):
    """What the gate needs of an upstream's entry."""

    version: str
    started_ms: int


class VersionedUpstream(Protocol):
    """What the gate needs of an upstream.

    The gate sets `trial` to the id of the order that requires permits.
    """

    record: VersionedRecord
    trial: str


@dataclass(slots=True)
class _Versions:
    """Versions of one service, and since when this VM knows each."""

    in_force: set[str] = field(default_factory=set)
    # In force for want of better knowledge: the version of the upstream that
    # started first, and when it did.
    assumed: str | None = None
    assumed_started_ms: float = float('inf')
    # Of orders that were rolled back or withdrawn.
    barred: set[str] = field(default_factory=set)
    first_seen: dict[str, Instant] = field(default_factory=dict)
    # None while all versions may be used.
    allowed: frozenset[str] | None = None
    preferred: str | None = None


class VersionGate:
    """Holds back upstreams of versions that are not in force.

    A version is in force if it is that of the upstream that started first,
    or if it has been known for a while without an order for it.
    """

    def __init__(self) -> None:
        """Hold new versions until the orders are known."""
        self.phases = OrderPhases()
        # Since when the orders are known, None while the store is away.
        self._listed_since: Instant | None = None
        self._versions_by_service: dict[ServiceId, _Versions] = {}

    def apply_orders(
        self, orders: Iterable[RolloutOrder], now: Instant
    ) -> None:
        """Replace the orders; `update` each service afterwards."""
        if self._listed_since is None:
            self._listed_since = now
        for withdrawn in self.phases.apply(orders):
            if not withdrawn.is_final:
                versions = self._versions(withdrawn.service)
                versions.barred.add(withdrawn.ordered_version)

    def record_orders_lost(self) -> None:
        """Record that orders may be missed from now on."""
        self._listed_since = None

    @property
    def unsettled(self) -> list[ServiceId]:
        """Services of which some version is held, on trial or preferred."""
        return [
            service
            for service, versions in self._versions_by_service.items()
            if versions.allowed is not None
        ]

    def update(
        self,
        service: ServiceId,
        upstreams: list[VersionedUpstream],
        now: Instant,
    ) -> None:
        """Decide which versions of a service are allowed."""
        order = self.phases.order_by_service.get(service)
        listed = {one.record.version for one in upstreams}
        versions = self._versions(service)
        self._note_listed(versions, listed, now)
        phase = None if order is None else self.phases.phase(order)
        self._note_order(versions, order, phase, now)
        target = None if order is None else order.ordered_version
        self._note_in_force(versions, upstreams, target, now)
        allowed = versions.in_force or {versions.assumed}
        allowed = allowed - versions.barred - {None}
        versions.preferred = None
        if phase is RolloutPhase.trial or phase is RolloutPhase.moving:
            allowed = allowed | {target}
        if phase is RolloutPhase.moving:
            versions.preferred = target
        versions.allowed = None if listed <= allowed else frozenset(allowed)
        if versions.preferred is not None:
            versions.allowed = frozenset(allowed)
        is_trial = phase is RolloutPhase.trial
        for upstream in upstreams:
            is_target = is_trial and upstream.record.version == target
            upstream.trial = order.id if is_target else ''
        if is_trial and target in listed:
            versions.allowed = frozenset(allowed)

    def is_open(self, service: ServiceId) -> bool:
        """Return whether all upstreams of a service may be used."""
        versions = self._versions_by_service.get(service)
        return versions is None or versions.allowed is None

    def allows(self, service: ServiceId, version: str) -> bool:
        """Return whether upstreams of a version may be used at all."""
        versions = self._versions_by_service.get(service)
        if versions is None or versions.allowed is None:
            return True
        return version in versions.allowed

    def preferred(self, service: ServiceId) -> str | None:
        """Return the version that alone is used while it can be reached."""
        versions = self._versions_by_service.get(service)
        return None if versions is None else versions.preferred

    def _versions(self, service: ServiceId) -> _Versions:
        return self._versions_by_service.setdefault(service, _Versions())

    def _note_listed(
        self, versions: _Versions, listed: set[str], now: Instant
    ) -> None:
        versions.first_seen = {
            version: versions.first_seen.get(version, now) for version in listed
        }
        if listed:
            versions.in_force &= listed
            if versions.assumed not in listed:
                versions.assumed = None
                versions.assumed_started_ms = float('inf')
        # Without any other version, one of a withdrawn order is better than
        # none.
        if listed and listed <= versions.barred:
            versions.barred.clear()

    def _note_order(
        self,
        versions: _Versions,
        order: RolloutOrder | None,
        phase: RolloutPhase | None,
        now: Instant,
    ) -> None:
        if order is None:
            return
        target = order.ordered_version
        if phase is RolloutPhase.rolled_back:
            versions.barred.add(target)
            return
        versions.barred.discard(target)
        if phase is not RolloutPhase.complete:
            versions.in_force.discard(target)
            if versions.assumed == target:
                versions.assumed = None
                versions.assumed_started_ms = float('inf')
            return
        if target not in versions.in_force:
            # The others stop now; what is left of them is held again.
            versions.in_force = {target}
            versions.first_seen = dict.fromkeys(versions.first_seen, now)

    def _note_in_force(
        self,
        versions: _Versions,
        upstreams: list[VersionedUpstream],
        target: str | None,
        now: Instant,
    ) -> None:
        """Add what has become known to be in force."""
        candidates = [
            one
            for one in upstreams
            if one.record.version != target
            and one.record.version not in versions.barred
        ]
        for one in candidates:
            if one.record.started_ms < versions.assumed_started_ms:
                versions.assumed = one.record.version
                versions.assumed_started_ms = one.record.started_ms
        if self._listed_since is None:
            return
        for one in candidates:
            version = one.record.version
            since = max(self._listed_since, versions.first_seen[version])
            if now >= since + HOLD_TIME:
                versions.in_force.add(version)
