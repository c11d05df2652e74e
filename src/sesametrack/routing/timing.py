"""Reply time statistics of routes, and the hedge delays based on them."""

from sesametrack.callers.latency import LatencyQuantile
from sesametrack.contracts.types import Instant, Seconds
from sesametrack.routing.desired_state import Route

_MEDIAN = 50
_P90 = 90
# Estimates before enough replies, as fractions of the route's target latency.
_INITIAL_MEDIAN_FRACTION = 0.15
_INITIAL_P90_FRACTION = 0.25
_MIN_HEDGE_DELAY: Seconds = 0.004
# Log-normal service times with a spread of a third stay below twice their
# median in 97% of requests; a longer wait means a paused or slow upstream.
_MAX_HEDGE_DELAY_MEDIANS = 2.0
_MAX_HEDGE_DELAY_FRACTION = 0.4


class RouteTiming:
    """Reply times of sends on one route, over all upstreams."""

    def __init__(self, target: Seconds) -> None:
        """Start with estimates based on the route's target latency."""
        self._median = LatencyQuantile(
            _MEDIAN, target * _INITIAL_MEDIAN_FRACTION
        )
        self._p90 = LatencyQuantile(_P90, target * _INITIAL_P90_FRACTION)

    def record(self, elapsed: Seconds, now: Instant) -> None:
        """Record the time of one complete reply."""
        self._median.record(elapsed, now)
        self._p90.record(elapsed, now)

    def median(self, now: Instant) -> Seconds:
        """Return the median reply time."""
        return self._median.current(now)

    def p90(self, now: Instant) -> Seconds:
        """Return the reply time that nine of ten replies stay below."""
        return self._p90.current(now)

    def hedge_delay(self, target: Seconds, now: Instant) -> Seconds:
        """Return how long to wait for a reply before hedging."""
        median = self.median(now)
        delay = max(self._p90.current(now), median * 1.3)
        delay = min(delay, median * _MAX_HEDGE_DELAY_MEDIANS)
        return max(
            _MIN_HEDGE_DELAY, min(delay, target * _MAX_HEDGE_DELAY_FRACTION)
        )


class TimingTable:
    """Reply times of all routes, by route name."""

    def __init__(self) -> None:
        """Start without routes."""
        self._timing_by_route: dict[str, RouteTiming] = {}

    def for_route(self, route: Route) -> RouteTiming:
        """Return the timing of a route, created on first use."""
        timing = self._timing_by_route.get(route.name)
        if timing is None:
            timing = RouteTiming(route.target)
            self._timing_by_route[route.name] = timing
        return timing

    def retain(self, names: set[str]) -> None:
        """Remove all routes except these."""
        for name in set(self._timing_by_route) - names:
            self._timing_by_route.pop(name)
