"""Drives one query of an entry: its timer, sub-queries and answer."""

from asyncio import CancelledError, Future, TimerHandle, get_running_loop
from functools import singledispatchmethod
from time import monotonic
from typing import Protocol

from sesametrack.callers.events import (
    CallerDisconnected,
    DeliverAnswer,
    QueryAction,
    QueryEvent,
    SendCancel,
    SendSubQuery,
    Started,
    TimerFired,
)
from sesametrack.callers.query import Query
from sesametrack.contracts.answers import Answer
from sesametrack.contracts.messages import SubQuery
from sesametrack.contracts.types import MemberId, SubQueryId


class Sender(Protocol):
    """What a runner needs of the entry that it belongs to."""

    def send(
        self, runner: 'QueryRunner', gate: MemberId, sub_query: SubQuery
    ) -> None:
        """Send a sub-query for a runner."""

    def cancel(self, action: SendCancel) -> None:
        """Send a cancellation."""


class QueryRunner:
    """Drives one query: its timer, its sub-queries and its answer."""

    def __init__(self, query: Query, sender: Sender) -> None:
        """Bind the query; `run` starts it."""
        self.sub_queries: list[SubQueryId] = []
        self._query = query
        self._sender = sender
        self._loop = get_running_loop()
        self._answer: Future[Answer] = self._loop.create_future()
        self._timer: TimerHandle | None = None
        # Bound once: each access to a singledispatchmethod makes a wrapper.
        self._act_on = self._act

    async def run(self) -> Answer:
        """Return the answer; cancels everything if the caller leaves."""
        self.step(Started())
        try:
            return await self._answer
        except CancelledError:
            self.step(CallerDisconnected())
            raise
        finally:
            self._stop_timer()

    def step(self, event: QueryEvent) -> None:
        """Drive the query with an event."""
        now = monotonic()
        for action in self._query.handle(event, now):
            self._act_on(action)
        if self._query.is_done:
            self._stop_timer()
        elif self._timer is None or self._query.needs_reschedule:
            # Waking too early is harmless, so most replies leave the timer.
            self._stop_timer()
            pause = max(0, self._query.next_wakeup(now) - now)
            self._timer = self._loop.call_later(pause, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self.step(TimerFired())

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    @singledispatchmethod
    def _act(self, action: QueryAction) -> None:
        raise NotImplementedError(type(action).__name__)

    @_act.register
    def _send(self, action: SendSubQuery) -> None:
        self.sub_queries.append(action.sub_query.id)
        self._sender.send(self, action.gate, action.sub_query)

    @_act.register
    def _cancel(self, action: SendCancel) -> None:
        self._sender.cancel(action)

    @_act.register
    def _deliver(self, action: DeliverAnswer) -> None:
        if not self._answer.done():
            self._answer.set_result(action.answer)
