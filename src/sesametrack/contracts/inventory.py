"""Inventory of searchers, loaded by operators from their asset database."""

from dataclasses import dataclass
from ipaddress import ip_address
from typing import Annotated

from msgspec import Meta, Struct

from sesametrack.contracts.decoding import decode_json
from sesametrack.contracts.exceptions import InventoryError
from sesametrack.contracts.snapshots import KEY_SPACE, KeyRange, find_overlap
from sesametrack.contracts.types import (
    Address,
    FailureDomainId,
    ServiceId,
    ShardId,
    UpstreamId,
)

_Name = Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9._-]{0,63}$')]
_Limit = Annotated[int, Meta(ge=1, le=10_000)]
_HashedKey = Annotated[int, Meta(ge=0, lt=KEY_SPACE)]
_MAX_PORT = 65535


class FailureDomainModel(Struct, forbid_unknown_fields=True):
    """A failure domain in the inventory file."""

    id: _Name
    region: _Name


class ShardModel(Struct, forbid_unknown_fields=True):
    """A shard: a named, inclusive range of hashed keys."""

    id: _Name
    first: _HashedKey
    last: _HashedKey


class ServiceModel(Struct, forbid_unknown_fields=True):
    """A service; without shards, each searcher holds the whole index."""

    id: _Name
    partitioning: _Name = 'whole'
    shards: list[ShardModel] = []


class SearcherModel(Struct, forbid_unknown_fields=True):
    """A searcher with its limits.

    `slots` is the number of concurrent requests, `connections` the number
    of open connections.
    """

    id: _Name
    service: _Name
    failure_domain: _Name
    address: str
    slots: _Limit
    connections: _Limit
    shard: _Name | None = None


class InventoryModel(Struct, forbid_unknown_fields=True):
    """The inventory file."""

    name: _Name
    failure_domains: list[FailureDomainModel]
    services: list[ServiceModel]
    searchers: list[SearcherModel]


@dataclass(frozen=True, slots=True)
class Upstream:
    """A searcher, as the daemons address it."""

    id: UpstreamId
    service: ServiceId
    failure_domain: FailureDomainId
    address: Address
    slots: int
    connections: int
    key_range: KeyRange


@dataclass(frozen=True, slots=True)
class Service:
    """A service with its partitioning and shards."""

    id: ServiceId
    partitioning: str
    key_range_by_shard: dict[ShardId, KeyRange]

    @property
    def is_sharded(self) -> bool:
        """Return whether each searcher holds only a part of the index."""
        return len(self.key_range_by_shard) > 1


@dataclass(frozen=True, slots=True)
class Inventory:
    """The validated inventory, indexed by id."""

    name: str
    region_by_failure_domain: dict[FailureDomainId, str]
    service_by_id: dict[ServiceId, Service]
    upstream_by_id: dict[UpstreamId, Upstream]
    upstreams_by_domain: dict[FailureDomainId, list[UpstreamId]]


def read_inventory(text: bytes | str, source: str) -> Inventory:
    """Return the validated inventory of a file; raises InventoryError."""
    return build_inventory(
        decode_json(text, InventoryModel, source, InventoryError), source
    )


def build_inventory(model: InventoryModel, source: str) -> Inventory:
    """Validate entries against each other and index them by id.

    Raises InventoryError.
    """
    region_by_failure_domain = _index_failure_domains(model, source)
    service_by_id = _index_services(model, source)
    upstream_by_id: dict[UpstreamId, Upstream] = {}
    owner_by_address: dict[Address, UpstreamId] = {}
    for index, searcher in enumerate(model.searchers):
        path = f'$.searchers[{index}]'
        _require_unique(upstream_by_id, searcher.id, f'{path}.id', source)
        _check_address(searcher.address, f'{path}.address', source)
        _require_unique(
            owner_by_address, searcher.address, f'{path}.address', source
        )
        if searcher.failure_domain not in region_by_failure_domain:
            raise InventoryError(
                source,
                f'{path}.failure_domain',
                'is not a failure domain of the inventory',
                searcher.failure_domain,
            )
        key_range = _find_key_range(searcher, service_by_id, path, source)
        owner_by_address[searcher.address] = searcher.id
        upstream_by_id[searcher.id] = Upstream(
            searcher.id,
            searcher.service,
            searcher.failure_domain,
            searcher.address,
            searcher.slots,
            searcher.connections,
            key_range,
        )
    return Inventory(
        model.name,
        region_by_failure_domain,
        service_by_id,
        upstream_by_id,
        _group_by_domain(upstream_by_id),
    )


