"""Generators of the benchmark, example and test deployments.

Run `python -m bench.deployments examples` to regenerate the example files.
"""

from dataclasses import dataclass
from pathlib import Path

from absl import app
from msgspec.json import encode
from msgspec.json import format as format_json

from sesametrack.contracts.inventory import (
    FailureDomainModel,
    InventoryModel,
    SearcherModel,
    ServiceModel,
    ShardModel,
)
from sesametrack.contracts.rules import Preference, Rules, ServiceRules
from sesametrack.contracts.snapshots import KEY_SPACE

_FIRST_PORT = 20001
_FIRST_VM_HOST_OCTET = 100
# The default gossip ports of the entry and gate daemons.
_GOSSIP_PORTS = (7301, 7311)


@dataclass(frozen=True, slots=True)
class ShardedService:
    """A sharded service; two searchers hold each shard."""

    id: str
    shard_count: int
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class UnshardedService:
    """A service without shards; each searcher holds all of its data."""

    id: str
    searcher_count: int
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM and its settings as a JSON-serializable dictionary."""

    id: str
    failure_domain: str
    address: str
    settings: dict


@dataclass(frozen=True, slots=True)
class Deployment:
    """Inventory, rules and VMs of one site on loopback addresses."""

    name: str
    inventory: InventoryModel
    rules: Rules
    vms: list[Vm]
    platform: str

    def upstream_host(self, index: int) -> str:
        """Return the control host of a failure domain's simulated upstreams."""
        return (
            self.inventory.searchers[0].address.rsplit('.', 2)[0]
            + f'.{index + 1}.9'
        )


@dataclass(frozen=True, slots=True)
class _Site:
    name: str
    region: str
    network: str
    domains: tuple[str, ...]
    sharded: tuple[ShardedService, ...]
    unsharded: tuple[UnshardedService, ...]
    vm_count: int


_REGISTRY = _Site(
    'registry',
    'port-louis',
    '127.1',
    ('pl-north', 'pl-harbour', 'pl-plaine'),
    (
        ShardedService('counter-desk', 20, 2, 25),
        ShardedService('payout-run', 30, 2, 25),
    ),
    (
        UnshardedService('card-view', 3, 3, 100),
        UnshardedService('audit-trail', 3, 3, 100),
    ),
    6,
)
_ASSOCIATION = _Site(
    'association',
    'rwanda',
    '127.2',
    ('kigali-a', 'kigali-b', 'huye', 'musanze'),
    (
        ShardedService('parts-finder', 20, 2, 25),
        ShardedService('guild-roster', 30, 2, 25),
    ),
    (
        UnshardedService('repair-ledger', 4, 6, 50),
        UnshardedService('tuning-notes', 4, 6, 50),
    ),
    7,
)


_SMALL = _Site(
    'small',
    'test',
    '127.3',
    ('north', 'south'),
    (ShardedService('find', 4, 2, 25),),
    (UnshardedService('pay', 2, 3, 50),),
    4,
)


def small() -> Deployment:
    """Return a small deployment for tests."""
    rules = Rules(default=ServiceRules(deadline_ms=1500))
    return _make_deployment(_SMALL, rules)


def registry() -> Deployment:
    """Return the registry deployment, which prefers coverage to latency."""
    rules = Rules(
        default=ServiceRules(
            prefers=Preference.coverage, deadline_ms=2000, least_coverage=0
        ),
        services={
            'counter-desk': ServiceRules(
                prefers=Preference.coverage, deadline_ms=1000, weight=3
            ),
            'payout-run': ServiceRules(
                prefers=Preference.coverage, deadline_ms=2000
            ),
        },
    )
    return _make_deployment(_REGISTRY, rules)


def association() -> Deployment:
    """Return the association deployment, which prefers latency to coverage."""
    rules = Rules(
        default=ServiceRules(
            prefers=Preference.latency,
            deadline_ms=1000,
            target_ms=180,
            least_coverage=0.5,
        ),
        services={
            'parts-finder': ServiceRules(
                prefers=Preference.latency,
                deadline_ms=1000,
                target_ms=150,
                least_coverage=0.8,
                weight=3,
            )
        },
    )
    return _make_deployment(_ASSOCIATION, rules)


