"""Replies of a gate to the entries that offered sub-queries."""

from sesametrack.contracts.messages import SubReply, SubState, UpstreamView
from sesametrack.contracts.outcomes import Reason
from sesametrack.contracts.types import Instant, Milliseconds
from sesametrack.upstreams.actions import SendReply
from sesametrack.upstreams.events import Response, ResponseKind
from sesametrack.upstreams.queue import QueuedSubQuery
from sesametrack.upstreams.running import InFlightRequest

_MS: Milliseconds = 1000
_EMPTY = b'null'
_STATE_BY_KIND = {
    ResponseKind.answered: (SubState.answered, Reason.none),
    ResponseKind.shed: (SubState.not_run, Reason.shed),
    ResponseKind.draining: (SubState.not_run, Reason.draining),
    ResponseKind.snapshot_gone: (SubState.not_run, Reason.snapshot_gone),
    ResponseKind.cancelled: (SubState.unknown, Reason.cancelled),
    ResponseKind.failed: (SubState.unknown, Reason.upstream_error),
}


def make_refusal(
    waiting: QueuedSubQuery, reason: Reason, view: UpstreamView, now: Instant
) -> SendReply:
    """Say that a sub-query was not run: it was never sent."""
    reply = SubReply(
        waiting.sub_query.id,
        SubState.not_run,
        reason,
        None,
        _EMPTY,
        (now - waiting.queued_at) * _MS,
        0,
        view,
    )
    return SendReply(waiting.sender, reply)


def make_reply(
    running: InFlightRequest,
    response: Response,
    view: UpstreamView,
    now: Instant,
) -> SendReply:
    """Pass on what the upstream responded."""
    state, reason = _STATE_BY_KIND[response.kind]
    return _reply(running, state, reason, response.body, view, now, response)


def make_lost_reply(
    running: InFlightRequest, view: UpstreamView, now: Instant
) -> SendReply:
    """Say that a sub-query was sent and its response is lost."""
    return _reply(
        running, SubState.unknown, Reason.connection_lost, _EMPTY, view, now
    )


def _reply(
    running: InFlightRequest,
    state: SubState,
    reason: Reason,
    body: bytes,
    view: UpstreamView,
    now: Instant,
    response: Response | None = None,
) -> SendReply:
    reply = SubReply(
        running.sub_query.id,
        state,
        reason,
        response.snapshot if response else None,
        body,
        (running.sent_at - running.queued.queued_at) * _MS,
        (now - running.sent_at) * _MS,
        view,
    )
    return SendReply(running.queued.sender, reply)
