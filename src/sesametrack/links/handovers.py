"""Encoding of requests that are handed on: HTTP with MessagePack bodies."""

from collections.abc import Callable

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import Decoder, Encoder

from sesametrack.contracts.exceptions import ProtocolError
from sesametrack.contracts.handovers import HandoverReply, HandoverRequest
from sesametrack.contracts.types import Instant
from sesametrack.links.caller_connection import (
    IncomingRequest,
    OutgoingResponse,
)
from sesametrack.links.subgathers import KEEP_ALIVE_S
from sesametrack.links.upstream_http import OutgoingRequest
from sesametrack.routing.events import (
    CallerRequest,
    Headers,
    ReplyKind,
    Send,
    UpstreamReply,
)

HANDOVER_PATH = b'/v1/handover'
_METHOD = b'POST'
_OK = 200
_FIRST_NON_SUCCESS = 300
_HEADERS: Headers = [(b'keep-alive', b'timeout=%d' % KEEP_ALIVE_S)]

_encoder = Encoder()
_request_decoder = Decoder(HandoverRequest)
_reply_decoder = Decoder(HandoverReply)


def encode_handover(
    request: CallerRequest, send: Send, now: Callable[[], Instant]
) -> OutgoingRequest:
    """Return the message to another VM, with the remaining time."""
    sent_at = now()
    message = HandoverRequest(
        request.id,
        request.method,
        request.path,
        request.host,
        request.headers,
        request.body,
        send.deadline - sent_at,
        sent_at - request.arrived_at,
        send.handover_attempts,
        request.workspace,
    )
    body = _encoder.encode(message)
    headers = [(b'content-length', b'%d' % len(body)), (b'host', b'peer')]
    return OutgoingRequest(_METHOD, HANDOVER_PATH, headers, body)


def decode_handover(incoming: IncomingRequest) -> tuple[CallerRequest, int]:
    """Return the request and its attempts for each service.

    Raises ProtocolError if it is malformed.

    It counts as arrived when the caller's VM got it, so that it is answered
    by the caller's target and time limit.
    """
    try:
        message = _request_decoder.decode(incoming.body)
    except (DecodeError, ValidationError) as error:
        raise ProtocolError(f'not a handover: {error}') from error
    age = max(0, message.age)
    request = CallerRequest(
        message.id,
        message.method,
        message.path,
        message.host,
        message.headers,
        message.body,
        incoming.arrived_at - age,
        age + message.left,
        workspace=message.workspace,
    )
    return request, message.max_attempts


def encode_handover_reply(
    response: OutgoingResponse, *, has_not_run: bool
) -> OutgoingResponse:
    """Return the response that carries the caller's one."""
    reply = HandoverReply(
        response.status, response.headers, response.body, has_not_run
    )
    return OutgoingResponse(_OK, _HEADERS, _encoder.encode(reply))


def decode_handover_reply(
    status: int, headers: Headers, body: bytes
) -> UpstreamReply | None:
    """Return the caller's response; None if it is malformed.

    It is rejected if the other VM did not take the request or did not run it.
    """
    if status != _OK:
        return UpstreamReply(ReplyKind.rejected, status, [], b'')
    try:
        reply = _reply_decoder.decode(body)
    except (DecodeError, ValidationError):
        return None
    kind = ReplyKind.failed
    if reply.has_not_run:
        kind = ReplyKind.rejected
    elif _OK <= reply.status < _FIRST_NON_SUCCESS:
        kind = ReplyKind.succeeded
    return UpstreamReply(kind, reply.status, reply.headers, reply.body)
