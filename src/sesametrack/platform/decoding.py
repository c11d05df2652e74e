"""Decoding of the store's objects into the routing types."""

from logging import getLogger
from re import compile as compile_pattern
from typing import Annotated, Any

from msgspec import Meta, Struct, ValidationError, convert, field

from sesametrack.contracts.decoding import convert_decoded
from sesametrack.contracts.exceptions import InputError
from sesametrack.contracts.settings import is_address
from sesametrack.platform.credentials import hide_keys
from sesametrack.platform.pages import StoreObject
from sesametrack.routing.desired_state import (
    ClientLimits,
    DesiredState,
    Route,
    ServiceSpec,
    TopKMerge,
    WeightedService,
)
from sesametrack.routing.directory import UpstreamRecord
from sesametrack.routing.workspaces import RateLimit, Workspace
from sesametrack.telemetry.structured_log import log_event

_MS_PER_S = 1000
_IDEMPOTENT_KIND = 'idempotent'
_CONFIG_NAME = 'main'
_UPSTREAM_ID_PATTERN = compile_pattern('[!-~]{1,256}')
_UPSTREAM_STATES = frozenset(('ready', 'draining'))
_DEFAULT_LIMITS = ClientLimits()
_PositiveInt = Annotated[int, Meta(ge=1)]
# It is sent as a header value in every request.
_WorkspaceName = Annotated[str, Meta(pattern='^[!-~]+$')]
_NonNegativeFloat = Annotated[float, Meta(ge=0)]

_log = getLogger('platform')


class _TrafficSplitEntry(Struct):
    service: str
    weight: _NonNegativeFloat = 1


class _Route(Struct):
    name: str
    host: str
    path_prefix: str
    route_kind: str
    timeout_ms: _NonNegativeFloat
    # Latency up to which an answer has its full value; 0 means `timeout_ms`,
    # which is the longest wait.
    target_latency_ms: _NonNegativeFloat = 0
    # Upstreams that one attempt of a client may be sent to, for each shard.
    max_attempts: _PositiveInt = 1
    # 0 is the highest priority.
    priority: int = 0
    service: str | None = None
    traffic_split: list[_TrafficSplitEntry] = []
    # Services that all receive each request; each one is a shard.
    gather: list[str] = []
    # Number of records in the merged result of a gather.
    top_k: int = 0
    # Fraction of the shards that the merged result needs.
    min_share: float = 1
    # Whether requests need no key.
    no_auth: bool = False


class _Service(Struct):
    name: str
    # Connections to one upstream, from all its clients together.
    max_conns: _PositiveInt = 1
    # Duration of the cold start of an upstream.
    cold_s: float = 0
    # Requests per second to one upstream during its cold start, from all its
    # clients together; 0 means no limit.
    cold_per_s: float = 0


class _Workspace(Struct):
    name: _WorkspaceName
    # Of the keys, which are hidden before the state is decoded.
    key_digests: list[str] = []
    # 0 is the highest priority.
    priority: int = 0
    # Requests per second of all its callers, at all VMs; 0 means no limit.
    rate_per_s: _NonNegativeFloat = 0
    burst: _NonNegativeFloat = 0


class _Limits(Struct):
    max_header_bytes: int = _DEFAULT_LIMITS.max_header_bytes
    max_body_bytes: int = _DEFAULT_LIMITS.max_body_bytes
    header_timeout_ms: float = _DEFAULT_LIMITS.header_timeout * _MS_PER_S
    idle_timeout_ms: float = _DEFAULT_LIMITS.idle_timeout * _MS_PER_S


class _DesiredState(Struct):
    # Version of the desired state. In the entry of an upstream the same wire
    # name holds the version of its software.
    version: int = field(name='config_version')
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = field(default_factory=_Limits)
    workspaces: list[_Workspace] = field(name='tenants', default_factory=list)


