"""Lookup of routes by host and longest path prefix."""

from sesametrack.contracts.types import ServiceId
from sesametrack.routing.desired_state import (
    DesiredState,
    Route,
    WeightedService,
)


class RouteTable:
    """Routes of the newest desired state received by this process.

    Older versions are ignored.
    """

    def __init__(self) -> None:
        """Start without a desired state; `find` returns None."""
        self.state: DesiredState | None = None
        self._by_host: dict[str, dict[str, Route]] = {}
        self._credit_by_service: dict[tuple[str, ServiceId], float] = {}

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first one."""
        return 0 if self.state is None else self.state.version

    def apply(self, state: DesiredState) -> bool:
        """Replace the routes if the version is newer; return whether it is."""
        if state.version <= self.version:
            return False
        by_host: dict[str, dict[str, Route]] = {}
        for route in state.routes:
            by_host.setdefault(route.host.lower(), {})[route.prefix] = route
        self.state = state
        self._by_host = by_host
        self._credit_by_service.clear()
        return True

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path.

        `path` may include a query string, which is ignored. Every prefix
        ends with a slash.
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

        Uses smooth weighted round-robin: each call adds its weight to the
        credit of every service, chooses the service with the most credit and
        subtracts the sum of the weights from it.
        """
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        total: float = 0
        chosen: WeightedService = route.weighted_services[0]
        highest = float('-inf')
        for candidate in route.weighted_services:
            key = (route.name, candidate.service)
            credit = self._credit_by_service.get(key, 0) + candidate.weight
            self._credit_by_service[key] = credit
            total += candidate.weight
            if credit > highest and candidate.weight > 0:
                chosen, highest = candidate, credit
        self._credit_by_service[(route.name, chosen.service)] -= total
        return chosen.service


def _strip_port(host: str) -> str:
    name, colon, port = host.rpartition(':')
    return name if colon and port.isdigit() else host
