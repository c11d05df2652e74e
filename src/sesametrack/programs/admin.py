"""The admin endpoint of a daemon: status, events and configuration."""

from collections.abc import Callable
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

from sesametrack.links.http import (
    HttpRequest,
    HttpResponse,
    json_response,
    problem_response,
)

if TYPE_CHECKING:
    from sesametrack.programs.node import Node

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
_PARTS = '/configuration/parts/'


class AdminEndpoint:
    """Answers operators' programs and peers."""

    def __init__(self, node: 'Node') -> None:
        """Bind the node that is described."""
        self._node = node
        self._answer_by_path: dict[str, Callable[[], HttpResponse]] = {
            '/ready': self._answer_ready,
            '/status': self._answer_status,
            '/leaving': self._answer_leaving,
            '/configuration/head': self._answer_head,
            '/debug': self._answer_debug,
        }

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        target = urlsplit(request.path)
        if target.path == '/events':
            since = parse_qs(target.query).get('since', ['0'])[0]
            return self._answer_events(since)
        if target.path.startswith(_PARTS):
            return self._answer_part(target.path.removeprefix(_PARTS))
        answer = self._answer_by_path.get(target.path)
        if answer is None:
            return problem_response(_NOT_FOUND, 'Not found', target.path)
        return answer()

    def _answer_ready(self) -> HttpResponse:
        return make_ready_response(self._node)

    def _answer_status(self) -> HttpResponse:
        node = self._node
        members = {
            member: state.value
            for member, state in node.membership.states().items()
        }
        return json_response(
            _OK,
            {
                'member': node.local_member,
                'stage': node.lifecycle.stage.value,
                'unready': node.lifecycle.unready_reason,
                'revision': node.synchronizer.replica.revision,
                'leaving_version': node.synchronizer.leaving.version,
                'is_watcher': node.synchronizer.is_watcher,
                'members': members,
            },
        )

    def _answer_leaving(self) -> HttpResponse:
        return json_response(_OK, self._node.synchronizer.leaving)

    def _answer_head(self) -> HttpResponse:
        current = self._node.synchronizer.replica.current
        if current is None:
            return problem_response(
                _NOT_FOUND, 'Not found', 'no configuration is in force'
            )
        return json_response(_OK, current.head)

    def _answer_part(self, digest: str) -> HttpResponse:
        part = self._node.synchronizer.replica.part_by_digest.get(digest)
        if part is None:
            return problem_response(_NOT_FOUND, 'Not found', digest)
        return HttpResponse(_OK, part, {'content-type': 'application/json'})

    def _answer_events(self, since: str) -> HttpResponse:
        start = int(since) if since.isdigit() else 0
        return json_response(_OK, self._node.events.since(start))

    def _answer_debug(self) -> HttpResponse:
        node = self._node
        calls = node.platform.calls
        return json_response(
            _OK,
            {
                'metrics': node.metrics.count_by_name,
                'platform': {
                    'reads': calls.reads,
                    'writes': calls.writes,
                    'failures': calls.failures,
                },
                'daemon': node.handlers.describe(),
            },
        )


def make_ready_response(node: 'Node') -> HttpResponse:
    """Tell the balancer whether to send work to this VM."""
    reason = node.lifecycle.unready_reason
    if reason:
        return problem_response(_UNAVAILABLE, 'Not ready', reason)
    return json_response(_OK, {'ready': True})
