"""Replies of a gate to the entries that sent sub-queries."""

from sesametrack.contracts.messages import (
    SubQueryReply,
    SubQueryState,
    UpstreamView,
)
from sesametrack.contracts.outcomes import Reason
from sesametrack.contracts.types import Instant, Milliseconds
from sesametrack.upstreams.actions import SendReply
from sesametrack.upstreams.events import Response, ResponseKind
from sesametrack.upstreams.in_flight import InFlightRequest
from sesametrack.upstreams.queue import QueuedSubQuery

_MS_PER_SECOND: Milliseconds = 1000
_NULL_BODY = b'null'
_STATE_BY_KIND = {
    ResponseKind.answered: (SubQueryState.answered, Reason.none),
    ResponseKind.shed: (SubQueryState.not_run, Reason.shed),
    ResponseKind.draining: (SubQueryState.not_run, Reason.draining),
    ResponseKind.snapshot_gone: (SubQueryState.not_run, Reason.snapshot_gone),
    ResponseKind.cancelled: (SubQueryState.unknown, Reason.cancelled),
    ResponseKind.failed: (SubQueryState.unknown, Reason.upstream_error),
}


def make_refusal(
    queued: QueuedSubQuery, reason: Reason, view: UpstreamView, now: Instant
) -> SendReply:
    """Return a not-run reply for a sub-query that was never sent."""
    reply = SubQueryReply(
        queued.sub_query.id,
        SubQueryState.not_run,
        reason,
        None,
        _NULL_BODY,
        (now - queued.queued_at) * _MS_PER_SECOND,
        0,
        view,
    )
    return SendReply(queued.sender, reply)


def make_reply(
    request: InFlightRequest,
    response: Response,
    view: UpstreamView,
    now: Instant,
) -> SendReply:
    """Return the reply for a response of the upstream."""
    state, reason = _STATE_BY_KIND[response.kind]
    return _make_sent_reply(
        request, state, reason, response.body, view, now, response
    )


def make_lost_reply(
    request: InFlightRequest, view: UpstreamView, now: Instant
) -> SendReply:
    """Return the reply for a sub-query whose response was lost."""
    return _make_sent_reply(
        request,
        SubQueryState.unknown,
        Reason.connection_lost,
        _NULL_BODY,
        view,
        now,
    )


def _make_sent_reply(
    request: InFlightRequest,
    state: SubQueryState,
    reason: Reason,
    body: bytes,
    view: UpstreamView,
    now: Instant,
    response: Response | None = None,
) -> SendReply:
    reply = SubQueryReply(
        request.sub_query.id,
        state,
        reason,
        response.snapshot if response else None,
        body,
        (request.sent_at - request.queued.queued_at) * _MS_PER_SECOND,
        (now - request.sent_at) * _MS_PER_SECOND,
        view,
    )
    return SendReply(request.queued.sender, reply)
