"""Tests of route lookup, branches and versions."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.routing.desired_state import (
    DesiredState,
    Route,
    WeightedService,
)
from sesametrack.routing.routes import RouteTable


def make_route(prefix: str, *weighted_services: WeightedService) -> Route:
    """Make a route of one host."""
    return Route(
        prefix,
        'host.example',
        prefix,
        is_repeatable=True,
        timeout=1,
        target=1,
        max_attempts=1,
        weighted_services=weighted_services or (WeightedService('s'),),
    )


class RouteTableTest(TestCase):
    """The longest prefix wins, and versions only rise."""

    def find(self, path: str, *prefixes: str, host: str = 'host.example'):
        """Return the prefix of the route that takes a path."""
        table = RouteTable()
        table.apply(
            DesiredState(1, tuple(make_route(prefix) for prefix in prefixes))
        )
        route = table.find(host, path)
        return None if route is None else route.prefix

    def test_longest_prefix(self) -> None:
        """A longer prefix goes before a shorter one."""
        self.assertEqual('/a/b/', self.find('/a/b/c', '/a/', '/a/b/', '/'))
        self.assertEqual('/a/', self.find('/a/bc', '/a/', '/a/b/'))
        self.assertEqual('/', self.find('/x', '/a/', '/'))

    def test_prefix_ends_with_slash(self) -> None:
        """A path that only begins like a prefix does not match."""
        self.assertIsNone(self.find('/a', '/a/'))
        self.assertIsNone(self.find('/ab/', '/a/'))

    def test_query_is_not_matched(self) -> None:
        """A slash in the query does not count."""
        self.assertEqual('/a/', self.find('/a/x?p=/b/', '/a/', '/a/x?p=/'))

    def test_host(self) -> None:
        """Hosts compare without case and port."""
        self.assertEqual('/', self.find('/', '/', host='HOST.example:80'))
        self.assertIsNone(self.find('/', '/', host='other.example'))

    def test_never_goes_back(self) -> None:
        """An older or equal version changes nothing."""
        table = RouteTable()
        self.assertTrue(table.apply(DesiredState(7, (make_route('/a/'),))))
        self.assertFalse(table.apply(DesiredState(7)))
        self.assertFalse(table.apply(DesiredState(3)))
        self.assertIsNotNone(table.find('host.example', '/a/'))

    @given(st.lists(st.integers(1, 20), min_size=1, max_size=5))
    def test_branches_get_their_weights(self, weights: list[int]) -> None:
        """Each branch gets its exact share over one whole round."""
        weighted_services = [
            WeightedService(f's{number}', weight)
            for number, weight in enumerate(weights)
        ]
        table = RouteTable()
        route = make_route('/', *weighted_services)
        table.apply(DesiredState(1, (route,)))
        taken = [table.choose_service(route) for _ in range(sum(weights))]
        counts = [
            taken.count(weighted_service.service)
            for weighted_service in weighted_services
        ]
        self.assertEqual(weights, counts)

    def test_branch_without_weight(self) -> None:
        """A branch of weight zero gets nothing."""
        route = make_route(
            '/', WeightedService('a', 0), WeightedService('b', 1)
        )
        table = RouteTable()
        table.apply(DesiredState(1, (route,)))
        taken = {table.choose_service(route) for _ in range(10)}
        self.assertEqual({'b'}, taken)
