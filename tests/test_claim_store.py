"""Actions run at most once, whatever befalls the claim."""

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


async def _no_pause(seconds: float) -> None:
    """Take the place of sleeping."""


class ActionWorld:
    """Attempts of several VMs at one request id."""

    store_class = ClaimStore

    def __init__(self, draw: st.DataObject) -> None:
        """Let faults befall the platform's calls."""
        self.draw = draw
        # Drawn at once: outcomes are recorded in tasks of their own, and a
        # property must not draw there.
        self.faults = iter(draw.draw(st.lists(_FAULTS, max_size=60)))
        self.platform = FakePlatform(self._fault)
        self.runs = 0
        self.told: list[Outcome] = []

    async def attempt(self) -> None:
        """Let one VM take the request, and perhaps die on the way."""
        store = self.store_class(self.platform, _no_pause)
        try:
            held = await store.claim(_REQUEST)
        except RecordedAnswerError:
            self.told.append(Outcome.ran)
            assert self.runs == 1, 'an answer of an action that never ran'
            return
        except RefusalError as refused:
            self.told.append(refused.outcome)
            return
        fate = self.draw.draw(
            st.sampled_from(['ran', 'not-run', 'lost', 'dies', 'dies-after'])
        )
        if fate == 'dies':
            return
        self.runs += fate in {'ran', 'lost', 'dies-after'}
        if fate == 'dies-after':
            return
        outcome = {
            'ran': Outcome.ran,
            'not-run': Outcome.not_run,
            'lost': Outcome.unknown,
        }[fate]
        self.told.append(outcome)
        await store.record(_REQUEST, held, outcome, b'{}')

    def _fault(self, call: str) -> str:
        return next(self.faults, '')


class ClaimStoreTest(TestCase):
    """The claim protocol."""

    world_class = ActionWorld

    @settings(max_examples=300)
    @given(draw=st.data())
    def test_runs_at_most_once(self, draw: st.DataObject) -> None:
        """Over deaths, lost replies and delayed writes."""
        world = self.world_class(draw)
        for _ in range(5):
            run(world.attempt())
            self.assertLessEqual(world.runs, 1)

    def test_second_arrival_gets_the_recorded_answer(self) -> None:
        """The answer is given again without a run."""
        platform = FakePlatform()
        first = ClaimStore(platform, _no_pause)
        held = run(first.claim(_REQUEST))
        run(first.record(_REQUEST, held, Outcome.ran, b'{"a":1}'))
        error = self.assertRaises(
            RecordedAnswerError,
            lambda: run(ClaimStore(platform, _no_pause).claim(_REQUEST)),
        )
        self.assertEqual('{"a":1}', error.answer)

    def test_platform_down_is_a_true_not_run(self) -> None:
        """No claim, no run."""
        platform = FakePlatform(lambda call: 'down')
        error = self.assertRaises(
            RefusalError,
            lambda: run(ClaimStore(platform, _no_pause).claim(_REQUEST)),
        )
        self.assertEqual(Outcome.not_run, error.outcome)

    def test_not_run_may_be_tried_again(self) -> None:
        """A recorded 'not run' is taken over by the next attempt."""
        platform = FakePlatform()
        first = ClaimStore(platform, _no_pause)
        held = run(first.claim(_REQUEST))
        run(first.record(_REQUEST, held, Outcome.not_run, b''))
        again = run(ClaimStore(platform, _no_pause).claim(_REQUEST))
        self.assertNotEqual(held.claim.token, again.claim.token)
