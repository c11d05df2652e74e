"""Tests that a claimed request runs at most once under platform faults."""

from asyncio import run

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.contracts.exceptions import RefusalError
from sesametrack.contracts.outcomes import Outcome
from sesametrack.programs.claim_store import ClaimStore, RecordedAnswerError
from tests.builders import make_request
from tests.fakes import FakePlatform

_FAULTS = st.sampled_from(['', '', 'down', 'lost', 'delayed', 'lands'])
_REQUEST = make_request('pay', repeatable=False)


async def _skip_pause(seconds: float) -> None:
    """Return at once instead of sleeping."""


class ClaimHarness:
    """Simulates attempts of several VMs to run one request id."""

    store_class = ClaimStore

    def __init__(self, draw: st.DataObject) -> None:
        """Draw the faults of the platform calls."""
        self.draw = draw
        # Drawn in advance: outcomes are recorded in separate tasks, where a
        # property must not draw.
        self.faults = iter(draw.draw(st.lists(_FAULTS, max_size=60)))
        self.platform = FakePlatform(self._next_fault)
        self.runs = 0
        self.reported_outcomes: list[Outcome] = []

    async def attempt(self) -> None:
        """Run one attempt, which may crash before or after the request runs."""
        store = self.store_class(self.platform, _skip_pause)
        try:
            stored_claim = await store.claim(_REQUEST)
        except RecordedAnswerError:
            self.reported_outcomes.append(Outcome.ran)
            assert self.runs == 1, 'recorded answer of a request that never ran'
            return
        except RefusalError as refusal:
            self.reported_outcomes.append(refusal.outcome)
            return
        result = self.draw.draw(
            st.sampled_from(
                ['ran', 'not-run', 'lost', 'crash', 'crash-after-run']
            )
        )
        if result == 'crash':
            return
        self.runs += result in {'ran', 'lost', 'crash-after-run'}
        if result == 'crash-after-run':
            return
        outcome = {
            'ran': Outcome.ran,
            'not-run': Outcome.not_run,
            'lost': Outcome.unknown,
        }[result]
        self.reported_outcomes.append(outcome)
        await store.record_outcome(_REQUEST, stored_claim, outcome, b'{}')

    def _next_fault(self, call: str) -> str:
        return next(self.faults, '')


class ClaimStoreTest(TestCase):
    """The claim protocol over several attempts at one request id."""

    harness_class = ClaimHarness

    @settings(max_examples=300)
    @given(draw=st.data())
    def test_runs_at_most_once(self, draw: st.DataObject) -> None:
        """Attempts crash, and platform writes are lost or delayed."""
        harness = self.harness_class(draw)
        for _ in range(5):
            run(harness.attempt())
            self.assertLessEqual(harness.runs, 1)

    def test_repeated_request_gets_recorded_answer(self) -> None:
        """The recorded answer is returned and the request is not run again."""
        platform = FakePlatform()
        first = ClaimStore(platform, _skip_pause)
        stored_claim = run(first.claim(_REQUEST))
        run(
            first.record_outcome(
                _REQUEST, stored_claim, Outcome.ran, b'{"a":1}'
            )
        )
        error = self.assertRaises(
            RecordedAnswerError,
            lambda: run(ClaimStore(platform, _skip_pause).claim(_REQUEST)),
        )
        self.assertEqual('{"a":1}', error.answer)

    def test_platform_down_means_not_run(self) -> None:
        """Without a claim the request is refused as `not_run`."""
        platform = FakePlatform(lambda call: 'down')
        error = self.assertRaises(
            RefusalError,
            lambda: run(ClaimStore(platform, _skip_pause).claim(_REQUEST)),
        )
        self.assertEqual(Outcome.not_run, error.outcome)

    def test_not_run_claim_is_taken_over(self) -> None:
        """The next attempt takes over a claim recorded as `not_run`."""
        platform = FakePlatform()
        first = ClaimStore(platform, _skip_pause)
        stored_claim = run(first.claim(_REQUEST))
        run(first.record_outcome(_REQUEST, stored_claim, Outcome.not_run, b''))
        again = run(ClaimStore(platform, _skip_pause).claim(_REQUEST))
        self.assertNotEqual(stored_claim.claim.token, again.claim.token)
