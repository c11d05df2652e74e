"""What an entry knows of the replicas, and the snapshot it pins."""

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

_MS: Milliseconds = 1000
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
    viewed_at: Instant = 0
    holdings: list[Holding] = field(default_factory=list)

    @property
    def is_usable(self) -> bool:
        """Tell whether new work may be sent."""
        return (
            self.is_accepting
            and self.is_gate_linked
            and not self.is_gate_stalled
            and not self.is_domain_out
        )

    def wait_ms(self, now: Instant) -> Milliseconds:
        """Expected time in the gate's queue, own recent work included.

        A queue that was reported drains as time passes.
        """
        newer = max(0, self.outstanding - self.outstanding_at_view)
        waiting = max(0, newer - max(0, self.idle_slots))
        per_request = self.service_ms / max(1, self.upstream.slots)
        elapsed_ms = (now - self.viewed_at) * _MS
        reported = max(0, self.expected_wait_ms - elapsed_ms)
        return reported + waiting * per_request


@dataclass(frozen=True, slots=True)
class ShardPlan:
    """A key range of a snapshot and the upstreams that hold it."""

    key_range: KeyRange
    replicas: tuple[UpstreamId, ...]


@dataclass(frozen=True, slots=True)
class SnapshotPlan:
    """A pinned snapshot with the shards that make up the key space."""

    snapshot: Snapshot
    shards: tuple[ShardPlan, ...]

    @property
    def uncovered_width(self) -> int:
        """Number of hashed keys that no usable replica holds."""
        return sum(
            shard.key_range.width for shard in self.shards if not shard.replicas
        )


