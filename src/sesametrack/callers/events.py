"""Typed events and actions of one query."""

from dataclasses import dataclass

from sesametrack.contracts.answers import Answer
from sesametrack.contracts.messages import Cancel, SubQuery, SubReply
from sesametrack.contracts.types import MemberId, SubQueryId


@dataclass(frozen=True, slots=True)
class Started:
    """The query was admitted and may send."""


@dataclass(frozen=True, slots=True)
class ReplyReceived:
    """A gate replied to a sub-query."""

    reply: SubReply


@dataclass(frozen=True, slots=True)
class SendFailed:
    """A sub-query was not handed to its link; the gate never saw it."""

    id: SubQueryId


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The link to a gate went down; what was sent on it may have run."""

    gate: MemberId


@dataclass(frozen=True, slots=True)
class GateStalled:
    """A gate owes a sign of life; what was sent to it may never return."""

    gate: MemberId


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The wake-up time of the query was reached."""


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection; nobody waits for the answer."""


QueryEvent = (
    Started
    | ReplyReceived
    | SendFailed
    | LinkLost
    | GateStalled
    | TimerFired
    | CallerDisconnected
)


@dataclass(frozen=True, slots=True)
class SendSubQuery:
    """Send a sub-query to a gate."""

    gate: MemberId
    sub_query: SubQuery


@dataclass(frozen=True, slots=True)
class SendCancel:
    """Tell a gate that a reply is not needed any more."""

    gate: MemberId
    cancel: Cancel


@dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """The query has ended with this answer."""

    answer: Answer


QueryAction = SendSubQuery | SendCancel | DeliverAnswer
