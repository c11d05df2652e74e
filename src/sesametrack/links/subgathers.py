"""Encoding of sub-gathers between VMs: HTTP with MessagePack bodies."""

from collections.abc import Callable
from dataclasses import dataclass

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import Decoder, Encoder

from sesametrack.contracts.exceptions import ProtocolError
from sesametrack.contracts.subgathers import SubgatherReply, SubgatherRequest
from sesametrack.contracts.types import (
    Instant,
    Seconds,
    ServiceId,
    UpstreamId,
)
from sesametrack.links.caller_connection import (
    IncomingRequest,
    OutgoingResponse,
)
from sesametrack.links.upstream_http import OutgoingRequest
from sesametrack.routing.desired_state import Route, TopKMerge
from sesametrack.routing.events import (
    Answer,
    AttemptLimit,
    CallerRequest,
    Headers,
    MergedAnswer,
    ReplyKind,
    Send,
    UpstreamReply,
)
from sesametrack.routing.exchanges import (
    GatherDeadlines,
    GatherExchange,
    to_merged_answer,
)

_PATH = b'/v1/subgather'
_METHOD = b'POST'
_OK = 200
_UNAVAILABLE = 503
# Keep-alive timeout of connections between VMs. In a large failure domain a VM
# may get callers' requests seconds apart.
KEEP_ALIVE_S = 30
_HEADERS: Headers = [(b'keep-alive', b'timeout=%d' % KEEP_ALIVE_S)]
# An early send has a deadline of this multiple of the target latency after the
# caller's request arrived.
_EARLY_SEND_FACTOR = 1.5

_encoder = Encoder()
_request_decoder = Decoder(SubgatherRequest)
_reply_decoder = Decoder(SubgatherReply)


def encode_subgather_request(
    request: CallerRequest,
    route: Route,
    send: Send,
    grant_id: int,
    now: Callable[[], Instant],
) -> OutgoingRequest:
    """Return the request to an aggregator, with the remaining times."""
    sent_at = now()
    message = SubgatherRequest(
        request.id,
        request.method,
        request.path,
        request.headers,
        request.body,
        route.name,
        route.target,
        send.subgather.attempts.granted,
        route.merge.count,
        list(send.subgather.shards),
        send.deadline - sent_at,
        send.subgather.cutoff - sent_at,
        sent_at - request.arrived_at,
        send.subgather.may_have_run,
        send.subgather.tried_by_shard,
        send.subgather.attempts.maximum,
        grant_id,
        request.workspace,
    )
    body = _encoder.encode(message)
    headers = [(b'content-length', b'%d' % len(body)), (b'host', b'peer')]
    return OutgoingRequest(_METHOD, _PATH, headers, body)


@dataclass(frozen=True, slots=True)
class IncomingSubgather:
    """A decoded sub-gather request; its times are on this VM's clock."""

    request: CallerRequest
    route: Route
    deadlines: GatherDeadlines
    may_have_run: bool
    tried_by_shard: dict[ServiceId, list[UpstreamId]]
    attempts: AttemptLimit
    grant_id: int
    # Time from the arrival of the caller's request to the sending of this one.
    age_when_sent: Seconds


def decode_subgather_request(incoming: IncomingRequest) -> IncomingSubgather:
    """Return the decoded sub-gather; raises ProtocolError if malformed."""
    try:
        message = _request_decoder.decode(incoming.body)
    except (DecodeError, ValidationError) as error:
        raise ProtocolError(f'not a sub-gather: {error}') from error
    arrived_at = incoming.arrived_at
    request = CallerRequest(
        message.id,
        message.method,
        message.path,
        '',
        message.headers,
        message.body,
        arrived_at,
        message.left,
        workspace=message.workspace,
    )
    route = Route(
        message.route,
        '',
        '',
        is_repeatable=True,
        timeout=message.left,
        target=message.target,
        max_attempts=message.max_attempts,
        shards=tuple(message.shards),
        merge=TopKMerge(message.count, 0),
    )
    early_send_deadline = (
        arrived_at - message.age + message.target * _EARLY_SEND_FACTOR
    )
    deadlines = GatherDeadlines(
        arrived_at + message.until_cutoff,
        min(early_send_deadline, arrived_at + message.left),
    )
    return IncomingSubgather(
        request,
        route,
        deadlines,
        message.may_have_run,
        message.asked,
        AttemptLimit(
            message.max_attempts,
            max(message.max_attempts, message.later_max_attempts),
        ),
        message.grant_id,
        message.age,
    )


def encode_subgather_reply(
    answer: Answer, exchange: GatherExchange
) -> OutgoingResponse:
    """Return the response with what an exchange gathered, if anything."""
    merged = to_merged_answer(answer, exchange)
    reply = SubgatherReply(
        merged.digest_by_shard,
        merged.body,
        merged.missing,
        merged.tried_by_shard,
    )
    return OutgoingResponse(_OK, _HEADERS, _encoder.encode(reply))


def encode_missing_shards(
    shards: tuple[ServiceId, ...], reason: str
) -> OutgoingResponse:
    """Return the response that means that no other VM should ask them."""
    reply = SubgatherReply({}, b'', dict.fromkeys(shards, reason), {})
    return OutgoingResponse(_OK, _HEADERS, _encoder.encode(reply))


def encode_subgather_refusal(reason: str) -> OutgoingResponse:
    """Return the response that means that nothing was sent to any shard."""
    return OutgoingResponse(_UNAVAILABLE, _HEADERS, reason.encode())


def decode_subgather_reply(
    status: int, headers: Headers, body: bytes
) -> UpstreamReply | None:
    """Return an aggregator's decoded reply; None if it is malformed."""
    if status != _OK:
        return UpstreamReply(ReplyKind.rejected, status, [], b'')
    try:
        message = _reply_decoder.decode(body)
    except (DecodeError, ValidationError):
        return None
    merged = MergedAnswer(
        message.digest_by_shard,
        message.missing,
        message.records,
        message.asked,
    )
    return UpstreamReply(ReplyKind.succeeded, status, [], b'', merged=merged)
