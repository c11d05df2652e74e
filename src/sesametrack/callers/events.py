"""Events that a query handles, and the actions that it returns."""

from dataclasses import dataclass

from sesametrack.contracts.answers import Answer
from sesametrack.contracts.messages import Cancel, SubQuery, SubQueryReply
from sesametrack.contracts.types import MemberId, SubQueryId


@dataclass(frozen=True, slots=True)
class Started:
    """The query was admitted and may send sub-queries."""


@dataclass(frozen=True, slots=True)
class ReplyReceived:
    """A gate replied to a sub-query."""

    reply: SubQueryReply


@dataclass(frozen=True, slots=True)
class SendFailed:
    """A sub-query was not handed to its link, so no gate received it."""

    id: SubQueryId


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The link to a gate was lost; pending sub-queries may have run."""

    gate: MemberId


@dataclass(frozen=True, slots=True)
class GateStalled:
    """A gate is overdue to respond; its replies may never arrive."""

    gate: MemberId


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time returned by `Query.next_wakeup` was reached."""


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection; the answer is not needed."""


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
    """Cancel a sub-query whose reply is no longer needed."""

    gate: MemberId
    cancel: Cancel


@dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """End the query with an answer."""

    answer: Answer


QueryAction = SendSubQuery | SendCancel | DeliverAnswer
