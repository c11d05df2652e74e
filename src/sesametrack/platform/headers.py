"""Translation between wire headers and statuses and the routing types."""

from collections.abc import Callable
from math import ceil
from re import compile as compile_pattern

from sesametrack.contracts.exceptions import RequestError
from sesametrack.contracts.types import Instant, Seconds
from sesametrack.links.caller_connection import (
    IncomingRequest,
    OutgoingResponse,
)
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
from sesametrack.routing.load_reports import LoadReport
from sesametrack.routing.rate_limits import StatedRate

_MS_PER_S = 1000
# Identifies one attempt of a client: a retry by the client has another id.
_REQUEST_ID = b'request-id'
# Milliseconds that remain until the deadline, not an instant.
_REMAINING_TIME = b'request-deadline'
# The upstream's signature of the request and its reply.
_DIGEST = b'server-stamp'
# The id of the upstream that must handle the request.
_EXPECTED_INSTANCE = b'expect-instance'
# Numbers of running requests, queued requests and slots; then, from some
# upstreams, the time that work takes, where 100 is the usual one. Others may
# follow.
_LOAD = b'server-load'
_USUAL_PACE = 100
# Requests per second that the upstream takes from all VMs together; only in
# replies of an upstream in need.
_RATE_LIMIT = b'server-limit'
_DECIMAL_NUMBER = compile_pattern(r'(\d+\.?\d*|\.\d+)([eE][+-]?\d+)?')
# Says that the upstream is leaving, on replies of any kind.
_LEAVING = b'server-leaving'
_IS_LEAVING = b'1'
# The longest pause that is believed; a longer one may be a mistake, and would
# keep an upstream idle long after it has recovered.
_MAX_PAUSE: Seconds = 300
# Its presence says that the upstream did not run the request.
_NOT_EXECUTED = b'not-executed'
_RETRY_AFTER = b'retry-after'
# Signatures of the replies that a merged answer consists of.
_DIGESTS = b'part-stamps'
# Number of missing shards, not a list.
_MISSING_COUNT = b'missing-parts'

_MISDIRECTED = 421
_OK = 200
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_NOT_FOUND = 404
_UNAUTHORIZED = 401
_TOO_MANY_REQUESTS = 429
_BAD_REQUEST = 400
_FIRST_NON_SUCCESS = 300

# Hop-by-hop headers (RFC 9110, section 7.6.1), which are not forwarded.
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
_SET_BY_ROUTER = frozenset((_REMAINING_TIME, _EXPECTED_INSTANCE))
_CONSUMED_BY_ROUTER = frozenset((_LOAD, _RATE_LIMIT))


def parse_caller_request(incoming: IncomingRequest) -> CallerRequest:
    """Return the caller's request.

    Raises RequestError if the id is missing or the remaining time is not a
    number.
    """
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
        _parse_remaining_time(by_name.get(_REMAINING_TIME)),
        incoming.network_time,
    )


