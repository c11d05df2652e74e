"""Serves other VMs: groups of their gathers, and requests handed on."""

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from logging import getLogger
from typing import Protocol

from sesametrack.contracts.exceptions import ProtocolError
from sesametrack.contracts.types import Instant
from sesametrack.links.caller_connection import (
    CallerConnection,
    IncomingRequest,
    OutgoingResponse,
)
from sesametrack.links.handovers import (
    HANDOVER_PATH,
    decode_handover,
    encode_handover_reply,
)
from sesametrack.links.subgathers import (
    decode_subgather_request,
    encode_missing_shards,
    encode_subgather_refusal,
    encode_subgather_reply,
)
from sesametrack.platform.headers import build_caller_response
from sesametrack.programs.active_requests import ActiveRequest
from sesametrack.programs.exchange_driver import ExchangeDriver, Readiness
from sesametrack.routing.calls import CallContext
from sesametrack.routing.canaries import QUARANTINED
from sesametrack.routing.desired_state import Route
from sesametrack.routing.events import Answer, CallerRequest, Refusal
from sesametrack.routing.exchanges import GatherExchange
from sesametrack.routing.fingerprints import compute_fingerprint
from sesametrack.routing.routes import RouteTable
from sesametrack.telemetry.metrics import Metrics
from sesametrack.telemetry.structured_log import log_event

NO_MEMORY = 'memory'
_MS_PER_SECOND = 1000
# A VM that can't reach this part of its upstreams takes no work of others.
_CUT_OFF_FRACTION = 0.75

_log = getLogger('forwarder')


class RequestStarter(Protocol):
    """Starts the exchange of a request."""

    def __call__(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        route: Route,
        encode_answer: Callable[[Answer], OutgoingResponse],
        *,
        is_handed_over: bool = False,
    ) -> None:
        """Start it; `encode_answer` encodes the answer for its recipient."""


class PeerRequests:
    """Handles the requests of other VMs while this one may take work."""

    def __init__(
        self,
        routes: RouteTable,
        context: CallContext,
        driver: ExchangeDriver,
        readiness: Readiness,
        start_request: RequestStarter,
        metrics: Metrics,
        now: Callable[[], Instant],
    ) -> None:
        """Set the routing state, and what starts requests handed on."""
        self._routes = routes
        self._context = context
        self._driver = driver
        self._readiness = readiness
        self._start_request = start_request
        self._metrics = metrics
        self._now = now

    def on_request(
        self, connection: CallerConnection, incoming: IncomingRequest
    ) -> None:
        """Handle a request of another VM."""
        if incoming.target == HANDOVER_PATH:
            self._on_handover(connection, incoming)
        else:
            self._on_subgather(connection, incoming)

    def _on_handover(
        self, connection: CallerConnection, incoming: IncomingRequest
    ) -> None:
        """Answer a caller's request that another VM can't serve."""
        try:
            request, max_attempts = decode_handover(incoming)
        except ProtocolError as error:
            log_event(_log, 'handover-refused', 30, problem=str(error))
            connection.respond(
                encode_subgather_refusal(str(error)), is_last=True
            )
            return
        route = None
        if (
            self._routes.state is not None
            and self._context.directory.has_listing
        ):
            route = self._routes.find(request.host, request.path)
        if route is None or not self._may_take_work:
            self._metrics.count('handovers.refused')
            log_event(_log, 'handover-refused', request_id=request.id)
            connection.respond(
                encode_subgather_refusal('not-ready'),
                is_last=self._readiness.is_stopping,
            )
            return
        self._metrics.count('handovers.taken')
        connection.send_processing()
        self._start_request(
            connection,
            request,
            replace(route, max_attempts=min(route.max_attempts, max_attempts)),
            partial(_encode_handover_answer, request_id=request.id),
            is_handed_over=True,
        )

    @property
    def _may_take_work(self) -> bool:
        """Return whether other VMs may rely on this one."""
        return (
            not self._readiness.is_stopping
            and self._context.directory.has_listing
            and self._driver.pace.may_take_work(self._now())
            and self._driver.pools.unreachable_fraction() < _CUT_OFF_FRACTION
        )

    def _on_subgather(
        self, connection: CallerConnection, incoming: IncomingRequest
    ) -> None:
        """Gather from the shards that another VM assigned to this one."""
        try:
            subgather = decode_subgather_request(incoming)
        except ProtocolError as error:
            log_event(_log, 'subgather-refused', 30, problem=str(error))
            connection.respond(
                encode_subgather_refusal(str(error)), is_last=True
            )
            return
        if not self._may_take_work:
            log_event(
                _log,
                'subgather-refused',
                request_id=subgather.request.id,
                is_stopping=self._readiness.is_stopping,
                is_slow=not self._driver.pace.may_take_work(self._now()),
                unreachable=round(self._driver.pools.unreachable_fraction(), 2),
            )
            connection.respond(
                encode_subgather_refusal('not-ready'),
                is_last=self._readiness.is_stopping,
            )
            return
        if not self._driver.pools.has_room_for(len(subgather.request.body)):
            connection.respond(
                encode_subgather_refusal(NO_MEMORY), is_last=False
            )
            return
        fingerprint = compute_fingerprint(subgather.request)
        ledger = self._context.ledger
        is_whole = ledger.is_whole(fingerprint, self._now())
        if is_whole and not ledger.may_retry(fingerprint, self._now()):
            connection.respond(
                encode_missing_shards(subgather.route.shards, QUARANTINED),
                is_last=False,
            )
            return
        connection.send_processing()
        exchange = GatherExchange(
            subgather.request,
            subgather.route,
            self._context,
            subgather.deadlines,
            attempts=subgather.attempts,
            is_retry=subgather.may_have_run,
            tried_by_shard=subgather.tried_by_shard,
            fingerprint=fingerprint,
        )
        self._metrics.count('subgathers.started')
        self._driver.start_request(
            ActiveRequest(
                subgather.request,
                subgather.route,
                exchange,
                connection,
                self._routes.version,
                partial(encode_subgather_reply, exchange=exchange),
                fingerprint,
                is_subgather=True,
                grant_id=subgather.grant_id,
                log_details={
                    # The time that a message takes is not included, as VMs
                    # have no common clock.
                    'sent_at_age_ms': round(
                        subgather.age_when_sent * _MS_PER_SECOND, 1
                    ),
                    'queued_ms': round(
                        (self._now() - incoming.arrived_at) * _MS_PER_SECOND, 1
                    ),
                    'max_attempts': subgather.route.max_attempts,
                },
            )
        )


def _encode_handover_answer(
    answer: Answer, request_id: str
) -> OutgoingResponse:
    return encode_handover_reply(
        build_caller_response(answer, request_id),
        has_not_run=isinstance(answer, Refusal),
    )
