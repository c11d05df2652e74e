"""Requests that arrive while this VM shuts down."""

from dataclasses import replace

from sesametrack.contracts.types import Instant
from sesametrack.routing.desired_state import Route
from sesametrack.routing.events import CallerRequest
from sesametrack.routing.exchanges import exchange_deadline

# A request that may be repeated is accepted if this multiple of its route's
# target latency is left, as most are answered within the target.
_MIN_TARGETS_LEFT = 2


def fit_before_stop(
    request: CallerRequest, route: Route, stops_at: Instant
) -> CallerRequest | None:
    """Return a request that is answered before this VM stops.

    Its time limit may be shorter than the caller's. None if it must be
    refused: there may be no time to answer it, and another VM can. A request
    that must not be repeated is accepted only with its whole time limit.
    """
    if exchange_deadline(request, route) <= stops_at:
        return request
    left = stops_at - request.arrived_at
    if not route.is_repeatable or left < _MIN_TARGETS_LEFT * route.target:
        return None
    return replace(request, caller_timeout=left)
