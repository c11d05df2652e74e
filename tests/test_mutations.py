"""Faults planted on purpose: each property must notice its own."""

from unittest import TestResult

from hypothesis import Phase, given, settings
from testtools import TestCase

from sesametrack.callers.events import QueryAction, ReplyReceived
from sesametrack.callers.query import Query
from sesametrack.claims.claim import ClaimDecision
from sesametrack.configuration.replica import ConfigurationReplica
from sesametrack.contracts.messages import SubReply, SubState
from sesametrack.contracts.outcomes import Reason
from sesametrack.contracts.types import Instant
from sesametrack.failure_domains import placement
from sesametrack.programs import changes, claimant
from sesametrack.upstreams.policy import UpstreamPolicy
from tests import (
    test_changes,
    test_claimant,
    test_placement,
    test_policy,
    test_query,
)


class MixingQuery(Query):
    """Takes a reply of any snapshot into the answer."""

    def handle(self, event: object, now: Instant) -> list[QueryAction]:
        """Pretend that each reply is of the pinned snapshot."""
        is_reply = isinstance(event, ReplyReceived)
        if is_reply and event.reply.state is SubState.answered:
            reply = event.reply
            event = ReplyReceived(
                SubReply(
                    reply.id,
                    reply.state,
                    reply.reason,
                    self._plan.snapshot,
                    reply.body,
                    0,
                    0,
                    None,
                )
            )
        return super().handle(event, now)


class ForgetfulQuery(Query):
    """Takes every loss for 'not run'."""

    def handle(self, event: object, now: Instant) -> list[QueryAction]:
        """Pretend that an unknown reply says 'not run'."""
        is_reply = isinstance(event, ReplyReceived)
        if is_reply and event.reply.state is SubState.unknown:
            reply = event.reply
            event = ReplyReceived(
                SubReply(
                    reply.id,
                    SubState.not_run,
                    Reason.shed,
                    None,
                    b'',
                    0,
                    0,
                    None,
                )
            )
        return super().handle(event, now)


class GreedyPolicy(UpstreamPolicy):
    """Sends one request more than the window allows."""

    def _idle_slots(self) -> int:
        return super()._idle_slots() + 1


class LyingPolicy(UpstreamPolicy):
    """Calls a request that was sent and lost 'not run'."""

    def _make_lost_reply(self, running: object, now: Instant) -> object:
        return self._refuse(running.queued, Reason.deadline, now)


class _MixingWorld(test_query.QueryWorld):
    query_class = MixingQuery


class _ForgetfulWorld(test_query.QueryWorld):
    query_class = ForgetfulQuery


class _GreedyWorld(test_policy.PolicyHarness):
    policy_class = GreedyPolicy


class _LyingWorld(test_policy.PolicyHarness):
    policy_class = LyingPolicy


def _without_shrinking(test: object) -> object:
    """Return a property that stops at its first counterexample."""
    found = test.hypothesis
    return settings(
        max_examples=400, phases=(Phase.generate,), print_blob=False
    )(given(**found._given_kwargs)(found.inner_test))


class MutationsTest(TestCase):
    """Each planted fault is caught."""

    def assert_caught(
        self, case: type, name: str, attributes: dict[str, object]
    ) -> None:
        """Run a property on a faulty world; it must fail."""
        faulty = type('Faulty', (case,), attributes)
        result = TestResult()
        faulty(name).run(result)
        self.assertEqual(1, len(result.failures) + len(result.errors))

    def test_mixed_snapshots(self) -> None:
        """An answer that mixes snapshots."""
        self.assert_caught(
            test_query.QueryProperties,
            'test_repeatable',
            {
                'world_class': _MixingWorld,
                'test_repeatable': _repeatable,
            },
        )

    def test_false_not_run_at_the_entry(self) -> None:
        """A loss that is taken for 'not run' lets an action run twice."""
        self.assert_caught(
            test_query.QueryProperties,
            'test_not_repeatable',
            {
                'world_class': _ForgetfulWorld,
                'test_not_repeatable': _not_repeatable,
            },
        )

    def test_slots_exceeded(self) -> None:
        """A gate that sends beyond its window."""
        self.assert_caught(
            test_policy.PolicyProperties,
            'test_limits_and_replies',
            {'harness_class': _GreedyWorld, 'test_limits_and_replies': _limits},
        )

    def test_false_not_run_at_the_gate(self) -> None:
        """A gate that calls a lost request 'not run'."""
        self.assert_caught(
            test_policy.PolicyProperties,
            'test_limits_and_replies',
            {'harness_class': _LyingWorld, 'test_limits_and_replies': _limits},
        )

    def test_claim_that_is_taken_from_a_dead_holder(self) -> None:
        """Running a claim whose holder may have sent it."""
        judge = claimant.decide_claim
        self.patch(
            claimant,
            'decide_claim',
            lambda *found: (
                ClaimDecision.take_over
                if judge(*found) is ClaimDecision.refuse_unknown
                else judge(*found)
            ),
        )
        self.assert_caught(
            test_claimant.ClaimantTest,
            'test_runs_at_most_once',
            {'test_runs_at_most_once': _at_most_once},
        )

    def test_resolve_without_a_fence(self) -> None:
        """Calling a write not applied that still may take effect."""

        async def resolve_once(
            store: changes.ConfigurationStore, change_id: str, revision: int
        ) -> object:
            stored = await store._platform.get(test_changes.HEAD_KEY)
            if stored is None:
                return None
            head = test_changes.decode(stored.text, type=test_changes.Head)
            return changes._judge_head(head, change_id, revision)

        self.patch(changes.ConfigurationStore, '_resolve_once', resolve_once)
        self.assert_caught(
            test_changes.ChangesTest,
            'test_reports_are_true',
            {'test_reports_are_true': _reports},
        )

    def test_replica_that_goes_back(self) -> None:
        """A replica that takes any revision."""
        self.patch(ConfigurationReplica, 'is_newer', lambda *_: True)
        self.assert_caught(
            test_changes.ReplicaTest,
            'test_monotone',
            {'test_monotone': _monotone},
        )

    def test_placement_that_depends_on_the_number_of_gates(self) -> None:
        """A modulo instead of rendezvous hashing moves almost all."""

        def choose(upstream: str, gates: list) -> object:
            return gates[placement._weigh(upstream, gates[0]) % len(gates)]

        self.patch(placement, 'choose_gate', choose)
        self.assert_caught(
            test_placement.PlacementTest, 'test_least_movement', {}
        )


_repeatable = _without_shrinking(test_query.QueryProperties.test_repeatable)
_not_repeatable = _without_shrinking(
    test_query.QueryProperties.test_not_repeatable
)
_limits = _without_shrinking(
    test_policy.PolicyProperties.test_limits_and_replies
)
_at_most_once = _without_shrinking(
    test_claimant.ClaimantTest.test_runs_at_most_once
)
_reports = _without_shrinking(test_changes.ChangesTest.test_reports_are_true)
_monotone = _without_shrinking(test_changes.ReplicaTest.test_monotone)