class _Upstream(Struct):
    service: str
    address: str
    # The failure domain.
    zone: str
    state: str
    # Orders the entries of one incarnation.
    sequence: int
    # Start time of the incarnation in Unix milliseconds; only compared with
    # that of others.
    born: int
    # Number of requests that it runs at the same time.
    slots: _PositiveInt = 1
    # Remaining time of the cold start when the entry was written.
    cold_left_ms: _NonNegativeFloat = 0
    # Version of its software.
    version: Any = field(name='config_version', default='')


def decode_desired_state(store_object: StoreObject) -> DesiredState | None:
    """Return the desired state; None for other objects.

    An invalid state is logged, and None is returned too.
    """
    if store_object.meta.name != _CONFIG_NAME:
        return None
    config = _decode_config(hide_keys(store_object).spec)
    if config is None:
        return None
    return DesiredState(
        config.version,
        tuple(_build_route(route) for route in config.routes),
        {one.name: _build_service(one) for one in config.services},
        ClientLimits(
            config.limits.max_header_bytes,
            config.limits.max_body_bytes,
            config.limits.header_timeout_ms / _MS_PER_S,
            config.limits.idle_timeout_ms / _MS_PER_S,
        ),
        tuple(_build_workspace(one) for one in config.workspaces),
    )


def decode_upstream(store_object: StoreObject) -> UpstreamRecord | None:
    """Return an upstream's record; log an invalid entry and return None."""
    try:
        entry = convert(store_object.spec, _Upstream)
    except ValidationError as error:
        _log_refused_entry(store_object, str(error))
        return None
    if not is_address(entry.address):
        _log_refused_entry(store_object, 'its address is not an IP and a port')
        return None
    if not _UPSTREAM_ID_PATTERN.fullmatch(store_object.meta.name):
        # The id is sent as a header value in every request.
        _log_refused_entry(store_object, 'the id is not printable')
        return None
    if entry.state not in _UPSTREAM_STATES:
        _log_refused_entry(store_object, f'unknown state {entry.state!r}')
        return None
    return UpstreamRecord(
        store_object.meta.name,
        entry.service,
        entry.address,
        entry.zone,
        entry.slots,
        entry.state == 'draining',
        entry.cold_left_ms / _MS_PER_S,
        entry.sequence,
        entry.born,
        '' if entry.version is None else str(entry.version),
    )


def _decode_config(spec: Any) -> _DesiredState | None:
    try:
        return convert_decoded(spec, _DesiredState, 'config/main')
    except InputError as error:
        log_event(
            _log,
            'desired-state-refused',
            path=error.path,
            problem=error.problem,
        )
        return None


def _build_route(route_spec: _Route) -> Route:
    weighted_services = [
        WeightedService(one.service, one.weight)
        for one in route_spec.traffic_split
    ]
    if route_spec.service is not None and not weighted_services:
        weighted_services = [WeightedService(route_spec.service)]
    merge = (
        TopKMerge(route_spec.top_k, route_spec.min_share)
        if route_spec.gather
        else None
    )
    timeout = route_spec.timeout_ms / _MS_PER_S
    return Route(
        route_spec.name,
        route_spec.host,
        route_spec.path_prefix,
        # Requests of unknown kinds must not be repeated.
        route_spec.route_kind == _IDEMPOTENT_KIND,
        timeout,
        route_spec.target_latency_ms / _MS_PER_S or timeout,
        route_spec.max_attempts,
        route_spec.priority,
        tuple(weighted_services),
        tuple(route_spec.gather),
        merge,
        route_spec.no_auth,
    )


def _build_workspace(workspace_spec: _Workspace) -> Workspace:
    return Workspace(
        workspace_spec.name,
        tuple(workspace_spec.key_digests),
        workspace_spec.priority,
        RateLimit(workspace_spec.rate_per_s, workspace_spec.burst),
    )


def _build_service(service_spec: _Service) -> ServiceSpec:
    return ServiceSpec(
        service_spec.name,
        service_spec.max_conns,
        service_spec.cold_s,
        service_spec.cold_per_s,
    )


def _log_refused_entry(store_object: StoreObject, problem: str) -> None:
    log_event(
        _log,
        'upstream-entry-refused',
        entry=store_object.meta.name,
        revision=store_object.meta.rev,
        problem=problem,
    )
