"""Tests of the inventory's validation."""

from msgspec.json import encode
from msgspec.structs import replace
from testtools import TestCase

from bench.deployments import association, registry
from sesametrack.contracts.exceptions import InventoryError
from sesametrack.contracts.inventory import read_inventory
from tests.builders import make_inventory_model


class InventoryTest(TestCase):
    """Wrong inventories are refused with path and value."""

    def refuse(self, path: str, found: object, **changes: object) -> None:
        """Check that a change to the inventory is refused."""
        model = replace(make_inventory_model(), **changes)
        error = self.assertRaises(
            InventoryError, read_inventory, encode(model), 'file.json'
        )
        self.assertEqual('file.json', error.source)
        self.assertEqual(path, error.path)
        self.assertEqual(found, error.found)

    def test_examples_have_the_sizes_of_the_deployments(self) -> None:
        """Both deployments are complete."""
        for deployment, searchers in ((registry(), 106), (association(), 108)):
            inventory = read_inventory(encode(deployment.inventory), 'example')
            self.assertEqual(searchers, len(inventory.upstream_by_id))

    def test_address_that_appears_twice(self) -> None:
        """Two searchers cannot share an address."""
        searchers = make_inventory_model().searchers
        twice = replace(searchers[1], address=searchers[0].address)
        self.refuse(
            '$.searchers[1].address',
            searchers[0].address,
            searchers=[searchers[0], twice],
        )

    def test_searcher_in_unknown_failure_domain(self) -> None:
        """A failure domain must be listed."""
        searcher = make_inventory_model().searchers[0]
        self.refuse(
            '$.searchers[0].failure_domain',
            'east',
            searchers=[replace(searcher, failure_domain='east')],
        )

    def test_no_slots(self) -> None:
        """A searcher without slots could never run anything."""
        searcher = make_inventory_model().searchers[0]
        self.refuse(
            '$.searchers[0].slots', 0, searchers=[replace(searcher, slots=0)]
        )

    def test_overlapping_shards(self) -> None:
        """A key in two shards would double records."""
        service = make_inventory_model().services[0]
        wider = replace(service.shards[0], last=service.shards[1].first)
        self.refuse(
            '$.services[0].shards',
            [[0, wider.last], [wider.last, service.shards[1].last]],
            services=[replace(service, shards=[wider, *service.shards[1:]])],
        )

    def test_uncovered_keys(self) -> None:
        """A key in no shard would be lost without a word."""
        service = make_inventory_model().services[0]
        width = service.shards[0].last + 1
        self.refuse(
            '$.services[0].shards',
            width,
            services=[replace(service, shards=service.shards[1:])],
        )

    def test_host_name_instead_of_ip_number(self) -> None:
        """Processes talk by IP numbers."""
        searcher = make_inventory_model().searchers[0]
        self.refuse(
            '$.searchers[0].address',
            'host:80',
            searchers=[replace(searcher, address='host:80')],
        )

    def test_unknown_key(self) -> None:
        """A misspelt key is named with its value."""
        text = b'{"name": "x", "zones": 3}'
        error = self.assertRaises(InventoryError, read_inventory, text, 'f')
        self.assertEqual('$', error.path)
        self.assertEqual(3, error.found)
        self.assertIn('zones', error.problem)
