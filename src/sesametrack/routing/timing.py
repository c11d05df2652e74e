"""Learned reply times of a route, and when to hedge."""

from sesametrack.callers.latency import LatencyQuantile
from sesametrack.contracts.types import Instant, Seconds
from sesametrack.routing.desired_state import Route

_MEDIAN = 50
_HIGH = 90
# Before enough replies: a part of the route's target.
_FIRST_USUAL_PART = 0.15
_FIRST_HIGH_PART = 0.25
_MIN_HEDGE_DELAY: Seconds = 0.004
# Log-normal work with a spread of a third stays below twice its median in
# 97 of 100 requests; a longer wait means a pause or a slow upstream.
_HEDGE_MEDIANS = 2.0
_MAX_HEDGE_PART = 0.4


class RouteTiming:
    """Reply times of single sends on one route, over all upstreams."""

    def __init__(self, target: Seconds) -> None:
        """Start from parts of the route's target latency."""
        self._median = LatencyQuantile(_MEDIAN, target * _FIRST_USUAL_PART)
        self._high = LatencyQuantile(_HIGH, target * _FIRST_HIGH_PART)

    def record(self, elapsed: Seconds, now: Instant) -> None:
        """Add the time of one whole reply."""
        self._median.record(elapsed, now)
        self._high.record(elapsed, now)

    def median(self, now: Instant) -> Seconds:
        """Return the median reply time."""
        return self._median.current(now)

    def hedge_delay(self, target: Seconds, now: Instant) -> Seconds:
        """Return how long to wait for a reply before a second send."""
        median = self.median(now)
        delay = max(self._high.current(now), median * 1.3)
        delay = min(delay, median * _HEDGE_MEDIANS)
        return max(_MIN_HEDGE_DELAY, min(delay, target * _MAX_HEDGE_PART))


class TimingTable:
    """The timing of each route, by its name."""

    def __init__(self) -> None:
        """Start without routes."""
        self._by_route: dict[str, RouteTiming] = {}

    def for_route(self, route: Route) -> RouteTiming:
        """Return the timing of a route; made on first use."""
        timing = self._by_route.get(route.name)
        if timing is None:
            timing = RouteTiming(route.target)
            self._by_route[route.name] = timing
        return timing

    def retain(self, names: set[str]) -> None:
        """Drop routes that are no longer declared."""
        for name in set(self._by_route) - names:
            self._by_route.pop(name)
