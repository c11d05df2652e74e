"""Kinds of objects that are watched, and what their changes mean."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from sesametrack.contracts.types import (
    FailureDomainId,
    Seconds,
    ServiceId,
    UpstreamId,
)
from sesametrack.platform.decoding import (
    decode_desired_state,
    decode_upstream,
)
from sesametrack.platform.pages import StoreObject
from sesametrack.platform.rollout_objects import KIND as ROLLOUTS
from sesametrack.platform.rollout_objects import decode_rollout
from sesametrack.routing.desired_state import DesiredState
from sesametrack.routing.directory import UpstreamRecord
from sesametrack.routing.rollout_orders import RolloutOrder

UPSTREAMS = 'servers'
DESIRED_STATES = 'config'
EVACUATIONS = 'evacuations'
# The watch of the upstreams also detects that the store is unreachable, so its
# wait is well within the platform's shortest drain time (3 s).
_UPSTREAM_WAIT: Seconds = 2.5
# The store keeps 20 s of history. A watch of a quiet kind has to end before the
# writes after its start are discarded, or it would end with 410.
_DEFAULT_WAIT: Seconds = 17


class Listener(Protocol):
    """Callbacks for changes of the store's objects."""

    def on_desired_state(self, state: DesiredState) -> None:
        """Handle a version of the desired state."""

    def on_upstreams_listed(self, records: list[UpstreamRecord]) -> None:
        """Handle a complete listing of the upstreams."""

    def on_upstream_changed(self, record: UpstreamRecord) -> None:
        """Handle a new or changed entry of an upstream."""

    def on_upstream_removed(self, upstream_id: UpstreamId) -> None:
        """Handle the removal of an upstream's entry."""

    def on_evacuated(self, domains: frozenset[FailureDomainId]) -> None:
        """Handle the set of failure domains that must get no requests."""

    def on_rollouts(self, orders: list[RolloutOrder]) -> None:
        """Handle the orders of roll-outs, all of them."""

    def on_store_lost(self, kind: str, problem: str) -> None:
        """Handle the first failed call to the store for a kind of object."""

    def on_store_regained(self, kind: str) -> None:
        """Handle the first listing of a kind after failed calls."""

    def on_store_era(self, era: int, *, is_restored: bool) -> None:
        """Handle the first era of the store that is seen, and later ones.

        If it `is_restored` from an older copy, the next listing of each kind
        may lack objects, or have them as they were before.
        """


@dataclass(frozen=True, slots=True)
class WatchedKind:
    """A kind, the longest wait of its watch, and its handlers."""

    name: str
    wait: Seconds
    on_list: Callable[[list[StoreObject]], None]
    on_change: Callable[[StoreObject, bool], None]


class ObjectKinds:
    """Decodes objects of all kinds and passes them on to the listener."""

    def __init__(self, listener: Listener, *, watches_rollouts: bool) -> None:
        """Set the listener, and whether it handles orders of roll-outs."""
        self._listener = listener
        self._watches_rollouts = watches_rollouts
        self._evacuated_domains: set[FailureDomainId] = set()
        self._order_by_service: dict[ServiceId, RolloutOrder] = {}

    def watched(self) -> list[WatchedKind]:
        """Return the kinds to watch."""
        kinds = [
            WatchedKind(
                DESIRED_STATES,
                _DEFAULT_WAIT,
                self._on_desired_states_listed,
                self._on_desired_state_changed,
            ),
            WatchedKind(
                UPSTREAMS,
                _UPSTREAM_WAIT,
                self._on_upstreams_listed,
                self._on_upstream_changed,
            ),
            WatchedKind(
                EVACUATIONS,
                _DEFAULT_WAIT,
                self._on_evacuations_listed,
                self._on_evacuation_changed,
            ),
        ]
        if self._watches_rollouts:
            kinds.append(
                WatchedKind(
                    ROLLOUTS,
                    _DEFAULT_WAIT,
                    self._on_rollouts_listed,
                    self._on_rollout_changed,
                )
            )
        return kinds

    def _on_desired_states_listed(self, objects: list[StoreObject]) -> None:
        for one in objects:
            self._on_desired_state_changed(one, is_deleted=False)

    def _on_desired_state_changed(
        self, store_object: StoreObject, is_deleted: bool
    ) -> None:
        if is_deleted:
            return
        state = decode_desired_state(store_object)
        if state is not None:
            self._listener.on_desired_state(state)

    def _on_upstreams_listed(self, objects: list[StoreObject]) -> None:
        records = [decode_upstream(one) for one in objects]
        self._listener.on_upstreams_listed(
            [record for record in records if record is not None]
        )

    def _on_upstream_changed(
        self, store_object: StoreObject, is_deleted: bool
    ) -> None:
        record = None if is_deleted else decode_upstream(store_object)
        if record is None:
            self._listener.on_upstream_removed(store_object.meta.name)
        else:
            self._listener.on_upstream_changed(record)

    def _on_evacuations_listed(self, objects: list[StoreObject]) -> None:
        self._evacuated_domains = {one.meta.name for one in objects}
        self._listener.on_evacuated(frozenset(self._evacuated_domains))

    def _on_evacuation_changed(
        self, store_object: StoreObject, is_deleted: bool
    ) -> None:
        if is_deleted:
            self._evacuated_domains.discard(store_object.meta.name)
        else:
            self._evacuated_domains.add(store_object.meta.name)
        self._listener.on_evacuated(frozenset(self._evacuated_domains))

    def _on_rollouts_listed(self, objects: list[StoreObject]) -> None:
        orders = [decode_rollout(one) for one in objects]
        self._order_by_service = {
            order.service: order for order in orders if order is not None
        }
        self._listener.on_rollouts(list(self._order_by_service.values()))

    def _on_rollout_changed(
        self, store_object: StoreObject, is_deleted: bool
    ) -> None:
        order = None if is_deleted else decode_rollout(store_object)
        if order is None:
            self._order_by_service.pop(store_object.meta.name, None)
        else:
            self._order_by_service[order.service] = order
        self._listener.on_rollouts(list(self._order_by_service.values()))
