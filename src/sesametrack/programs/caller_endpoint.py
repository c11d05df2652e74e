"""The HTTP interface for callers."""

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
_NOT_ALLOWED = 405
_UNPROCESSABLE = 422
_UNAVAILABLE = 503
_TIMEOUT = 504
_RETRY_AFTER = 1
_JSON = {'content-type': 'application/json'}

Runner = Callable[[QueryRequest], Awaitable[bytes | Answer]]


class CallerEndpoint:
    """Decodes requests, runs them and encodes the answers."""

    def __init__(self, node: Node, runner: Runner) -> None:
        """Bind the runner, which answers validated requests."""
        self._node = node
        self._runner = runner

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one HTTP request."""
        path = request.path.partition('?')[0]
        if path == _READY_PATH:
            return make_ready_response(self._node)
        if path != QUERY_PATH:
            return problem_response(
                _NOT_FOUND, 'Not found', f'use POST {QUERY_PATH}'
            )
        if request.method != 'POST':
            return problem_response(
                _NOT_ALLOWED,
                'Method not allowed',
                f'use POST {QUERY_PATH}',
                headers={'allow': 'POST'},
            )
        try:
            answer = await self._runner(read_request(request.body, 'request'))
        except RequestError as refused:
            return _refuse_request(refused)
        except RecordedAnswerError as recorded:
            headers = {**_JSON, 'x-recorded': '1'}
            return HttpResponse(_OK, recorded.answer.encode(), headers)
        except RefusalError as refused:
            return _refuse(refused)
        return render_answer(answer)


def render_answer(answer: Answer) -> HttpResponse:
    """Encode an answer; one that did not run becomes problem details."""
    if answer.outcome is Outcome.ran:
        return HttpResponse(_OK, encode(answer), dict(_JSON))
    status = _TIMEOUT if answer.outcome is Outcome.unknown else _UNAVAILABLE
    if answer.reason is Reason.quarantined:
        status = _UNPROCESSABLE
    headers = {}
    if answer.outcome is Outcome.not_run:
        headers['retry-after'] = str(_RETRY_AFTER)
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


def _refuse_request(refused: RequestError) -> HttpResponse:
    is_unknown_service = refused.path == '$.service'
    return problem_response(
        _NOT_FOUND if is_unknown_service else _BAD_REQUEST,
        'Request refused',
        str(refused),
        {
            'outcome': Outcome.not_run,
            'path': refused.path,
            'found': repr(refused.found),
        },
    )


def _refuse(refused: RefusalError) -> HttpResponse:
    status = _TIMEOUT if refused.outcome is Outcome.unknown else _UNAVAILABLE
    headers = {}
    if refused.retry_after is not None:
        headers['retry-after'] = str(int(refused.retry_after) or 1)
    return problem_response(
        status,
        'No answer',
        refused.reason,
        {'outcome': refused.outcome},
        headers,
    )
