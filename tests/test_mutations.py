"""Mutation tests: each seeded fault must make a test fail."""

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
from sesametrack.programs import claim_store, configuration_store
from sesametrack.upstreams.policy import UpstreamPolicy
from tests import (
    test_claim_store,
    test_configuration_store,
    test_placement,
    test_policy,
    test_query,
)


class SnapshotMixingQuery(Query):
    """Mutant that uses replies from any snapshot in the answer."""

    def handle(self, event: object, now: Instant) -> list[QueryAction]:
        """Replace the snapshot of each answer by the pinned one."""
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


class LossAsNotRunQuery(Query):
    """Mutant that handles an unknown outcome as 'not run'."""

    def handle(self, event: object, now: Instant) -> list[QueryAction]:
        """Replace an unknown reply by 'not run'."""
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


class ExtraSlotPolicy(UpstreamPolicy):
    """Mutant that sends one request more than the window allows."""

    def _idle_slots(self) -> int:
        return super()._idle_slots() + 1


class LossAsNotRunPolicy(UpstreamPolicy):
    """Mutant that reports a lost request as 'not run'."""

    def _make_lost_reply(self, running: object, now: Instant) -> object:
        return self._refuse(running.queued, Reason.deadline, now)


class _SnapshotMixingHarness(test_query.QueryHarness):
    query_class = SnapshotMixingQuery


class _LossAsNotRunHarness(test_query.QueryHarness):
    query_class = LossAsNotRunQuery


class _ExtraSlotHarness(test_policy.PolicyHarness):
    policy_class = ExtraSlotPolicy


class _LossAsNotRunPolicyHarness(test_policy.PolicyHarness):
    policy_class = LossAsNotRunPolicy


def _without_shrinking(test: object) -> object:
    """Return a property test that stops at its first counterexample."""
    hypothesis_test = test.hypothesis
    return settings(
        max_examples=400, phases=(Phase.generate,), print_blob=False
    )(given(**hypothesis_test._given_kwargs)(hypothesis_test.inner_test))


class MutationsTest(TestCase):
    """Each seeded fault is detected."""

    def assert_detected(
        self, case: type, name: str, attributes: dict[str, object]
    ) -> None:
        """Run a test with a seeded fault; it must fail."""
        faulty = type('Faulty', (case,), attributes)
        result = TestResult()
        faulty(name).run(result)
        self.assertEqual(1, len(result.failures) + len(result.errors))

    def test_mixed_snapshots(self) -> None:
        """An answer contains shards of several snapshots."""
        self.assert_detected(
            test_query.QueryProperties,
            'test_repeatable',
            {
                'harness_class': _SnapshotMixingHarness,
                'test_repeatable': _repeatable,
            },
        )

    def test_false_not_run_at_the_entry(self) -> None:
        """A loss handled as 'not run' lets a request run twice."""
        self.assert_detected(
            test_query.QueryProperties,
            'test_not_repeatable',
            {
                'harness_class': _LossAsNotRunHarness,
                'test_not_repeatable': _not_repeatable,
            },
        )

    def test_slots_exceeded(self) -> None:
        """A gate sends more requests than its window allows."""
        self.assert_detected(
            test_policy.PolicyProperties,
            'test_limits_and_replies',
            {
                'harness_class': _ExtraSlotHarness,
                'test_limits_and_replies': _limits,
            },
        )

    def test_false_not_run_at_the_gate(self) -> None:
        """A gate reports a lost request as 'not run'."""
        self.assert_detected(
            test_policy.PolicyProperties,
            'test_limits_and_replies',
            {
                'harness_class': _LossAsNotRunPolicyHarness,
                'test_limits_and_replies': _limits,
            },
        )

    def test_claim_taken_over_from_crashed_holder(self) -> None:
        """A claim is taken over although its holder may have sent it."""
        decide = claim_store.decide_claim
        self.patch(
            claim_store,
            'decide_claim',
            lambda *arguments: (
                ClaimDecision.take_over
                if decide(*arguments) is ClaimDecision.refuse_unknown
                else decide(*arguments)
            ),
        )
        self.assert_detected(
            test_claim_store.ClaimStoreTest,
            'test_runs_at_most_once',
            {'test_runs_at_most_once': _at_most_once},
        )

    def test_resolve_without_fencing(self) -> None:
        """A delayed write is reported as not applied."""

        async def resolve_once(
            store: configuration_store.ConfigurationStore,
            change_id: str,
            revision: int,
        ) -> object:
            stored = await store._platform.get(
                test_configuration_store.HEAD_KEY
            )
            if stored is None:
                return None
            head = test_configuration_store.decode(
                stored.text, type=test_configuration_store.Head
            )
            return configuration_store._report_from_head(
                head, change_id, revision
            )

        self.patch(
            configuration_store.ConfigurationStore,
            '_resolve_once',
            resolve_once,
        )
        self.assert_detected(
            test_configuration_store.ConfigurationStoreTest,
            'test_reports_match_head',
            {'test_reports_match_head': _reports},
        )

    def test_replica_accepts_lower_revision(self) -> None:
        """A replica accepts any revision."""
        self.patch(ConfigurationReplica, 'is_newer', lambda *_: True)
        self.assert_detected(
            test_configuration_store.ConfigurationReplicaTest,
            'test_revision_is_monotonic',
            {'test_revision_is_monotonic': _monotone},
        )

    def test_placement_by_modulo(self) -> None:
        """Modulo instead of rendezvous hashing moves most upstreams."""

        def choose(upstream: str, gates: list) -> object:
            return gates[placement._weigh(upstream, gates[0]) % len(gates)]

        self.patch(placement, 'choose_gate', choose)
        self.assert_detected(
            test_placement.PlacementTest, 'test_minimal_reassignment', {}
        )


_repeatable = _without_shrinking(test_query.QueryProperties.test_repeatable)
_not_repeatable = _without_shrinking(
    test_query.QueryProperties.test_not_repeatable
)
_limits = _without_shrinking(
    test_policy.PolicyProperties.test_limits_and_replies
)
_at_most_once = _without_shrinking(
    test_claim_store.ClaimStoreTest.test_runs_at_most_once
)
_reports = _without_shrinking(
    test_configuration_store.ConfigurationStoreTest.test_reports_match_head
)
_monotone = _without_shrinking(
    test_configuration_store.ConfigurationReplicaTest.test_revision_is_monotonic
)
