"""Entry of callers' requests: what is checked before anything is sent."""

from asyncio import AbstractEventLoop
from collections.abc import Callable
from functools import partial
from logging import getLogger
from typing import Protocol

from sesametrack.contracts.exceptions import RequestError
from sesametrack.contracts.types import Fingerprint, Instant, Seconds
from sesametrack.links.caller_connection import (
    CallerConnection,
    IncomingRequest,
    OutgoingResponse,
)
from sesametrack.platform.credentials import name_workspace, read_key
from sesametrack.platform.headers import (
    build_bad_request_response,
    build_caller_response,
    build_no_route_response,
    build_unauthorized_response,
    parse_caller_request,
)
from sesametrack.programs.early_requests import EarlyRequests
from sesametrack.programs.exchange_driver import Readiness
from sesametrack.programs.peer_requests import NO_MEMORY
from sesametrack.routing.desired_state import Route
from sesametrack.routing.directory import UpstreamDirectory
from sesametrack.routing.events import Answer, CallerRequest, Refusal
from sesametrack.routing.routes import RouteTable
from sesametrack.routing.stopping import fit_before_stop
from sesametrack.routing.workspaces import Workspace, Workspaces
from sesametrack.telemetry.metrics import Metrics
from sesametrack.telemetry.structured_log import log_event

_NO_STATE_RETRY_AFTER: Seconds = 0.1
# Other VMs can serve what this one refuses because it shuts down.
_STOPPING_RETRY_AFTER: Seconds = 0.02
_NO_MEMORY_RETRY_AFTER: Seconds = 0.1

_log = getLogger('forwarder')


# Obtains a request within the limit of a workspace, and calls back.
QuotaRequester = Callable[[Workspace, Callable[[Refusal | None], None]], None]


class RequestStarter(Protocol):
    """Starts the exchange of a request."""

    def __call__(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        route: Route,
        encode_answer: Callable[[Answer], OutgoingResponse],
    ) -> None:
        """Start it; `encode_answer` encodes the answer for its recipient."""


