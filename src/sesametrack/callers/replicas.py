"""Replica state at an entry, and the snapshot plans built from it."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from msgspec.structs import replace

from sesametrack.contracts.inventory import Inventory, Service, Upstream
from sesametrack.contracts.members import Member
from sesametrack.contracts.messages import UpstreamView
from sesametrack.contracts.rules import Rules
from sesametrack.contracts.snapshots import (
    Holding,
    KeyRange,
    Snapshot,
    find_gaps,
    find_overlap,
)
from sesametrack.contracts.types import (
    Instant,
    MemberId,
    Milliseconds,
    Seconds,
    ServiceId,
    UpstreamId,
)
from sesametrack.failure_domains.placement import Placement

_MS_PER_SECOND: Milliseconds = 1000
_DEFAULT_SERVICE_MS: Milliseconds = 20


@dataclass(slots=True)
class Replica:
    """One upstream as seen from this entry."""

    upstream: Upstream
    gate: Member | None = None
    is_gate_linked: bool = False
    is_domain_out: bool = False
    is_gate_stalled: bool = False
    is_accepting: bool = False
    expected_wait_ms: Milliseconds = 0
    service_ms: Milliseconds = _DEFAULT_SERVICE_MS
    idle_slots: int = 1
    outstanding: int = 0
    outstanding_at_view: int = 0
    view_received_at: Instant = 0
    holdings: list[Holding] = field(default_factory=list)

    @property
    def is_usable(self) -> bool:
        """Return whether new sub-queries may be sent to the replica."""
        return (
            self.is_accepting
            and self.is_gate_linked
            and not self.is_gate_stalled
            and not self.is_domain_out
        )

    def wait_ms(self, now: Instant) -> Milliseconds:
        """Return the expected queueing time at the gate.

        The queue that the gate reported drains as time passes. Sub-queries
        sent since that report are added where they exceed the idle slots.
        """
        sent_since_view = max(0, self.outstanding - self.outstanding_at_view)
        queued = max(0, sent_since_view - max(0, self.idle_slots))
        per_request_ms = self.service_ms / max(1, self.upstream.slots)
        elapsed_ms = (now - self.view_received_at) * _MS_PER_SECOND
        reported_ms = max(0, self.expected_wait_ms - elapsed_ms)
        return reported_ms + queued * per_request_ms


@dataclass(frozen=True, slots=True)
class ShardPlan:
    """A key range of a snapshot and the upstreams that hold it."""

    key_range: KeyRange
    replicas: tuple[UpstreamId, ...]


@dataclass(frozen=True, slots=True)
class SnapshotPlan:
    """A pinned snapshot with the shards that partition the key space."""

    snapshot: Snapshot
    shards: tuple[ShardPlan, ...]

    @property
    def uncovered_width(self) -> int:
        """Number of hashed keys that no usable replica holds."""
        return sum(
            shard.key_range.width for shard in self.shards if not shard.replicas
        )


class ReplicaTable:
    """All replicas of the inventory, updated by views and placement."""

    def __init__(self) -> None:
        """Start empty; `configure` and `update_placement` fill the table."""
        self.replica_by_id: dict[UpstreamId, Replica] = {}
        self._service_by_id: dict[ServiceId, Service] = {}
        self._ids_by_service: dict[ServiceId, list[UpstreamId]] = {}
        self._plan_by_service: dict[ServiceId, SnapshotPlan | None] = {}
        # The view of a new owner may arrive before the membership update that
        # makes it the owner, so the latest views of every gate are kept.
        self._views_by_gate: dict[MemberId, dict[UpstreamId, UpstreamView]] = {}

    def configure(self, inventory: Inventory, rules: Rules) -> None:
        """Apply an inventory and rules; the state of known replicas stays."""
        previous = self.replica_by_id
        domains_out = set(rules.failure_domains_out)
        self.replica_by_id = {}
        self._ids_by_service = {}
        self._service_by_id = inventory.service_by_id
        for upstream in inventory.upstream_by_id.values():
            replica = previous.get(upstream.id)
            if replica is None or replica.upstream.service != upstream.service:
                replica = Replica(upstream)
            replica.upstream = upstream
            replica.is_domain_out = upstream.failure_domain in domains_out
            self.replica_by_id[upstream.id] = replica
            ids = self._ids_by_service.setdefault(upstream.service, [])
            ids.append(upstream.id)
        self._plan_by_service.clear()

    def update_placement(
        self, placement: Placement, linked: Iterable[MemberId]
    ) -> None:
        """Apply the owners of all upstreams and the set of live links."""
        linked_ids = set(linked)
        for replica in self.replica_by_id.values():
            gate = placement.gate_of(replica.upstream.id)
            if gate != replica.gate:
                replica.gate = gate
                self._reset_for_new_gate(replica)
            replica.is_gate_linked = gate is not None and gate.id in linked_ids
        self._plan_by_service.clear()

    def discard_views(self, gate: MemberId) -> None:
        """Discard a gate's views; its new session sends all of them again."""
        self._views_by_gate.pop(gate, None)

    def set_stalled_gates(self, gates: set[MemberId]) -> None:
        """Exclude the replicas of these gates, and of no others, from plans."""
        for replica in self.replica_by_id.values():
            gate = replica.gate
            replica.is_gate_stalled = gate is not None and gate.id in gates
        self._plan_by_service.clear()

    def update_view(
        self, view: UpstreamView, gate: MemberId, now: Instant
    ) -> None:
        """Store a gate's view, and apply it if the gate owns the upstream."""
        views = self._views_by_gate.setdefault(gate, {})
        previous = views.get(view.upstream)
        if view.holdings is None and previous is not None:
            view = replace(view, holdings=previous.holdings)
        views[view.upstream] = view
        replica = self.replica_by_id.get(view.upstream)
        if replica is None or replica.gate is None or replica.gate.id != gate:
            return
        replica.view_received_at = now
        self._apply_view(replica, view)

    def _reset_for_new_gate(self, replica: Replica) -> None:
        replica.outstanding = 0
        replica.is_accepting = False
        if replica.gate is None:
            return
        views = self._views_by_gate.get(replica.gate.id, {})
        view = views.get(replica.upstream.id)
        if view is not None:
            self._apply_view(replica, view)

    def _apply_view(self, replica: Replica, view: UpstreamView) -> None:
        replica.expected_wait_ms = view.expected_wait_ms
        replica.idle_slots = view.idle_slots
        replica.service_ms = view.service_ms
        replica.outstanding_at_view = replica.outstanding
        is_changed = replica.is_accepting != view.accepting
        replica.is_accepting = view.accepting
        if view.holdings is not None and view.holdings != replica.holdings:
            replica.holdings = view.holdings
            is_changed = True
        if is_changed:
            self._plan_by_service.pop(replica.upstream.service, None)

    def remove_holding(
        self, upstream_id: UpstreamId, snapshot: Snapshot
    ) -> None:
        """Remove a snapshot that an upstream reports as no longer held."""
        replica = self.replica_by_id.get(upstream_id)
        if replica is None:
            return
        replica.holdings = [
            holding
            for holding in replica.holdings
            if holding.snapshot != snapshot
        ]
        self._plan_by_service.pop(replica.upstream.service, None)

    def has_service(self, service: ServiceId) -> bool:
        """Return whether the inventory lists a service."""
        return service in self._service_by_id

    def is_sharded(self, service: ServiceId) -> bool:
        """Return whether a service has more than one shard."""
        return self._service_by_id[service].is_sharded

    def has_full_coverage(self) -> bool:
        """Return whether every service has a usable replica for each key."""
        plans = [self.plan(service) for service in self._service_by_id]
        return all(
            plan is not None and plan.uncovered_width == 0 for plan in plans
        )

    def plan(self, service: ServiceId) -> SnapshotPlan | None:
        """Return a plan for the newest snapshot with full coverage.

        Full coverage means a usable replica for every shard. Without such a
        snapshot, the one that covers most of the key space is pinned. Returns
        None if no replica holds any snapshot.
        """
        if service not in self._plan_by_service:
            self._plan_by_service[service] = self._build_plan(service)
        return self._plan_by_service[service]

    def expected_latency(
        self, service: ServiceId, hashed_key: int | None, now: Instant
    ) -> Seconds:
        """Return the expected time until the slowest shard answers."""
        plan = self.plan(service)
        if plan is None:
            return 0
        slowest_ms: Milliseconds = 0
        for shard in plan.shards:
            if hashed_key is not None and not shard.key_range.contains(
                hashed_key
            ):
                continue
            times_ms = [
                self.replica_by_id[upstream_id].wait_ms(now)
                + self.replica_by_id[upstream_id].service_ms
                for upstream_id in shard.replicas
            ]
            slowest_ms = max(slowest_ms, min(times_ms, default=0))
        return slowest_ms / _MS_PER_SECOND

    def choose_replica(
        self, candidates: Iterable[UpstreamId], rng: Random, now: Instant
    ) -> Replica | None:
        """Return the faster of two random usable replicas, or None."""
        usable = [
            self.replica_by_id[upstream_id]
            for upstream_id in candidates
            if upstream_id in self.replica_by_id
            and self.replica_by_id[upstream_id].is_usable
        ]
        if not usable:
            return None
        if len(usable) > 2:
            usable = rng.sample(usable, 2)
        rng.shuffle(usable)
        return min(
            usable,
            key=lambda replica: replica.wait_ms(now) + replica.service_ms,
        )

    def _build_plan(self, service: ServiceId) -> SnapshotPlan | None:
        ids_by_range_by_snapshot: dict[
            Snapshot, dict[KeyRange, list[UpstreamId]]
        ] = {}
        for upstream_id in self._ids_by_service.get(service, ()):
            replica = self.replica_by_id[upstream_id]
            for holding in replica.holdings:
                ids_by_range = ids_by_range_by_snapshot.setdefault(
                    holding.snapshot, {}
                )
                ids = ids_by_range.setdefault(holding.key_range, [])
                if replica.is_usable:
                    ids.append(upstream_id)
        plans = [
            SnapshotPlan(
                snapshot, self._build_shards(service, snapshot, ids_by_range)
            )
            for snapshot, ids_by_range in ids_by_range_by_snapshot.items()
        ]
        if not plans:
            return None
        return min(
            plans,
            key=lambda plan: (plan.uncovered_width, -plan.snapshot.version),
        )

    def _build_shards(
        self,
        service: ServiceId,
        snapshot: Snapshot,
        ids_by_range: dict[KeyRange, list[UpstreamId]],
    ) -> tuple[ShardPlan, ...]:
        inventory = self._service_by_id[service]
        ranges = dict(ids_by_range)
        if inventory.partitioning == snapshot.partitioning:
            for key_range in inventory.key_range_by_shard.values():
                ranges.setdefault(key_range, [])
        disjoint = _remove_overlaps(ranges)
        for gap in find_gaps(list(disjoint)):
            disjoint[gap] = []
        return tuple(
            ShardPlan(key_range, tuple(disjoint[key_range]))
            for key_range in sorted(disjoint)
        )


def _remove_overlaps(
    ranges: dict[KeyRange, list[UpstreamId]],
) -> dict[KeyRange, list[UpstreamId]]:
    """Return a set of disjoint ranges, preferring those with replicas.

    Overlapping ranges under one snapshot are a wrong report, and searching
    both would return records twice.
    """
    disjoint: dict[KeyRange, list[UpstreamId]] = {}
    for key_range in sorted(
        ranges, key=lambda candidate: (not ranges[candidate], candidate)
    ):
        if find_overlap([*disjoint, key_range]) is None:
            disjoint[key_range] = ranges[key_range]
    return disjoint
