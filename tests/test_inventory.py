"""Tests of the validation of inventories."""

from msgspec.json import encode
from msgspec.structs import replace
from testtools import TestCase

from bench.deployments import association, registry
from sesametrack.contracts.exceptions import InventoryError
from sesametrack.contracts.inventory import read_inventory
from tests.builders import make_inventory_model


class InventoryTest(TestCase):
    """An invalid inventory is refused with the path and the value."""

    def assert_refused(
        self, path: str, found: object, **changes: object
    ) -> None:
        """Check the path and value reported for a changed inventory."""
        model = replace(make_inventory_model(), **changes)
        error = self.assertRaises(
            InventoryError, read_inventory, encode(model), 'file.json'
        )
        self.assertEqual('file.json', error.source)
        self.assertEqual(path, error.path)
        self.assertEqual(found, error.found)

    def test_example_sizes(self) -> None:
        """Both example deployments contain all of their searchers."""
        for deployment, searchers in ((registry(), 106), (association(), 108)):
            inventory = read_inventory(encode(deployment.inventory), 'example')
            self.assertEqual(searchers, len(inventory.upstream_by_id))

    def test_duplicate_address(self) -> None:
        """Two searchers cannot share an address."""
        searchers = make_inventory_model().searchers
        duplicate = replace(searchers[1], address=searchers[0].address)
        self.assert_refused(
            '$.searchers[1].address',
            searchers[0].address,
            searchers=[searchers[0], duplicate],
        )

    def test_searcher_in_unknown_failure_domain(self) -> None:
        """The failure domain of a searcher must be listed."""
        searcher = make_inventory_model().searchers[0]
        self.assert_refused(
            '$.searchers[0].failure_domain',
            'east',
            searchers=[replace(searcher, failure_domain='east')],
        )

    def test_no_slots(self) -> None:
        """A searcher without slots cannot run any request."""
        searcher = make_inventory_model().searchers[0]
        self.assert_refused(
            '$.searchers[0].slots', 0, searchers=[replace(searcher, slots=0)]
        )

    def test_overlapping_shards(self) -> None:
        """Overlapping shards would return duplicate records."""
        service = make_inventory_model().services[0]
        wider = replace(service.shards[0], last=service.shards[1].first)
        self.assert_refused(
            '$.services[0].shards',
            [[0, wider.last], [wider.last, service.shards[1].last]],
            services=[replace(service, shards=[wider, *service.shards[1:]])],
        )

    def test_uncovered_keys(self) -> None:
        """Records of keys outside all shards would be missing unnoticed."""
        service = make_inventory_model().services[0]
        width = service.shards[0].last + 1
        self.assert_refused(
            '$.services[0].shards',
            width,
            services=[replace(service, shards=service.shards[1:])],
        )

    def test_host_name_instead_of_ip_address(self) -> None:
        """Addresses must be IP addresses, not host names."""
        searcher = make_inventory_model().searchers[0]
        self.assert_refused(
            '$.searchers[0].address',
            'host:80',
            searchers=[replace(searcher, address='host:80')],
        )

    def test_unknown_field(self) -> None:
        """An unknown field is reported with its value."""
        text = b'{"name": "x", "zones": 3}'
        error = self.assertRaises(InventoryError, read_inventory, text, 'f')
        self.assertEqual('$', error.path)
        self.assertEqual(3, error.found)
        self.assertIn('zones', error.problem)