class RequestEntry:
    """Finds the route and the workspace of each request, or refuses it."""

    def __init__(
        self,
        routes: RouteTable,
        workspaces: Workspaces,
        directory: UpstreamDirectory,
        readiness: Readiness,
        start_request: RequestStarter,
        has_room_for: Callable[[int], bool],
        metrics: Metrics,
        loop: AbstractEventLoop,
        now: Callable[[], Instant],
    ) -> None:
        """Set what decides, and what starts the requests that may run.

        `has_room_for` returns whether a body of a number of bytes may be sent.
        """
        self._routes = routes
        self._workspaces = workspaces
        self._directory = directory
        self._readiness = readiness
        self._start_request = start_request
        self._has_room_for = has_room_for
        self._metrics = metrics
        self._now = now
        self._request_quota: QuotaRequester | None = None
        self._early_requests = EarlyRequests(
            self.on_request, self._refuse_early, loop, now
        )
        self.waiting_count = 0

    def start(self, request_quota: QuotaRequester) -> None:
        """Set what obtains a request within a workspace's limit."""
        self._request_quota = request_quota

    def on_request(
        self, connection: CallerConnection, incoming: IncomingRequest
    ) -> None:
        """Handle one complete request."""
        try:
            request = parse_caller_request(incoming)
        except RequestError as error:
            self._metrics.count('requests.bad')
            log_event(_log, 'bad-request', problem=str(error))
            self._respond(connection, build_bad_request_response(str(error)))
            return
        if not self._is_informed:
            self._early_requests.hold(
                connection, incoming, request.caller_timeout
            )
            return
        route = self._routes.find(request.host, request.path)
        if route is None:
            self._answer_unrouted(connection, request)
            return
        identified = self._identify(request, route, incoming)
        if identified is None:
            self._answer_unauthorized(connection, request)
            return
        workspace = self._workspaces.by_id.get(identified.workspace)
        if workspace is None or workspace.limit.per_s <= 0:
            self._start(connection, identified, route)
            return
        self.waiting_count += 1
        self._request_quota(
            workspace,
            partial(self._on_quota, connection, identified, route),
        )

    def start_early(self) -> None:
        """Start what arrived before the first listing, once it is there."""
        if self._is_informed:
            self._early_requests.release()

    def refuse_early(self) -> None:
        """Refuse what arrived before the first listing: the process ends."""
        self._early_requests.refuse()

    def drop(self, connection: CallerConnection) -> None:
        """Forget an early request whose caller has left."""
        self._early_requests.drop(connection)

    def refuse(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        refusal: Refusal,
        encode_answer: Callable[[Answer], OutgoingResponse] | None = None,
        fingerprint: Fingerprint = '',
    ) -> None:
        """Answer a request of which nothing was sent."""
        self._metrics.count('answers.refused')
        details = {'workspace': request.workspace} if request.workspace else {}
        log_event(
            _log,
            'refused',
            request_id=request.id,
            reason=refusal.reason,
            fingerprint=fingerprint,
            **details,
        )
        if encode_answer is None:
            encode_answer = partial(
                build_caller_response, request_id=request.id
            )
        self._respond(connection, encode_answer(refusal))

    @property
    def _is_informed(self) -> bool:
        return self._routes.state is not None and self._directory.has_listing

    def _refuse_early(
        self, connection: CallerConnection, incoming: IncomingRequest
    ) -> None:
        refusal = Refusal('no-desired-state', _NO_STATE_RETRY_AFTER)
        self.refuse(connection, parse_caller_request(incoming), refusal)

    def _identify(
        self, request: CallerRequest, route: Route, incoming: IncomingRequest
    ) -> CallerRequest | None:
        """Return the request under its workspace's name, None without one.

        The key itself goes no further than this.
        """
        if not self._workspaces.are_declared:
            return request
        workspace = self._workspaces.identify(read_key(incoming.headers))
        if workspace is None and not route.is_keyless:
            return None
        return name_workspace(
            request, '' if workspace is None else workspace.id
        )

    def _on_quota(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        route: Route,
        refusal: Refusal | None,
    ) -> None:
        """Start a request whose workspace may send it, if it still waits."""
        self.waiting_count -= 1
        if not connection.is_busy:
            self._metrics.count('requests.left')
        elif refusal is None:
            self._start(connection, request, route)
        else:
            self.refuse(connection, request, refusal)

    def _start(
        self, connection: CallerConnection, request: CallerRequest, route: Route
    ) -> None:
        stops_at = self._readiness.stops_at
        if stops_at is not None:
            fitted = fit_before_stop(request, route, stops_at)
            if fitted is None:
                refusal = Refusal('stopping', _STOPPING_RETRY_AFTER)
                self.refuse(connection, request, refusal)
                return
            request = fitted
        if not self._has_room_for(len(request.body)):
            refusal = Refusal(NO_MEMORY, _NO_MEMORY_RETRY_AFTER)
            self.refuse(connection, request, refusal)
            return
        self._start_request(
            connection,
            request,
            route,
            partial(build_caller_response, request_id=request.id),
        )

    def _answer_unrouted(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        self._metrics.count('answers.unrouted')
        log_event(
            _log,
            'unrouted',
            request_id=request.id,
            host=request.host,
            path=request.path,
            version=self._routes.version,
        )
        self._respond(connection, build_no_route_response(request.id))

    def _answer_unauthorized(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        self._metrics.count('answers.unauthorized')
        log_event(
            _log,
            'unauthorized',
            request_id=request.id,
            version=self._routes.version,
        )
        self._respond(connection, build_unauthorized_response(request.id))

    def _respond(
        self, connection: CallerConnection, response: OutgoingResponse
    ) -> None:
        connection.respond(
            response, is_last=self._readiness.is_draining_callers
        )
