"""A model of wide gathers: one router, its aggregators and all upstreams.

The decisions of all VMs run in virtual time against upstreams that are slow,
fail and break, and aggregators that are silent, refuse or are lost.
"""

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

from testtools import TestCase

from sesametrack.routing.desired_state import TopKMerge
from sesametrack.routing.events import (
    CancelSubgather,
    Deliver,
    FailureKind,
    MergedAnswer,
    Refusal,
    ReplyKind,
    Send,
    UpstreamReply,
)
from sesametrack.routing.exchanges import (
    GatherDeadlines,
    GatherExchange,
    to_merged_answer,
)
from sesametrack.routing.retry_budget import BudgetRule
from sesametrack.routing.wide_gather import WideGatherExchange
from tests.router_builders import (
    WIDE_RULE,
    make_context,
    make_directory,
    make_gather_route,
    make_reply,
    make_request,
)
from tests.test_wide_gather import make_aggregators

_SHARDS = 48
_HOP = 0.001
_SEEDS = 250
# Each left a shard out of the answer and out of what is missing: a direct
# gather that failed for want of shards had dropped those that it had.
_FOUND = (529, 761, 794)


class Fleet:
    """Plays one request; `answers` holds what the caller gets."""

    def __init__(self, seed: int) -> None:
        """Draw the faults of a day."""
        self.rng = Random(seed)
        self.route = make_gather_route(
            _SHARDS, self.rng.choice((0.5, 0.9, 0.95, 1))
        )
        slack = self.rng.choice((0, 20, 60))
        rule = self.rng.choice((WIDE_RULE, BudgetRule(0.2, 10, slack)))
        directory = make_directory(list(self.route.shards), 3)
        self.context = make_context(directory, rule, seed)
        self.failing = self.rng.choice((0, 0.05, 0.3))
        self.slow = self.rng.choice((0.02, 0.2, 0.5))
        self.lost = self.rng.choice((0, 0.1, 0.4))
        self.now: float = 0
        self.answers: list = []
        self.ran: dict[str, set[str]] = {}
        # Aggregators at work, by the attempt at them.
        self.at_work: dict[int, GatherExchange | None] = {}
        self._events: list = []
        self._order = count()
        aggregators = make_aggregators(9)
        self.entry = WideGatherExchange(
            make_request(),
            self.route,
            self.context,
            aggregators,
            aggregators.groups(self.route.shards),
        )

    def play(self) -> None:
        """Run until the caller has its answer."""
        self.perform(self.entry.start(0))
        while self._events and not self.answers:
            self.now, _, happen = heappop(self._events)
            happen()

    def later(self, pause: float, happen: Callable[[], None]) -> None:
        """Let something happen."""
        heappush(self._events, (self.now + pause, next(self._order), happen))

    def tell_entry(self, event: Callable, *details: object) -> None:
        """Tell the entry VM's exchange of an event."""
        if not self.entry.is_done:
            self.perform(event(*details, self.now))

    def perform(self, actions: list) -> None:
        """Carry out what the entry VM's exchange asks for."""
        for action in actions:
            if isinstance(action, Send) and action.subgather:
                self.aggregate(action)
            elif isinstance(action, Send):
                self.run_upstream(action, self.entry, self.tell_entry)
            elif isinstance(action, CancelSubgather):
                self.at_work.pop(action.attempt_id, None)
            elif isinstance(action, Deliver):
                self.answers.append(action.answer)
        if not self.entry.is_done:
            self.later(self.entry.wake_at - self.now, self.wake_entry)

    def wake_entry(self) -> None:
        """Let time pass for the entry VM's exchange."""
        if self.entry.wake_at <= self.now:
            self.tell_entry(self.entry.on_timer)

    def run_upstream(self, send: Send, exchange, tell: Callable) -> None:
        """Let an upstream answer, or not."""
        outcome = 'succeeded'
        pause = self.rng.random() * 0.01
        if self.rng.random() < self.slow:
            pause = self.rng.random() * 0.3
        if self.rng.random() < self.failing:
            outcome = self.rng.choice(
                ('failed', 'rejected', 'broken', 'not_sent')
            )
        if outcome in {'succeeded', 'failed', 'broken'}:
            self.ran.setdefault(send.service, set()).add(send.upstream.id)
        self.later(pause, partial(self.end_send, send, outcome, exchange, tell))

    def end_send(
        self, send: Send, outcome: str, exchange, tell: Callable
    ) -> None:
        """End a send to an upstream."""
        send.upstream.health.end_attempt(send.attempt_id)
        if outcome == 'succeeded':
            digest = f'{send.service}/{send.upstream.id}'.encode()
            reply = UpstreamReply(
                ReplyKind.succeeded, 200, [], b'a' * 16, digest
            )
            tell(exchange.on_reply, send.attempt_id, reply)
        elif outcome in {'failed', 'rejected'}:
            reply = make_reply(ReplyKind[outcome])
            tell(exchange.on_reply, send.attempt_id, reply)
        else:
            kind = FailureKind[outcome]
            tell(exchange.on_failure, send.attempt_id, kind)

    def aggregate(self, send: Send) -> None:
        """Let an aggregator work on a group, or be lost."""
        attempt_id = send.attempt_id
        is_lost = self.rng.random() < self.lost
        fault = self.rng.choice(
            ('silent', 'broken', 'unsent', 'refused', 'at-work')
        )
        if not is_lost:
            self.start_aggregator(send)
        elif fault == 'refused':
            reply = make_reply(ReplyKind.rejected)
            self.later_entry(_HOP, self.entry.on_reply, attempt_id, reply)
        elif fault == 'at-work':
            self.later_entry(_HOP, self.entry.on_acknowledged, attempt_id)
            kind = FailureKind.broken
            self.later_entry(0.03, self.entry.on_failure, attempt_id, kind)
        elif fault != 'silent':
            kind = FailureKind.broken
            if fault == 'unsent':
                kind = FailureKind.not_sent
            self.later_entry(_HOP, self.entry.on_failure, attempt_id, kind)

    def later_entry(self, pause: float, *event: object) -> None:
        """Tell the entry VM's exchange of an event later."""
        self.later(pause, partial(self.tell_entry, *event))

    def start_aggregator(self, send: Send) -> None:
        """Start the exchange of an aggregator."""
        asked = send.subgather
        left = send.deadline - self.now
        exchange = GatherExchange(
            make_request(self.now, left),
            replace(
                self.route,
                shards=asked.shards,
                max_attempts=asked.max_attempts,
                merge=TopKMerge(3, 0),
                timeout=left,
            ),
            self.context,
            GatherDeadlines(asked.cutoff, min(send.deadline, 0.06)),
            is_retry=asked.may_have_run,
            tried_by_shard=asked.tried_by_shard,
        )
        self.at_work[send.attempt_id] = exchange
        self.later_entry(_HOP, self.entry.on_acknowledged, send.attempt_id)
        tell = partial(self.tell_aggregator, send.attempt_id)
        self.later(_HOP, partial(tell, exchange.start))

    def tell_aggregator(
        self, attempt_id: int, event: Callable, *details: object
    ) -> None:
        """Tell an aggregator's exchange of an event."""
        exchange = self.at_work.get(attempt_id)
        if exchange is None or exchange.is_done:
            return
        tell = partial(self.tell_aggregator, attempt_id)
        for action in event(*details, self.now):
            if isinstance(action, Send):
                self.run_upstream(action, exchange, tell)
            elif isinstance(action, Deliver):
                merged = to_merged_answer(action.answer, exchange)
                reply = UpstreamReply(
                    ReplyKind.succeeded, 200, [], b'', merged=merged
                )
                self.later_entry(_HOP, self.entry.on_reply, attempt_id, reply)
        if not exchange.is_done:
            self.later(
                max(0, exchange.wake_at - self.now),
                partial(self.wake_aggregator, attempt_id),
            )

    def wake_aggregator(self, attempt_id: int) -> None:
        """Let time pass for an aggregator's exchange."""
        exchange = self.at_work.get(attempt_id)
        if exchange is not None and exchange.wake_at <= self.now:
            self.tell_aggregator(attempt_id, exchange.on_timer)


class WideFleetTest(TestCase):
    """Laws of one request over all that its fleet does."""

    def test_laws(self) -> None:
        """One answer, true of every shard, and no upstream too many."""
        for seed in (*_FOUND, *range(_SEEDS)):
            fleet = Fleet(seed)
            fleet.play()
            self.assertEqual(1, len(fleet.answers), seed)
            answer = fleet.answers[0]
            if isinstance(answer, MergedAnswer):
                named = [*answer.digest_by_shard, *answer.missing]
                self.assertEqual(
                    sorted(fleet.route.shards), sorted(named), seed
                )
                least = fleet.route.merge.min_shard_share * _SHARDS
                self.assertGreaterEqual(
                    len(answer.digest_by_shard), least - 1e-6, seed
                )
            elif isinstance(answer, Refusal):
                self.assertEqual({}, fleet.ran, seed)
            for shard, upstreams in fleet.ran.items():
                self.assertLessEqual(
                    len(upstreams), fleet.route.max_attempts, (seed, shard)
                )
