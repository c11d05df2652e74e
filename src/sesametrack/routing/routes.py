"""Lookup of routes by host and longest path prefix."""

from sesametrack.contracts.types import ServiceId
from sesametrack.routing.desired_state import (
    DesiredState,
    Route,
    WeightedService,
)


class RouteTable:
    """The routes of the newest desired state that this process has seen.

    A process never goes back to an older version.
    """

    def __init__(self) -> None:
        """Start without a desired state; every lookup misses."""
        self.state: DesiredState | None = None
        self._by_host: dict[str, dict[str, Route]] = {}
        self._credit_by_branch: dict[tuple[str, ServiceId], float] = {}

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return 0 if self.state is None else self.state.version

    def apply(self, state: DesiredState) -> bool:
        """Put a version in force unless it is not newer."""
        if state.version <= self.version:
            return False
        by_host: dict[str, dict[str, Route]] = {}
        for route in state.routes:
            by_host.setdefault(route.host.lower(), {})[route.prefix] = route
        self.state = state
        self._by_host = by_host
        self._credit_by_branch.clear()
        return True

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path.

        `path` may carry a query; every prefix ends with a slash.
        """
        by_prefix = self._by_host.get(_strip_port(host).lower())
        if by_prefix is None:
            return None
        prefix = path.partition('?')[0]
        while prefix:
            prefix = prefix[: prefix.rfind('/') + 1]
            route = by_prefix.get(prefix)
            if route is not None:
                return route
            prefix = prefix[:-1]
        return None

    def choose_service(self, route: Route) -> ServiceId:
        """Return the service for the next request of a route.

        Smooth weighted round-robin: each branch earns its weight, and the
        one with most credit pays for the request.
        """
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        total: float = 0
        chosen: WeightedService = route.weighted_services[0]
        highest = float('-inf')
        for weighted_service in route.weighted_services:
            slot = (route.name, weighted_service.service)
            credit = (
                self._credit_by_branch.get(slot, 0) + weighted_service.weight
            )
            self._credit_by_branch[slot] = credit
            total += weighted_service.weight
            if credit > highest and weighted_service.weight > 0:
                chosen, highest = weighted_service, credit
        self._credit_by_branch[(route.name, chosen.service)] -= total
        return chosen.service


def _strip_port(host: str) -> str:
    name, colon, port = host.rpartition(':')
    return name if colon and port.isdigit() else host
