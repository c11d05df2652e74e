"""The HTTP endpoint of an entry for callers."""

from collections.abc import Awaitable, Callable

from msgspec.json import encode

from sesametrack.contracts.answers import Answer
from sesametrack.contracts.exceptions import RefusalError, RequestError
from sesametrack.contracts.outcomes import Outcome, Reason
from sesametrack.contracts.requests import QueryRequest, read_request
from sesametrack.links.http import (
    HttpRequest,
    HttpResponse,
    problem_response,
)
from sesametrack.programs.admin import make_ready_response
from sesametrack.programs.claim_store import RecordedAnswerError
from sesametrack.programs.node import Node

QUERY_PATH = '/v1/query'
_READY_PATH = '/ready'
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_METHOD_NOT_ALLOWED = 405
_UNPROCESSABLE = 422
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_RETRY_AFTER_S = 1
_JSON = {'content-type': 'application/json'}

RequestHandler = Callable[[QueryRequest], Awaitable[bytes | Answer]]


class CallerEndpoint:
    """Decodes requests, passes them to the handler and encodes its answers."""

    def __init__(self, node: Node, handler: RequestHandler) -> None:
        """Create an endpoint; `handler` receives only well-formed requests."""
        self._node = node
        self._handler = handler

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to an HTTP request."""
        path = request.path.partition('?')[0]
        if path == _READY_PATH:
            return make_ready_response(self._node)
        if path != QUERY_PATH:
            return problem_response(
                _NOT_FOUND, 'Not found', f'use POST {QUERY_PATH}'
            )
        if request.method != 'POST':
            return problem_response(
                _METHOD_NOT_ALLOWED,
                'Method not allowed',
                f'use POST {QUERY_PATH}',
                headers={'allow': 'POST'},
            )
        try:
            answer = await self._handler(read_request(request.body, 'request'))
        except RequestError as error:
            return _request_error_response(error)
        except RecordedAnswerError as recorded:
            headers = {**_JSON, 'x-recorded': '1'}
            return HttpResponse(_OK, recorded.answer.encode(), headers)
        except RefusalError as error:
            return _refusal_response(error)
        return answer_response(answer)


def answer_response(answer: Answer) -> HttpResponse:
    """Return the HTTP response for an answer.

    An answer whose outcome is not `ran` is sent as problem details.
    """
    if answer.outcome is Outcome.ran:
        return HttpResponse(_OK, encode(answer), dict(_JSON))
    status = (
        _GATEWAY_TIMEOUT if answer.outcome is Outcome.unknown else _UNAVAILABLE
    )
    if answer.reason is Reason.quarantined:
        status = _UNPROCESSABLE
    headers = {}
    if answer.outcome is Outcome.not_run:
        headers['retry-after'] = str(_RETRY_AFTER_S)
    return problem_response(
        status,
        'No answer',
        answer.reason.value,
        {
            'outcome': answer.outcome,
            'request_id': answer.request_id,
            'snapshot': answer.snapshot,
            'coverage': answer.coverage,
            'timing': answer.timing,
        },
        headers,
    )


def _request_error_response(error: RequestError) -> HttpResponse:
    is_unknown_service = error.path == '$.service'
    return problem_response(
        _NOT_FOUND if is_unknown_service else _BAD_REQUEST,
        'Request refused',
        str(error),
        {
            'outcome': Outcome.not_run,
            'path': error.path,
            'found': repr(error.found),
        },
    )


def _refusal_response(error: RefusalError) -> HttpResponse:
    status = (
        _GATEWAY_TIMEOUT if error.outcome is Outcome.unknown else _UNAVAILABLE
    )
    headers = {}
    if error.retry_after is not None:
        headers['retry-after'] = str(int(error.retry_after) or 1)
    return problem_response(
        status,
        'No answer',
        error.reason,
        {'outcome': error.outcome},
        headers,
    )
