"""Tests of the permits that the coordinator issues."""

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.contracts.permits import LimitedUpstream, PermitRequest
from sesametrack.routing.permits import MAX_PERMIT_WAIT, PermitIssuer

_WINDOW = 4
# What a message and a wait for a connection add to the validity of a permit.
_DELIVERY_TIME = 0.4


def make_upstream(
    upstream_id: str, per_s: float, age: float = 0, *, is_cold: bool = False
) -> LimitedUpstream:
    """Return an upstream with its limit."""
    return LimitedUpstream(upstream_id, 1, per_s, age, is_cold)


def make_request(
    *upstreams: LimitedUpstream, min_permits: int = 0, max_wait: float = 0
) -> PermitRequest:
    """Return a request that needs one permit for each upstream."""
    needs = [[upstream] for upstream in upstreams]
    return PermitRequest(1, needs, min_permits, max_wait)


def most_in_window(times: list[float], window: float) -> int:
    """Return the greatest number of times in a window."""
    return max(
        (
            sum(1 for at in times if start <= at <= start + window)
            for start in times
        ),
        default=0,
    )


class PermitIssuerTest(TestCase):
    """One issuer, and what it promises."""

    @given(
        st.floats(0, 60),
        st.lists(
            st.tuples(st.floats(0, 0.5), st.floats(0, 1)),
            min_size=1,
            max_size=150,
        ),
    )
    def test_window_bound(
        self, per_s: float, steps: list[tuple[float, float]]
    ) -> None:
        """Permits that are all used as late as possible keep to the bound.

        The worst window starts with as many old permits as are still valid.
        """
        issuer = PermitIssuer(0)
        now = 0.0
        due: list[float] = []
        for pause, max_wait in steps:
            now += pause
            for _ in range(3):
                request = make_request(
                    make_upstream('u', per_s), max_wait=max_wait
                )
                reply = issuer.issue(request, now)
                due.extend(now + permit.wait for permit in reply.permits)
                validity = [permit.validity for permit in reply.permits]
                self.assertLessEqual(max(validity, default=0), 1)
        longest = _WINDOW + 1 + _DELIVERY_TIME
        allowed = 1.5 * per_s * _WINDOW + 5
        self.assertLessEqual(most_in_window(due, longest), allowed)

    @given(st.floats(0.3, 40), st.lists(st.floats(0, 0.3), max_size=80))
    def test_cold_bound(self, per_s: float, pauses: list[float]) -> None:
        """In any second a cold upstream gets 1.5 times its rate and 5."""
        issuer = PermitIssuer(0)
        now = 0.0
        due: list[float] = []
        for pause in pauses:
            now += pause
            for _ in range(4):
                cold = make_upstream('u', per_s, is_cold=True)
                reply = issuer.issue(make_request(cold, max_wait=0.5), now)
                due.extend(now + permit.wait for permit in reply.permits)
        longest = 1 + 0.05 + _DELIVERY_TIME
        self.assertLessEqual(most_in_window(due, longest), 1.5 * per_s + 5)

    def test_successor(self) -> None:
        """A new issuer starts when the permits of the former one are due.

        They may be due up to the longest wait after the last reply.
        """
        former = PermitIssuer(0)
        due = []
        for step in range(200):
            now = step / 50
            reply = former.issue(
                make_request(make_upstream('u', 8), max_wait=1), now
            )
            due.extend(now + permit.wait for permit in reply.permits)
        successor = PermitIssuer(4 + MAX_PERMIT_WAIT)
        for step in range(200, 400):
            now = step / 50
            reply = successor.issue(
                make_request(make_upstream('u', 8), max_wait=1), now
            )
            due.extend(now + permit.wait for permit in reply.permits)
        self.assertEqual(sorted(due), due)
        longest = _WINDOW + 1 + _DELIVERY_TIME
        self.assertLessEqual(most_in_window(due, longest), 8 * 1.5 * 4 + 5)
        gaps = [later - earlier for earlier, later in pairwise(due[4:])]
        self.assertGreater(min(gaps), 0.1)

    def test_whole_or_nothing(self) -> None:
        """A request that can't have enough permits uses none up."""
        issuer = PermitIssuer(0)
        first, second = make_upstream('a', 1), make_upstream('b', 1)
        issuer.issue(make_request(first), 10)
        denied = issuer.issue(make_request(first, second, min_permits=2), 10)
        self.assertEqual([], denied.permits)
        self.assertAlmostEqual(0.75, denied.retry_after)
        self.assertEqual(['a'], list(denied.wait_by_upstream))
        spared = issuer.issue(make_request(second, min_permits=1), 10)
        self.assertEqual('b', spared.permits[0].upstream)

    def test_preferred_copy(self) -> None:
        """The first upstream is used, unless another is due sooner."""
        issuer = PermitIssuer(0)
        need = [make_upstream('a', 1), make_upstream('b', 1)]
        chosen = [
            issuer.issue(PermitRequest(1, [need], 1, 0), 10).permits[0].upstream
            for _ in need
        ]
        self.assertEqual(['a', 'b'], chosen)

    def test_latest_limit(self) -> None:
        """Of what VMs heard, the latest holds, whoever asks last."""
        issuer = PermitIssuer(0)
        issuer.issue(make_request(make_upstream('u', 1, age=0.1)), 10)
        issuer.issue(make_request(make_upstream('u', 100, age=3)), 10.5)
        reply = issuer.issue(make_request(make_upstream('u', 100, age=3)), 10.6)
        self.assertEqual([], reply.permits)

    def test_odd_limits(self) -> None:
        """Limits that no upstream should state neither fail nor open a hole."""
        for per_s in (0, -3, float('nan'), 1e9, float('inf'), 1e-9):
            issuer = PermitIssuer(0)
            permits = [
                permit
                for _ in range(100)
                for permit in issuer.issue(
                    make_request(make_upstream('u', per_s)), 10
                ).permits
            ]
            expected = 100 if per_s > 1 else 1
            self.assertEqual(expected, len(permits), per_s)