class ReplicaTable:
    """All replicas of the inventory, kept current by views and placement."""

    def __init__(self) -> None:
        """Start empty; `configure` and `update_placement` fill the table."""
        self.replica_by_id: dict[UpstreamId, Replica] = {}
        self._service_by_id: dict[ServiceId, Service] = {}
        self._ids_by_service: dict[ServiceId, list[UpstreamId]] = {}
        self._plan_by_service: dict[ServiceId, SnapshotPlan | None] = {}
        # A new owner's view may arrive before the membership that makes it
        # the owner, so the latest view of each gate is kept.
        self._views_by_gate: dict[MemberId, dict[UpstreamId, UpstreamView]] = {}

    def configure(self, inventory: Inventory, rules: Rules) -> None:
        """Take over an inventory and rules; what is known of replicas stays."""
        known = self.replica_by_id
        out = set(rules.failure_domains_out)
        self.replica_by_id = {}
        self._ids_by_service = {}
        self._service_by_id = inventory.service_by_id
        for upstream in inventory.upstream_by_id.values():
            replica = known.get(upstream.id)
            if replica is None or replica.upstream.service != upstream.service:
                replica = Replica(upstream)
            replica.upstream = upstream
            replica.is_domain_out = upstream.failure_domain in out
            self.replica_by_id[upstream.id] = replica
            ids = self._ids_by_service.setdefault(upstream.service, [])
            ids.append(upstream.id)
        self._plan_by_service.clear()

    def update_placement(
        self, placement: Placement, linked: Iterable[MemberId]
    ) -> None:
        """Take over the owners of all upstreams and the links that are up."""
        linked_ids = set(linked)
        for replica in self.replica_by_id.values():
            gate = placement.gate_of(replica.upstream.id)
            if gate != replica.gate:
                replica.gate = gate
                self._start_over(replica)
            replica.is_gate_linked = gate is not None and gate.id in linked_ids
        self._plan_by_service.clear()

    def discard_views(self, gate: MemberId) -> None:
        """Drop a gate's views: its new session begins with all of them."""
        self._views_by_gate.pop(gate, None)

    def set_stalled_gates(self, gates: set[MemberId]) -> None:
        """Use no replica behind a stalled gate until it is heard again."""
        for replica in self.replica_by_id.values():
            gate = replica.gate
            replica.is_gate_stalled = gate is not None and gate.id in gates
        self._plan_by_service.clear()

    def update_view(
        self, view: UpstreamView, gate: MemberId, now: Instant
    ) -> None:
        """Take over what a gate says; it counts if the gate is the owner."""
        views = self._views_by_gate.setdefault(gate, {})
        known = views.get(view.upstream)
        if view.holdings is None and known is not None:
            view = replace(view, holdings=known.holdings)
        views[view.upstream] = view
        replica = self.replica_by_id.get(view.upstream)
        if replica is None or replica.gate is None or replica.gate.id != gate:
            return
        replica.viewed_at = now
        self._apply_view(replica, view)

    def _start_over(self, replica: Replica) -> None:
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

    def drop_holding(self, upstream_id: UpstreamId, snapshot: Snapshot) -> None:
        """Note that an upstream says it no longer holds a snapshot."""
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
        """Tell whether the inventory lists a service."""
        return service in self._service_by_id

    def is_sharded(self, service: ServiceId) -> bool:
        """Tell whether a service has more than one shard."""
        return self._service_by_id[service].is_sharded

    def has_full_coverage(self) -> bool:
        """Tell whether every service has a usable replica for each key."""
        plans = [self.plan(service) for service in self._service_by_id]
        return all(
            plan is not None and plan.uncovered_width == 0 for plan in plans
        )

    def plan(self, service: ServiceId) -> SnapshotPlan | None:
        """Pin the newest snapshot with a usable replica for every shard.

        If no snapshot is whole, the one that covers most is taken; None if
        no replica holds anything.
        """
        if service not in self._plan_by_service:
            self._plan_by_service[service] = self._make_plan(service)
        return self._plan_by_service[service]

    def expected_latency(
        self, service: ServiceId, hashed_key: int | None, now: Instant
    ) -> Seconds:
        """Return when the slowest shard is likely to have answered."""
        plan = self.plan(service)
        if plan is None:
            return 0
        slowest: Milliseconds = 0
        for shard in plan.shards:
            if hashed_key is not None and not shard.key_range.contains(
                hashed_key
            ):
                continue
            times = [
                self.replica_by_id[known].wait_ms(now)
                + self.replica_by_id[known].service_ms
                for known in shard.replicas
            ]
            slowest = max(slowest, min(times, default=0))
        return slowest / _MS

    def choose_replica(
        self, candidates: Iterable[UpstreamId], rng: Random, now: Instant
    ) -> Replica | None:
        """Choose the better of two random usable replicas."""
        usable = [
            self.replica_by_id[known]
            for known in candidates
            if known in self.replica_by_id
            and self.replica_by_id[known].is_usable
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

    def _make_plan(self, service: ServiceId) -> SnapshotPlan | None:
        holders: dict[Snapshot, dict[KeyRange, list[UpstreamId]]] = {}
        for upstream_id in self._ids_by_service.get(service, ()):
            replica = self.replica_by_id[upstream_id]
            for holding in replica.holdings:
                by_range = holders.setdefault(holding.snapshot, {})
                ids = by_range.setdefault(holding.key_range, [])
                if replica.is_usable:
                    ids.append(upstream_id)
        plans = [
            SnapshotPlan(snapshot, self._lay_out(service, snapshot, by_range))
            for snapshot, by_range in holders.items()
        ]
        if not plans:
            return None
        return min(
            plans,
            key=lambda plan: (plan.uncovered_width, -plan.snapshot.version),
        )

    def _lay_out(
        self,
        service: ServiceId,
        snapshot: Snapshot,
        by_range: dict[KeyRange, list[UpstreamId]],
    ) -> tuple[ShardPlan, ...]:
        inventory = self._service_by_id[service]
        ranges = dict(by_range)
        if inventory.partitioning == snapshot.partitioning:
            for key_range in inventory.key_range_by_shard.values():
                ranges.setdefault(key_range, [])
        chosen = _drop_overlaps(ranges)
        for gap in find_gaps(list(chosen)):
            chosen[gap] = []
        return tuple(
            ShardPlan(key_range, tuple(chosen[key_range]))
            for key_range in sorted(chosen)
        )


def _drop_overlaps(
    ranges: dict[KeyRange, list[UpstreamId]],
) -> dict[KeyRange, list[UpstreamId]]:
    """Keep ranges that share no key, those with replicas first.

    Overlapping ranges under one snapshot are a false report; to search both
    would return records twice.
    """
    chosen: dict[KeyRange, list[UpstreamId]] = {}
    for key_range in sorted(
        ranges, key=lambda known: (not ranges[known], known)
    ):
        if find_overlap([*chosen, key_range]) is None:
            chosen[key_range] = ranges[key_range]
    return chosen
