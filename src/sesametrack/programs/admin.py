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
_PARTS_PREFIX = '/configuration/parts/'


class AdminEndpoint:
    """Serves the admin endpoint to operators' tools and to peers."""

    def __init__(self, node: 'Node') -> None:
        """Create the endpoint of a node."""
        self._node = node
        self._handler_by_path: dict[str, Callable[[], HttpResponse]] = {
            '/ready': self._handle_ready,
            '/status': self._handle_status,
            '/leaving': self._handle_leaving,
            '/configuration/head': self._handle_head,
            '/debug': self._handle_debug,
        }

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
        target = urlsplit(request.path)
        if target.path == '/events':
            since = parse_qs(target.query).get('since', ['0'])[0]
            return self._handle_events(since)
        if target.path.startswith(_PARTS_PREFIX):
            return self._handle_part(target.path.removeprefix(_PARTS_PREFIX))
        handler = self._handler_by_path.get(target.path)
        if handler is None:
            return problem_response(_NOT_FOUND, 'Not found', target.path)
        return handler()

    def _handle_ready(self) -> HttpResponse:
        return make_ready_response(self._node)

    def _handle_status(self) -> HttpResponse:
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

    def _handle_leaving(self) -> HttpResponse:
        return json_response(_OK, self._node.synchronizer.leaving)

    def _handle_head(self) -> HttpResponse:
        current = self._node.synchronizer.replica.current
        if current is None:
            return problem_response(
                _NOT_FOUND, 'Not found', 'no configuration is in force'
            )
        return json_response(_OK, current.head)

    def _handle_part(self, digest: str) -> HttpResponse:
        part = self._node.synchronizer.replica.part_by_digest.get(digest)
        if part is None:
            return problem_response(_NOT_FOUND, 'Not found', digest)
        return HttpResponse(_OK, part, {'content-type': 'application/json'})

    def _handle_events(self, since: str) -> HttpResponse:
        start = int(since) if since.isdigit() else 0
        return json_response(_OK, self._node.events.since(start))

    def _handle_debug(self) -> HttpResponse:
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
    """Return the load balancer's answer: 200, or 503 with the reason."""
    reason = node.lifecycle.unready_reason
    if reason:
        return problem_response(_UNAVAILABLE, 'Not ready', reason)
    return json_response(_OK, {'ready': True})
