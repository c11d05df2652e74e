"""Orders of roll-outs in the store: decoding, and writing their status."""

from logging import getLogger
from typing import Annotated, Any

from msgspec import Meta, Struct, ValidationError, convert

from sesametrack.contracts.exceptions import (
    ConflictError,
    ObjectMissingError,
    PlatformError,
)
from sesametrack.contracts.types import Address
from sesametrack.platform.pages import StoreObject
from sesametrack.platform.store import StoreConnection
from sesametrack.routing.rollout_orders import RolloutOrder, RolloutPhase
from sesametrack.telemetry.structured_log import log_event

KIND = 'rollouts'
_RUNNING = 'running'
_MOVING = 'moving'
_STATE_BY_PHASE = {
    RolloutPhase.trial: _RUNNING,
    RolloutPhase.moving: _RUNNING,
    RolloutPhase.complete: 'complete',
    RolloutPhase.rolled_back: 'rolled_back',
}
_WARNING = 30

_log = getLogger('rollouts')


class _Order(Struct):
    service: Annotated[str, Meta(min_length=1, max_length=256)]
    target_version: Annotated[str, Meta(min_length=1, max_length=256)] | int
    over_s: Annotated[float, Meta(gt=0, le=86_400)]


class _Status(Struct):
    state: str
    target_version: str | int
    # Only of orders that are running.
    phase: str = ''


def decode_rollout(store_object: StoreObject) -> RolloutOrder | None:
    """Return an order; log an invalid one and return None."""
    meta = store_object.meta
    try:
        order = convert(store_object.spec, _Order)
    except ValidationError as error:
        _log_refused(store_object, str(error))
        return None
    if order.service != meta.name:
        _log_refused(store_object, 'it is for another service than its name')
        return None
    version = str(order.target_version)
    return RolloutOrder(
        order.service,
        version,
        order.over_s,
        meta.rev,
        meta.created_rev,
        _decode_phase(store_object.status, version),
    )


def _decode_phase(status: Any, version: str) -> RolloutPhase | None:
    try:
        found = convert(status, _Status)
    except ValidationError:
        return None
    if str(found.target_version) != version:
        return None
    if found.state == _RUNNING:
        is_moving = found.phase == _MOVING
        return RolloutPhase.moving if is_moving else RolloutPhase.trial
    return next(
        (
            phase
            for phase, state in _STATE_BY_PHASE.items()
            if state == found.state
        ),
        None,
    )


class RolloutStatusWriter:
    """Writes the status of orders, each under the condition of a revision."""

    def __init__(self, store: Address) -> None:
        """Set the store; the first write connects."""
        self._connection = StoreConnection(store)

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    @property
    def calls(self) -> int:
        """Number of calls made to the store."""
        return self._connection.calls

    async def write(
        self, order: RolloutOrder, revision: int, phase: RolloutPhase
    ) -> int | None:
        """Write the status of an order that is still at a revision.

        Return its new revision, None if it has changed or is gone. Raises
        PlatformError if the write may not have been made.
        """
        state = _STATE_BY_PHASE[phase]
        status = {'state': state, 'target_version': order.ordered_version}
        if phase is RolloutPhase.moving:
            status['phase'] = _MOVING
        try:
            return await self._connection.replace_status(
                KIND, order.service, status, revision
            )
        except (ConflictError, ObjectMissingError):
            return None
        except PlatformError as error:
            log_event(
                _log,
                'rollout-status-failed',
                _WARNING,
                order=order.id,
                state=state,
                problem=str(error),
            )
            raise


def _log_refused(store_object: StoreObject, problem: str) -> None:
    log_event(
        _log,
        'rollout-refused',
        _WARNING,
        entry=store_object.meta.name,
        revision=store_object.meta.rev,
        problem=problem,
    )
