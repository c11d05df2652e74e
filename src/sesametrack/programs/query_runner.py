"""Executes the actions of one query and schedules its timer."""

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


class SubQuerySender(Protocol):
    """The part of the entry that sends messages for a runner."""

    def send(
        self, runner: 'QueryRunner', gate: MemberId, sub_query: SubQuery
    ) -> None:
        """Send a sub-query to a gate; its reply goes to the runner."""

    def cancel(self, action: SendCancel) -> None:
        """Send the cancellation of a sub-query to its gate."""


class QueryRunner:
    """Feeds one query with events and executes the actions it returns."""

    def __init__(self, query: Query, sender: SubQuerySender) -> None:
        """Create a runner; `run` starts the query."""
        self.sub_queries: list[SubQueryId] = []
        self._query = query
        self._sender = sender
        self._loop = get_running_loop()
        self._answer: Future[Answer] = self._loop.create_future()
        self._timer: TimerHandle | None = None
        # Cached: each access to a singledispatchmethod builds a wrapper.
        self._execute_action = self._execute

    async def run(self) -> Answer:
        """Run the query and return its answer.

        If the task is cancelled because the caller disconnected, the pending
        sub-queries are cancelled.
        """
        self.handle_event(Started())
        try:
            return await self._answer
        except CancelledError:
            self.handle_event(CallerDisconnected())
            raise
        finally:
            self._stop_timer()

    def handle_event(self, event: QueryEvent) -> None:
        """Apply an event to the query and execute the actions it returns."""
        now = monotonic()
        for action in self._query.handle(event, now):
            self._execute_action(action)
        if self._query.is_done:
            self._stop_timer()
        elif self._timer is None or self._query.needs_reschedule:
            # A timer that fires too early is harmless, so it is not replaced
            # after every reply.
            self._stop_timer()
            delay = max(0, self._query.next_wakeup(now) - now)
            self._timer = self._loop.call_later(delay, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.handle_event(TimerFired())

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    @singledispatchmethod
    def _execute(self, action: QueryAction) -> None:
        raise NotImplementedError(type(action).__name__)

    @_execute.register
    def _send(self, action: SendSubQuery) -> None:
        self.sub_queries.append(action.sub_query.id)
        self._sender.send(self, action.gate, action.sub_query)

    @_execute.register
    def _cancel(self, action: SendCancel) -> None:
        self._sender.cancel(action)

    @_execute.register
    def _deliver(self, action: DeliverAnswer) -> None:
        if not self._answer.done():
            self._answer.set_result(action.answer)