def build_upstream_request(
    request: CallerRequest,
    upstream_id: str,
    deadline: Instant,
    now: Callable[[], Instant],
) -> OutgoingRequest:
    """Return the request to one upstream, with its remaining time."""
    remaining_ms = max(1, int((deadline - now()) * _MS_PER_S))
    headers = [
        *request.headers,
        (_REMAINING_TIME, str(remaining_ms).encode()),
        (_EXPECTED_INSTANCE, upstream_id.encode()),
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
    """Return an upstream's reply; None if it is unusable.

    It is unusable if it has another request's id, or if it is a success
    without an id or a signature, or with an encoding.
    """
    by_name = dict(headers)
    echoed = by_name.get(_REQUEST_ID)
    is_identified = echoed is not None
    if is_identified and echoed != request_id:
        return None
    is_leaving = (_LEAVING, _IS_LEAVING) in headers
    if status == _MISDIRECTED:
        # Another upstream has sent it, so its notices are not this one's.
        return UpstreamReply(
            ReplyKind.misdirected,
            status,
            [],
            b'',
            is_identified=is_identified,
        )
    load = _parse_load(by_name.get(_LOAD))
    stated_rate = _parse_rate_limit(headers)
    if _NOT_EXECUTED in by_name:
        return UpstreamReply(
            ReplyKind.rejected,
            status,
            [],
            b'',
            load=load,
            stated_rate=stated_rate,
            is_identified=is_identified,
            is_leaving=is_leaving,
            pause=_parse_pause(status, by_name.get(_RETRY_AFTER)),
        )
    digest = by_name.get(_DIGEST, b'')
    is_success = _OK <= status < _FIRST_NON_SUCCESS
    if is_success and (
        not digest or not is_identified or b'content-encoding' in by_name
    ):
        return None
    kind = ReplyKind.succeeded if is_success else ReplyKind.failed
    if is_success and stated_rate is None:
        # Only a success shows that the upstream states no limit: an error may
        # come from a part of it that never does.
        stated_rate = StatedRate()
    return UpstreamReply(
        kind,
        status,
        _drop_connection_headers(headers, _CONSUMED_BY_ROUTER),
        body,
        digest,
        load,
        stated_rate=stated_rate,
        is_identified=is_identified,
        is_leaving=is_leaving,
    )


def build_caller_response(answer: Answer, request_id: str) -> OutgoingResponse:
    """Return the response to a caller."""
    echo = _echo(request_id)
    if isinstance(answer, ForwardReply):
        reply = answer.reply
        return OutgoingResponse(reply.status, reply.headers, reply.body)
    if isinstance(answer, MergedAnswer):
        headers = [
            echo,
            (_DIGESTS, b', '.join(answer.digest_by_shard.values())),
            (_MISSING_COUNT, str(len(answer.missing)).encode()),
        ]
        return OutgoingResponse(_OK, headers, answer.body)
    if isinstance(answer, Refusal):
        # Clients accept fractions of a second; milliseconds are enough.
        retry_after_s = ceil(answer.retry_after * _MS_PER_S) / _MS_PER_S
        headers = [echo, (_RETRY_AFTER, str(retry_after_s).encode())]
        status = _TOO_MANY_REQUESTS if answer.is_over_limit else _UNAVAILABLE
        return OutgoingResponse(status, headers, answer.reason.encode())
    return _build_failure_response(answer, echo)


def build_no_route_response(request_id: str) -> OutgoingResponse:
    """Return the response to a request that matches no route."""
    return OutgoingResponse(_NOT_FOUND, [_echo(request_id)], b'no route')


def build_unauthorized_response(request_id: str) -> OutgoingResponse:
    """Return the response to a request without a known key."""
    headers = [_echo(request_id), (b'www-authenticate', b'Bearer')]
    return OutgoingResponse(_UNAUTHORIZED, headers, b'unknown key')


def build_bad_request_response(problem: str) -> OutgoingResponse:
    """Return the response to a malformed request."""
    return OutgoingResponse(_BAD_REQUEST, [], problem.encode())


def _echo(request_id: str) -> tuple[bytes, bytes]:
    return _REQUEST_ID, request_id.encode('latin-1')


def _build_failure_response(
    failure: Failure, echo: tuple[bytes, bytes]
) -> OutgoingResponse:
    status = _GATEWAY_TIMEOUT if failure.is_late else _BAD_GATEWAY
    return OutgoingResponse(status, [echo], failure.reason.encode())


def _parse_remaining_time(text: bytes | None) -> Seconds | None:
    if text is None:
        return None
    try:
        return float(text) / _MS_PER_S
    except ValueError:
        raise RequestError(
            'request', 'Request-Deadline', 'is not a number', text
        ) from None


def _parse_load(text: bytes | None) -> LoadReport | None:
    """Return the load as far as it can be read.

    The number of slots is ignored: the upstream's record has it.
    """
    if text is None:
        return None
    figures = [part.strip() for part in text.split(b',')]
    running, queued, _, pace = (*figures, b'', b'', b'', b'')[:4]
    if not running.isdigit() or not queued.isdigit():
        return None
    return LoadReport(int(running), int(queued), _parse_pace(pace))


def _parse_pause(status: int, text: bytes | None) -> Seconds:
    """Return the pause that an upstream asks for, 0 if it asks for none.

    Dates and other texts that are no number of seconds are ignored.
    """
    if status != _UNAVAILABLE or text is None:
        return 0
    figure = text.decode('ascii', 'replace')
    if not _DECIMAL_NUMBER.fullmatch(figure):
        return 0
    return min(_MAX_PAUSE, float(figure))


def _parse_pace(text: bytes) -> float | None:
    figure = text.decode('ascii', 'replace')
    if not _DECIMAL_NUMBER.fullmatch(figure):
        return None
    pace = float(figure) / _USUAL_PACE
    return pace if 0 < pace < float('inf') else None


def _parse_rate_limit(headers: Headers) -> StatedRate | None:
    """Return the least limit that the headers state, None if there is none."""
    texts = [
        part.strip()
        for name, text in headers
        if name == _RATE_LIMIT
        for part in text.decode('ascii', 'replace').split(',')
    ]
    if not texts:
        return None
    rates = [float(text) for text in texts if _DECIMAL_NUMBER.fullmatch(text)]
    if not rates:
        return StatedRate(unreadable=repr(','.join(texts)))
    return StatedRate(min(rates))


def _drop_connection_headers(
    headers: Headers, dropped: frozenset[bytes]
) -> Headers:
    listed = {
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
        and name not in listed
    ]
