"""State of active requests and their sends, and the outcomes to log."""

from asyncio import TimerHandle
from collections.abc import Callable
from dataclasses import dataclass, field

from sesametrack.contracts.types import Fingerprint, Instant, ServiceId
from sesametrack.links.caller_connection import (
    CallerConnection,
    OutgoingResponse,
)
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

# Reasons for aborting the connection of a send without a reply.
REPLY_OVERDUE = 'overdue'
_CALLER_DISCONNECTED = 'caller left'


@dataclass(slots=True)
class ActiveRequest:
    """A request that is unanswered or has unfinished sends."""

    request: CallerRequest
    route: Route
    exchange: Exchange
    connection: CallerConnection | None
    version: int
    # Encodes the answer for its recipient, a caller or another VM.
    encode_answer: Callable[[Answer], OutgoingResponse]
    # The same for each repetition of the request.
    fingerprint: Fingerprint = ''
    is_subgather: bool = False
    # Whether another VM was asked to answer it, or has asked this one to.
    is_handed_over: bool = False
    # Identifies a sub-gather of another VM in that VM's grants of attempts.
    grant_id: int = 0
    # Details to log with the outcome.
    log_details: dict[str, object] = field(default_factory=dict)
    timer: TimerHandle | None = None
    timer_at: Instant = float('inf')
    is_deferred: bool = False
    sends: int = 0
    hedges: int = 0
    retries: int = 0

    def count_send(self, reason: str) -> None:
        """Count a send; hedges and retries are also counted separately."""
        self.sends += 1
        if reason == 'hedge':
            self.hedges += 1
        elif reason == 'retry':
            self.retries += 1


@dataclass(slots=True)
class InFlightSend:
    """One send to an upstream that has not ended."""

    active_request: ActiveRequest
    upstream: Upstream
    pool: UpstreamPool
    timing: RouteTiming
    service: ServiceId
    sent_at: Instant
    abort_at: Instant
    reason: str
    # Whether the upstream is an aggregator, which has sends of its own to end.
    is_subgather: bool = False
    is_caller_disconnected: bool = False
    # None until the request is written, and where nobody needs to know.
    written_at: Instant | None = None

    @property
    def abort_reason(self) -> str:
        """Return the reason to log if the send is aborted."""
        return (
            _CALLER_DISCONNECTED
            if self.is_caller_disconnected
            else REPLY_OVERDUE
        )


def describe_answer(answer: Answer) -> tuple[str, dict[str, object]]:
    """Return the name of the outcome for logs and metrics, and its details.

    Raises TypeError if the answer is of an unknown type.
    """
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
