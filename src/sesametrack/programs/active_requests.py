"""Requests under way, and what the log says of their ends."""

from asyncio import TimerHandle
from collections.abc import Callable
from dataclasses import dataclass

from sesametrack.contracts.types import Instant, ServiceId
from sesametrack.links.caller_server import CallerConnection, OutgoingResponse
from sesametrack.links.upstream_pool import UpstreamPool
from sesametrack.routing.desired_state import Route
from sesametrack.routing.directory import Upstream
from sesametrack.routing.events import (
    Answer,
    CallerRequest,
    Failure,
    ForwardReply,
    MergedAnswer,
    Refusal,
    ReplyKind,
)
from sesametrack.routing.exchanges import Exchange
from sesametrack.routing.timing import RouteTiming

# Why the connection of a send without a reply is closed.
OVERDUE = 'overdue'
_CALLER_LEFT = 'caller left'


@dataclass(slots=True)
class ActiveRequest:
    """A request under way or answered, with sends that have not ended."""

    request: CallerRequest
    route: Route
    exchange: Exchange
    connection: CallerConnection | None
    version: int
    # Translates the answer for whom it goes to: a caller or another VM.
    write: Callable[[Answer], OutgoingResponse]
    is_subgather: bool = False
    timer: TimerHandle | None = None
    timer_at: Instant = float('inf')
    is_deferred: bool = False
    sends: int = 0
    hedges: int = 0
    retries: int = 0

    def count_send(self, reason: str) -> None:
        """Count one more send by its reason."""
        self.sends += 1
        if reason == 'hedge':
            self.hedges += 1
        elif reason == 'retry':
            self.retries += 1


@dataclass(slots=True)
class InFlightSend:
    """One send."""

    active_request: ActiveRequest
    upstream: Upstream
    pool: UpstreamPool
    timing: RouteTiming
    service: ServiceId
    sent_at: Instant
    abort_at: Instant
    reason: str
    # Whether the upstream is an aggregator, which must end its own sends.
    is_subgather: bool = False
    is_caller_gone: bool = False

    @property
    def why_aborted(self) -> str:
        """Tell silence from the leaving of a caller."""
        return _CALLER_LEFT if self.is_caller_gone else OVERDUE


def describe_answer(answer: Answer) -> tuple[str, dict[str, object]]:
    """Return the outcome's name for logs and metrics, and its details."""
    if isinstance(answer, MergedAnswer):
        return ('partial' if answer.missing else 'whole'), {}
    if isinstance(answer, ForwardReply):
        if answer.reply.kind is ReplyKind.succeeded:
            return 'whole', {}
        return 'upstream-failed', {'status': answer.reply.status}
    if isinstance(answer, Refusal):
        return 'refused', {
            'reason': answer.reason,
            'retry_after': answer.retry_after,
        }
    if isinstance(answer, Failure):
        outcome = 'late' if answer.is_late else 'failed'
        return outcome, {'reason': answer.reason}
    raise TypeError(answer)
