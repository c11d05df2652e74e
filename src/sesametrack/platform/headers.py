"""Headers and statuses on the wire, and the product's own types for them."""

from collections.abc import Callable
from math import ceil

from sesametrack.contracts.exceptions import RequestError
from sesametrack.contracts.types import Instant, Seconds
from sesametrack.links.caller_server import IncomingRequest, OutgoingResponse
from sesametrack.links.upstream_http import OutgoingRequest
from sesametrack.routing.events import (
    Answer,
    CallerRequest,
    Failure,
    ForwardReply,
    Headers,
    MergedAnswer,
    Refusal,
    ReplyKind,
    UpstreamReply,
)

_MS = 1000
# Names one client attempt, so it changes when a client tries again.
_REQUEST_ID = b'request-id'
# Milliseconds that are left, not an instant.
_TIME_LEFT = b'request-deadline'
# An upstream's signature of the request and its reply.
_DIGEST = b'server-stamp'
_EXPECTED_UPSTREAM = b'expect-instance'
_LOAD = b'server-load'
_NOT_RUN = b'not-executed'
_RETRY_AFTER = b'retry-after'
_DIGESTS = b'part-stamps'
# A number of shards, not a list.
_MISSING = b'missing-parts'

_MISDIRECTED = 421
_OK = 200
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_LATE = 504
_NOT_FOUND = 404
_BAD_REQUEST = 400
_LEAST_ERROR = 300

# Headers that concern one connection only (RFC 9110, section 7.6.1).
_CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        b'content-length',
    )
)
_SET_BY_ROUTER = frozenset((_TIME_LEFT, _EXPECTED_UPSTREAM))
_FOR_ROUTER = frozenset((_LOAD,))


def parse_caller_request(incoming: IncomingRequest) -> CallerRequest:
    """Translate a caller's request; raises RequestError."""
    by_name = dict(incoming.headers)
    request_id = by_name.get(_REQUEST_ID, b'').decode('latin-1')
    if not request_id:
        raise RequestError('request', 'Request-Id', 'is missing')
    return CallerRequest(
        request_id,
        incoming.method.decode('ascii'),
        incoming.target.decode('latin-1'),
        by_name.get(b'host', b'').decode('latin-1'),
        _drop_connection_headers(incoming.headers, _SET_BY_ROUTER),
        incoming.body,
        incoming.arrived_at,
        _read_left(by_name.get(_TIME_LEFT)),
    )


def build_upstream_request(
    request: CallerRequest,
    upstream_id: str,
    deadline: Instant,
    now: Callable[[], Instant],
) -> OutgoingRequest:
    """Translate a request for one upstream, with the time that is left."""
    left = max(1, int((deadline - now()) * _MS))
    headers = [
        *request.headers,
        (_TIME_LEFT, str(left).encode()),
        (_EXPECTED_UPSTREAM, upstream_id.encode()),
    ]
    if request.body or request.method not in {'GET', 'HEAD'}:
        headers.append((b'content-length', str(len(request.body)).encode()))
    return OutgoingRequest(
        request.method.encode(),
        request.path.encode('latin-1'),
        headers,
        request.body,
    )


def parse_upstream_reply(
    request_id: bytes, status: int, headers: Headers, body: bytes
) -> UpstreamReply | None:
    """Translate a reply; None if it does not belong to the request."""
    by_name = dict(headers)
    if status == _MISDIRECTED:
        return UpstreamReply(ReplyKind.misdirected, status, [], b'')
    echoed = by_name.get(_REQUEST_ID)
    if echoed is not None and echoed != request_id:
        return None
    load = _read_load(by_name.get(_LOAD))
    if _NOT_RUN in by_name:
        return UpstreamReply(ReplyKind.rejected, status, [], b'', load=load)
    digest = by_name.get(_DIGEST, b'')
    is_success = _OK <= status < _LEAST_ERROR
    if is_success and (
        not digest or echoed is None or b'content-encoding' in by_name
    ):
        return None
    kind = ReplyKind.succeeded if is_success else ReplyKind.failed
    passed_on = _drop_connection_headers(headers, _FOR_ROUTER)
    return UpstreamReply(kind, status, passed_on, body, digest, load)


def build_caller_response(answer: Answer, request_id: str) -> OutgoingResponse:
    """Translate the one answer to a caller."""
    echo = (_REQUEST_ID, request_id.encode('latin-1'))
    if isinstance(answer, ForwardReply):
        reply = answer.reply
        return OutgoingResponse(reply.status, reply.headers, reply.body)
    if isinstance(answer, MergedAnswer):
        headers = [
            echo,
            (_DIGESTS, b', '.join(answer.digest_by_shard.values())),
            (_MISSING, str(len(answer.missing)).encode()),
        ]
        return OutgoingResponse(_OK, headers, answer.body)
    if isinstance(answer, Refusal):
        # Milliseconds suffice; clients take fractions.
        pause = ceil(answer.retry_after * _MS) / _MS
        headers = [echo, (_RETRY_AFTER, str(pause).encode())]
        return OutgoingResponse(_UNAVAILABLE, headers, answer.reason.encode())
    return _write_failure(answer, echo)


def build_no_route_response(request_id: str) -> OutgoingResponse:
    """Answer a request that no route takes."""
    return OutgoingResponse(
        _NOT_FOUND, [(_REQUEST_ID, request_id.encode('latin-1'))], b'no route'
    )


def build_bad_request_response(problem: str) -> OutgoingResponse:
    """Answer a request that cannot be read."""
    return OutgoingResponse(_BAD_REQUEST, [], problem.encode())


def _write_failure(
    failure: Failure, echo: tuple[bytes, bytes]
) -> OutgoingResponse:
    status = _LATE if failure.is_late else _BAD_GATEWAY
    return OutgoingResponse(status, [echo], failure.reason.encode())


def _read_left(text: bytes | None) -> Seconds | None:
    if text is None:
        return None
    try:
        return float(text) / _MS
    except ValueError:
        raise RequestError(
            'request', 'Request-Deadline', 'is not a number', text
        ) from None


def _read_load(text: bytes | None) -> tuple[int, int] | None:
    if text is None:
        return None
    parts = text.split(b',')
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    # The third number, the slots, stands in the upstream's record too.
    return int(parts[0]), int(parts[1])


def _drop_connection_headers(
    headers: Headers, dropped: frozenset[bytes]
) -> Headers:
    named = {
        token.strip().lower()
        for name, text in headers
        if name == b'connection'
        for token in text.split(b',')
    }
    return [
        (name, text)
        for name, text in headers
        if name not in _CONNECTION_HEADERS
        and name not in dropped
        and name not in named
    ]
