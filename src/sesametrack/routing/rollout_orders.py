"""Orders to move a service's traffic to upstreams of another version."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from sesametrack.contracts.types import Revision, Seconds, ServiceId


class RolloutPhase(IntEnum):
    """Phase of a roll-out; a later one is never followed by an earlier one."""

    # The version gets requests only with permits.
    trial = 0
    # Requests go to the version alone, and the others still run.
    moving = 1
    complete = 2
    rolled_back = 3

    @property
    def is_final(self) -> bool:
        """Return whether the roll-out has ended."""
        return self in {RolloutPhase.complete, RolloutPhase.rolled_back}


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An order as it lies in the store.

    `revision` is that of its last change, `created_revision` that of its
    creation. `phase` is what its status says, None if the status is missing
    or belongs to an order for another version.
    """

    service: ServiceId
    ordered_version: str
    over: Seconds
    revision: Revision
    created_revision: Revision
    phase: RolloutPhase | None = None

    @property
    def id(self) -> str:
        """Return what tells this order from others for the service."""
        return f'{self.service}/{self.ordered_version}/{self.created_revision}'

    @property
    def is_final(self) -> bool:
        """Return whether the roll-out has ended."""
        return self.phase is not None and self.phase.is_final


@dataclass(frozen=True, slots=True)
class RolloutBounds:
    """How much a version may get before it is known to be good.

    It gets at most `share` of the requests of its service since the order,
    and `slack` more.
    """

    share: float
    slack: float


class OrderPhases:
    """The phase of each order, from its status and what the judge says."""

    def __init__(self) -> None:
        """Start without orders."""
        self.order_by_service: dict[ServiceId, RolloutOrder] = {}
        self._announced_by_order: dict[str, RolloutPhase] = {}

    def apply(self, orders: Iterable[RolloutOrder]) -> list[RolloutOrder]:
        """Replace the orders; return those that were withdrawn or replaced."""
        previous = self.order_by_service
        self.order_by_service = {order.service: order for order in orders}
        ids = {order.id for order in self.order_by_service.values()}
        self._announced_by_order = {
            order_id: phase
            for order_id, phase in self._announced_by_order.items()
            if order_id in ids
        }
        return [order for order in previous.values() if order.id not in ids]

    def find(self, order_id: str) -> RolloutOrder | None:
        """Return an order by its id."""
        return next(
            (
                order
                for order in self.order_by_service.values()
                if order.id == order_id
            ),
            None,
        )

    def announce(self, order_id: str, phase: RolloutPhase) -> bool:
        """Apply what the judge says; return whether it is a later phase."""
        order = self.find(order_id)
        if order is None or phase <= self.phase(order):
            return False
        self._announced_by_order[order_id] = phase
        return not order.is_final

    def phase(self, order: RolloutOrder) -> RolloutPhase:
        """Return the phase of an order; a final status outranks the judge."""
        if order.is_final:
            return order.phase
        announced = self._announced_by_order.get(order.id, RolloutPhase.trial)
        return max(order.phase or RolloutPhase.trial, announced)