def write_deployment(
    deployment: Deployment, folder: Path, policy: str = 'full'
) -> None:
    """Write the inventory, the rules and the settings file of each VM."""
    settings_folder = folder / 'settings'
    settings_folder.mkdir(parents=True, exist_ok=True)
    _write_json(folder / 'inventory.json', deployment.inventory)
    _write_json(folder / 'rules.json', deployment.rules)
    for vm in deployment.vms:
        settings = dict(vm.settings)
        if policy != 'full':
            settings['policy'] = policy
        _write_json(settings_folder / f'{vm.id}.json', settings)


def _write_json(path: Path, content: object) -> None:
    path.write_bytes(format_json(encode(content), indent=2) + b'\n')


def _make_deployment(site: _Site, rules: Rules) -> Deployment:
    platform = f'{site.network}.0.1:8500'
    inventory = InventoryModel(
        site.name,
        [FailureDomainModel(name, site.region) for name in site.domains],
        [
            *(_make_sharded_service(service) for service in site.sharded),
            *(ServiceModel(service.id) for service in site.unsharded),
        ],
        _make_searchers(site),
    )
    return Deployment(
        site.name, inventory, rules, _make_vms(site, platform), platform
    )


def _make_sharded_service(service: ShardedService) -> ServiceModel:
    boundaries = [
        index * KEY_SPACE // service.shard_count
        for index in range(service.shard_count + 1)
    ]
    shards = [
        ShardModel(f's{index:02}', boundaries[index], boundaries[index + 1] - 1)
        for index in range(service.shard_count)
    ]
    return ServiceModel(service.id, 'p1', shards)


def _make_searchers(site: _Site) -> list[SearcherModel]:
    searchers: list[SearcherModel] = []
    for service in site.sharded:
        for shard_index in range(service.shard_count):
            for replica_index, suffix in enumerate('ab'):
                domain_index = (shard_index + replica_index) % len(site.domains)
                searchers.append(
                    SearcherModel(
                        f'{service.id}-{shard_index:02}{suffix}',
                        service.id,
                        site.domains[domain_index],
                        _searcher_address(site, domain_index, len(searchers)),
                        service.slots,
                        service.connections,
                        f's{shard_index:02}',
                    )
                )
    for unsharded_service in site.unsharded:
        for replica_index in range(unsharded_service.searcher_count):
            domain_index = replica_index % len(site.domains)
            searchers.append(
                SearcherModel(
                    f'{unsharded_service.id}-{replica_index}',
                    unsharded_service.id,
                    site.domains[domain_index],
                    _searcher_address(site, domain_index, len(searchers)),
                    unsharded_service.slots,
                    unsharded_service.connections,
                )
            )
    return searchers


def _searcher_address(
    site: _Site, domain_index: int, searcher_index: int
) -> str:
    return f'{site.network}.{domain_index + 1}.1:{_FIRST_PORT + searcher_index}'


def _make_vms(site: _Site, platform: str) -> list[Vm]:
    vm_locations = []
    for vm_index in range(site.vm_count):
        domain_index = vm_index % len(site.domains)
        host = _FIRST_VM_HOST_OCTET + vm_index // len(site.domains)
        vm_locations.append(
            (
                f'{site.domains[domain_index]}'
                f'-{vm_index // len(site.domains) + 1}',
                site.domains[domain_index],
                f'{site.network}.{domain_index + 1}.{host}',
            )
        )
    seeds = [
        f'{address}:{port}'
        for _, _, address in vm_locations
        for port in _GOSSIP_PORTS
    ]
    return [
        Vm(
            name,
            domain,
            address,
            {
                'vm': name,
                'failure_domain': domain,
                'address': address,
                'platform': [platform],
                # Both gossip addresses of each of the first three VMs.
                'seeds': seeds[:6],
            },
        )
        for name, domain, address in vm_locations
    ]


def _main(argv: list[str]) -> None:
    folder = Path(argv[1])
    for deployment in (registry(), association()):
        write_deployment(deployment, folder / deployment.name)


if __name__ == '__main__':
    app.run(_main)
