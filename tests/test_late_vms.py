"""Attempts of one request while VMs handle their messages late.

Every message between VMs may be delayed by more than the request lasts. An
aggregator may start on a request long after it was given up, and a VM that was
paused may run its timers before it reads what has arrived meanwhile.
"""

from collections.abc import Callable
from functools import partial

from testtools import TestCase

from sesametrack.routing.events import (
    FailureKind,
    GrantAttempts,
    Send,
)
from tests.test_wide_fleet import FleetSimulation

_HOP = 0.001
_MAX_LAG = 0.5
_SEEDS = 400
_ATTEMPTS = (1, 2, 3)


class LateFleetSimulation(FleetSimulation):
    """Delays messages at random; continues after the caller's answer."""

    def __init__(self, seed: int, max_attempts: int) -> None:
        """Choose how many messages are late, and pauses of the entry VM."""
        super().__init__(seed, max_attempts)
        self.late_rate = self.rng.choice((0.05, 0.3, 0.9))
        self.pause_rate = self.rng.choice((0, 0.05, 0.3))
        self.paused_until: float = 0
        # Sub-gathers that the entry VM has neither closed nor seen end.
        self.open_attempts: set[int] = set()
        self.unwritten_attempts: set[int] = set()
        self.sent_by_shard: dict[str, set[str]] = {}

    def run(self) -> None:
        """Run until no message is left."""
        self.perform(self.entry.start(0))
        while self.has_events:
            self.now, _, callback = self.next_event()
            callback()

    def lag(self) -> float:
        """Return the delay of one message."""
        if self.rng.random() < self.late_rate:
            return self.rng.random() * _MAX_LAG
        return _HOP

    def notify_entry(self, event: Callable, *details: object) -> None:
        """Pass an event to the entry VM, after the end of its pause."""
        if self.rng.random() < self.pause_rate:
            self.paused_until = self.now + self.rng.random() * 0.1
        if self.now < self.paused_until:
            self.schedule(
                # Events of a pause are handled in any order.
                self.paused_until - self.now + self.rng.random() * 1e-6,
                partial(self.notify_entry, event, *details),
            )
            return
        if event == self.entry.on_timer and self.entry.wake_at > self.now:
            return
        self.notify_open_attempt(event, *details)

    def notify_open_attempt(self, event: Callable, *details: object) -> None:
        """Drop events of sub-gathers that the entry VM has closed."""
        is_end = event in {self.entry.on_reply, self.entry.on_failure}
        attempt_id = details[0] if details else None
        if event == self.entry.on_acknowledged or (
            is_end and attempt_id in self.delegated
        ):
            if attempt_id not in self.open_attempts:
                return
            if is_end:
                self.open_attempts.discard(attempt_id)
        self.handle_at_entry(event, *details)
        if self.entry.is_done:
            for open_attempt in sorted(self.open_attempts):
                self.close_attempt(open_attempt)

    def schedule_entry_event(self, pause: float, *event: object) -> None:
        """Pass an event to the entry VM, which may be late."""
        super().schedule_entry_event(pause + self.lag(), *event)

    def aggregate(self, send: Send) -> None:
        """Deliver a sub-gather after a delay, or never write it."""
        attempt_id = send.attempt_id
        self.delegated.add(attempt_id)
        self.open_attempts.add(attempt_id)
        if self.rng.random() < self.loss_rate:
            self.unwritten_attempts.add(attempt_id)
            return
        self.starts_at[attempt_id] = self.now + self.lag()
        self.schedule(
            self.starts_at[attempt_id] - self.now,
            partial(self.read_subgather, send),
        )

    def cancel(self, attempt_id: int) -> None:
        """Close a sub-gather, or withdraw it if it was not written."""
        self.close_attempt(attempt_id)
        kind = FailureKind.broken
        if attempt_id in self.unwritten_attempts:
            kind = FailureKind.not_sent
        if not self.entry.is_done:
            self.perform(self.entry.on_failure(attempt_id, kind, self.now))

    def close_attempt(self, attempt_id: int) -> None:
        """Let the aggregator see the close, but not before the request."""
        self.open_attempts.discard(attempt_id)
        seen_at = max(
            self.now + self.lag(), self.starts_at.get(attempt_id, 0) + 1e-6
        )
        self.schedule(
            seen_at - self.now,
            partial(self.active_gathers.pop, attempt_id, None),
        )

    def grant(self, action: GrantAttempts) -> None:
        """Deliver a grant late, twice or never."""
        for _ in range(self.rng.choice((0, 1, 1, 2))):
            self.schedule(
                self.lag(),
                partial(
                    self.notify_aggregator,
                    action.attempt_id,
                    self.grant_to_gather,
                    action,
                ),
            )

    def end_send(
        self, send: Send, outcome: str, exchange, notify: Callable
    ) -> None:
        """Record the upstream unless the request was never written to it."""
        if outcome != 'not_sent':
            self.sent_by_shard.setdefault(send.service, set()).add(
                send.upstream.id
            )
        super().end_send(send, outcome, exchange, notify)


class LateVmsTest(TestCase):
    """Limits that hold whatever the VMs have not yet seen."""

    def test_attempts_are_granted_once(self) -> None:
        """All VMs together send to no more upstreams than the route allows.

        Failure: a late VM replaced aggregators that were at work, or a late
        aggregator started on a request that had been given up, and a shard's
        request ran on three upstreams of two.
        """
        for max_attempts in _ATTEMPTS:
            for seed in range(_SEEDS):
                simulation = LateFleetSimulation(seed, max_attempts)
                simulation.run()
                self.assertEqual(1, len(simulation.answers), seed)
                for shard, upstreams in simulation.sent_by_shard.items():
                    self.assertLessEqual(
                        len(upstreams), max_attempts, (seed, shard, upstreams)
                    )
