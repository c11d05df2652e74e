"""Requests that wait for a grant, and how they are refused."""

from asyncio import TimerHandle
from collections.abc import Callable
from dataclasses import dataclass, field
from logging import getLogger

from sesametrack.contracts.quotas import QuotaAsk
from sesametrack.contracts.types import (
    FailureDomainId,
    Instant,
    Seconds,
    WorkspaceId,
)
from sesametrack.routing.events import Refusal
from sesametrack.telemetry.structured_log import log_event

_MS_PER_SECOND = 1000
_UNAVAILABLE_RETRY_AFTER: Seconds = 0.25
_MIN_RETRY_AFTER: Seconds = 0.01

_log = getLogger('quotas')

# Called with None if the request may be sent.
QuotaCallback = Callable[[Refusal | None], None]


@dataclass(slots=True)
class Pursuit:
    """The search for a grant for one waiting request."""

    ask: QuotaAsk
    callback: QuotaCallback
    started_at: Instant
    asked: list[FailureDomainId] = field(default_factory=list)
    domain: FailureDomainId = ''
    asked_at: Instant = 0
    is_denied: bool = False
    timer: TimerHandle | None = None


@dataclass(frozen=True, slots=True)
class Unanswered:
    """An ask that has timed out; a reply may still come in time."""

    workspace: WorkspaceId
    domain: FailureDomainId
    asked_at: Instant


def make_refusal(pursuit: Pursuit, wait: Seconds | None) -> Refusal:
    """Return the refusal of a request.

    `wait` is the time until a coordinator that has refused may grant, None if
    there is none: then the limit is not known to be used up.
    """
    if wait is None and pursuit.is_denied:
        # The time that a coordinator has named is over already.
        wait = _MIN_RETRY_AFTER
    if wait is None:
        return Refusal('quota-unavailable', _UNAVAILABLE_RETRY_AFTER)
    return Refusal('quota', wait, is_over_limit=True)


def log_refusal(
    pursuit: Pursuit,
    refusal: Refusal,
    known: list[FailureDomainId],
    now: Instant,
) -> None:
    """Log the limit, whose share was asked for, and which were known."""
    log_event(
        _log,
        'quota-refused',
        reason=refusal.reason,
        retry_after=round(refusal.retry_after, 3),
        workspace=pursuit.ask.workspace,
        per_s=pursuit.ask.per_s,
        burst=pursuit.ask.burst,
        version=pursuit.ask.version,
        asked=pursuit.asked,
        known=known,
        took_ms=round((now - pursuit.started_at) * _MS_PER_SECOND, 1),
    )
