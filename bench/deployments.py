"""The two deployments of today, generated at any size and address.

Run `python -m bench.deployments examples` to write the example files anew.
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
_FIRST_VM_HOST = 100
_GOSSIP_PORTS = (7301, 7311)


@dataclass(frozen=True, slots=True)
class ShardedService:
    """A service with instances, each held by two searchers."""

    id: str
    shard_count: int
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class UnshardedService:
    """A service that each searcher holds whole."""

    id: str
    searcher_count: int
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM of the system, with its settings in plain JSON form."""

    id: str
    failure_domain: str
    address: str
    settings: dict


@dataclass(frozen=True, slots=True)
class Deployment:
    """Everything that describes one user's site on loopback addresses."""

    name: str
    inventory: InventoryModel
    rules: Rules
    vms: list[Vm]
    platform: str

    def upstream_host(self, index: int) -> str:
        """Return the control host of a failure domain's stand-ins."""
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
    whole: tuple[UnshardedService, ...]
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
    """Return a small site, for tests."""
    rules = Rules(default=ServiceRules(deadline_ms=1500))
    return _make(_SMALL, rules)


def registry() -> Deployment:
    """Return the registry's deployment: coverage before latency."""
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
    return _make(_REGISTRY, rules)


def association() -> Deployment:
    """Return the association's deployment: latency before coverage."""
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
    return _make(_ASSOCIATION, rules)


def write_deployment(
    deployment: Deployment, folder: Path, policy: str = 'full'
) -> None:
    """Write inventory, rules and the settings of each VM."""
    settings_folder = folder / 'settings'
    settings_folder.mkdir(parents=True, exist_ok=True)
    _write(folder / 'inventory.json', deployment.inventory)
    _write(folder / 'rules.json', deployment.rules)
    for vm in deployment.vms:
        settings = dict(vm.settings)
        if policy != 'full':
            settings['policy'] = policy
        _write(settings_folder / f'{vm.id}.json', settings)


def _write(path: Path, content: object) -> None:
    path.write_bytes(format_json(encode(content), indent=2) + b'\n')


def _make(site: _Site, rules: Rules) -> Deployment:
    platform = f'{site.network}.0.1:8500'
    inventory = InventoryModel(
        site.name,
        [FailureDomainModel(name, site.region) for name in site.domains],
        [
            *(_make_sharded(service) for service in site.sharded),
            *(ServiceModel(service.id) for service in site.whole),
        ],
        _make_searchers(site),
    )
    return Deployment(
        site.name, inventory, rules, _make_vms(site, platform), platform
    )


def _make_sharded(service: ShardedService) -> ServiceModel:
    edges = [
        index * KEY_SPACE // service.shard_count
        for index in range(service.shard_count + 1)
    ]
    shards = [
        ShardModel(f's{index:02}', edges[index], edges[index + 1] - 1)
        for index in range(service.shard_count)
    ]
    return ServiceModel(service.id, 'p1', shards)


def _make_searchers(site: _Site) -> list[SearcherModel]:
    searchers: list[SearcherModel] = []
    for service in site.sharded:
        for instance in range(service.shard_count):
            for copy, letter in enumerate('ab'):
                domain = (instance + copy) % len(site.domains)
                searchers.append(
                    SearcherModel(
                        f'{service.id}-{instance:02}{letter}',
                        service.id,
                        site.domains[domain],
                        _address(site, domain, len(searchers)),
                        service.slots,
                        service.connections,
                        f's{instance:02}',
                    )
                )
    for whole in site.whole:
        for copy in range(whole.searcher_count):
            domain = copy % len(site.domains)
            searchers.append(
                SearcherModel(
                    f'{whole.id}-{copy}',
                    whole.id,
                    site.domains[domain],
                    _address(site, domain, len(searchers)),
                    whole.slots,
                    whole.connections,
                )
            )
    return searchers


def _address(site: _Site, domain: int, number: int) -> str:
    return f'{site.network}.{domain + 1}.1:{_FIRST_PORT + number}'


def _make_vms(site: _Site, platform: str) -> list[Vm]:
    places = []
    for number in range(site.vm_count):
        domain = number % len(site.domains)
        host = _FIRST_VM_HOST + number // len(site.domains)
        places.append(
            (
                f'{site.domains[domain]}-{number // len(site.domains) + 1}',
                site.domains[domain],
                f'{site.network}.{domain + 1}.{host}',
            )
        )
    seeds = [
        f'{address}:{port}'
        for _, _, address in places
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
                'seeds': seeds[:6],
            },
        )
        for name, domain, address in places
    ]


def _main(argv: list[str]) -> None:
    folder = Path(argv[1])
    for deployment in (registry(), association()):
        write_deployment(deployment, folder / deployment.name)


if __name__ == '__main__':
    app.run(_main)
