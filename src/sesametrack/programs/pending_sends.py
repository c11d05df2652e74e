"""Builds the pending sends that connection pools accept."""

from collections.abc import Callable
from functools import partial

from sesametrack.contracts.types import Instant
from sesametrack.links.handovers import (
    decode_handover_reply,
    encode_handover,
)
from sesametrack.links.subgathers import (
    decode_subgather_reply,
    encode_subgather_request,
)
from sesametrack.links.upstream_pool import PendingSend
from sesametrack.platform.headers import (
    build_upstream_request,
    parse_upstream_reply,
)
from sesametrack.programs.active_requests import ActiveRequest
from sesametrack.routing.events import Send


def build_pending_send(
    active_request: ActiveRequest,
    send: Send,
    grant_id: int,
    now: Callable[[], Instant],
) -> PendingSend:
    """Return a send with its request builder and the decoder of its reply.

    `grant_id` identifies a sub-gather in later grants of attempts.
    """
    request = active_request.request
    if send.subgather is not None:
        return PendingSend(
            send.attempt_id,
            partial(
                encode_subgather_request,
                request,
                active_request.route,
                send,
                grant_id,
                now,
            ),
            decode_subgather_reply,
            is_repeatable=True,
            write_by=send.deadline,
            kind='sub-gather',
        )
    if send.handover_attempts:
        return PendingSend(
            send.attempt_id,
            partial(encode_handover, request, send, now),
            decode_handover_reply,
            active_request.route.is_repeatable,
            send.deadline,
            kind='hand-over',
        )
    return PendingSend(
        send.attempt_id,
        partial(
            build_upstream_request,
            request,
            send.upstream.id,
            send.deadline,
            now,
        ),
        partial(parse_upstream_reply, request.id.encode('latin-1')),
        active_request.route.is_repeatable,
        min(send.deadline, send.write_by),
        request.id,
        f'request-{send.reason}',
    )