def _group_by_domain(
    upstream_by_id: dict[UpstreamId, Upstream],
) -> dict[FailureDomainId, list[UpstreamId]]:
    upstreams_by_domain: dict[FailureDomainId, list[UpstreamId]] = {}
    for upstream in upstream_by_id.values():
        upstreams = upstreams_by_domain.setdefault(upstream.failure_domain, [])
        upstreams.append(upstream.id)
    return upstreams_by_domain


def _require_unique(seen: dict, key: str, path: str, source: str) -> None:
    if key in seen:
        raise InventoryError(source, path, 'is a duplicate', key)


def _index_failure_domains(
    model: InventoryModel, source: str
) -> dict[FailureDomainId, str]:
    region_by_id: dict[FailureDomainId, str] = {}
    for index, domain in enumerate(model.failure_domains):
        path = f'$.failure_domains[{index}].id'
        _require_unique(region_by_id, domain.id, path, source)
        region_by_id[domain.id] = domain.region
    return region_by_id


def _index_services(
    model: InventoryModel, source: str
) -> dict[ServiceId, Service]:
    service_by_id: dict[ServiceId, Service] = {}
    for index, service in enumerate(model.services):
        path = f'$.services[{index}]'
        _require_unique(service_by_id, service.id, f'{path}.id', source)
        service_by_id[service.id] = Service(
            service.id,
            service.partitioning,
            _index_shards(service, path, source),
        )
    return service_by_id


def _index_shards(
    service: ServiceModel, path: str, source: str
) -> dict[ShardId, KeyRange]:
    if not service.shards:
        return {'whole': KeyRange(0, KEY_SPACE - 1)}
    key_range_by_shard_id: dict[ShardId, KeyRange] = {}
    for index, shard in enumerate(service.shards):
        shard_path = f'{path}.shards[{index}]'
        _require_unique(
            key_range_by_shard_id, shard.id, f'{shard_path}.id', source
        )
        if shard.last < shard.first:
            raise InventoryError(
                source, f'{shard_path}.last', 'is less than `first`', shard.last
            )
        key_range_by_shard_id[shard.id] = KeyRange(shard.first, shard.last)
    overlap = find_overlap(list(key_range_by_shard_id.values()))
    if overlap:
        pair = [[key_range.first, key_range.last] for key_range in overlap]
        raise InventoryError(
            source, f'{path}.shards', 'have overlapping key ranges', pair
        )
    total = sum(key_range.width for key_range in key_range_by_shard_id.values())
    if total != KEY_SPACE:
        raise InventoryError(
            source,
            f'{path}.shards',
            'leave hashed keys uncovered',
            KEY_SPACE - total,
        )
    return key_range_by_shard_id


def _find_key_range(
    searcher: SearcherModel,
    service_by_id: dict[ServiceId, Service],
    path: str,
    source: str,
) -> KeyRange:
    service = service_by_id.get(searcher.service)
    if service is None:
        raise InventoryError(
            source,
            f'{path}.service',
            'is not a service of the inventory',
            searcher.service,
        )
    shard = 'whole' if searcher.shard is None else searcher.shard
    if shard not in service.key_range_by_shard:
        raise InventoryError(
            source, f'{path}.shard', 'is not a shard of the service', shard
        )
    return service.key_range_by_shard[shard]


def _check_address(address: str, path: str, source: str) -> None:
    host, _, port = address.rpartition(':')
    try:
        ip_address(host)
    except ValueError:
        raise InventoryError(
            source, path, 'is not an IP address and a port', address
        ) from None
    if not port.isdigit() or not 0 < int(port) <= _MAX_PORT:
        raise InventoryError(
            source, path, f'needs a port from 1 to {_MAX_PORT}', address
        )
