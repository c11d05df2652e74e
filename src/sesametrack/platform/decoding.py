"""Decoding of the platform's objects into the product's own types."""

from ipaddress import ip_address
from logging import getLogger
from re import compile as compile_pattern
from typing import Annotated, Any

from msgspec import Meta, Struct, ValidationError, convert, field

from sesametrack.contracts.decoding import convert_decoded
from sesametrack.contracts.exceptions import InputError
from sesametrack.platform.store import StoreObject
from sesametrack.routing.desired_state import (
    ClientLimits,
    DesiredState,
    Route,
    ServiceSpec,
    TopKMerge,
    WeightedService,
)
from sesametrack.routing.directory import UpstreamRecord
from sesametrack.telemetry.structured_log import log_event

_MS = 1000
_REPEATABLE = 'idempotent'
_MAIN = 'main'
_ID = compile_pattern('[!-~]{1,256}')
_STATES = frozenset(('ready', 'draining'))
_DEFAULTS = ClientLimits()
_Positive = Annotated[int, Meta(ge=1)]
_NotNegative = Annotated[float, Meta(ge=0)]

_log = getLogger('platform')


class _Branch(Struct):
    service: str
    weight: _NotNegative = 1


class _Route(Struct):
    name: str
    host: str
    path_prefix: str
    route_kind: str
    timeout_ms: _NotNegative
    # The time for the full payoff; the longest wait is `timeout_ms`.
    target_latency_ms: _NotNegative = 0
    # Upstreams that one client attempt may be sent to, for each shard.
    max_attempts: _Positive = 1
    # 0 is the highest rank.
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Branch] = []
    # The shards, one service each.
    gather: list[str] = []
    top_k: int = 0
    min_share: float = 1


class _Service(Struct):
    name: str
    # From all callers together, not from each.
    max_conns: _Positive = 1
    cold_s: float = 0
    # Of one upstream, from all callers together; 0 states none.
    cold_per_s: float = 0


class _Limits(Struct):
    max_header_bytes: int = _DEFAULTS.max_header_bytes
    max_body_bytes: int = _DEFAULTS.max_body_bytes
    header_timeout_ms: float = _DEFAULTS.header_timeout * _MS
    idle_timeout_ms: float = _DEFAULTS.idle_timeout * _MS


class _DesiredState(Struct):
    # Of the desired state; the same name in an upstream's entry is the
    # version of its software.
    version: int = field(name='config_version')
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = field(default_factory=_Limits)


class _Upstream(Struct):
    service: str
    address: str
    zone: str
    state: str
    sequence: int
    # A Unix time in milliseconds; only compared with another start's.
    born: int
    slots: _Positive = 1
    # How much longer it stays slow, at the time of writing.
    cold_left_ms: _NotNegative = 0


def decode_desired_state(found: StoreObject) -> DesiredState | None:
    """Translate the newest desired state; None for other objects."""
    if found.meta.name != _MAIN:
        return None
    plain = _decode_config(found.spec)
    if plain is None:
        return None
    return DesiredState(
        plain.version,
        tuple(_read_route(route) for route in plain.routes),
        {one.name: _read_service(one) for one in plain.services},
        ClientLimits(
            plain.limits.max_header_bytes,
            plain.limits.max_body_bytes,
            plain.limits.header_timeout_ms / _MS,
            plain.limits.idle_timeout_ms / _MS,
        ),
    )


def decode_upstream(found: StoreObject) -> UpstreamRecord | None:
    """Translate an entry; None, and a log line, if it names no upstream."""
    try:
        plain = convert(found.spec, _Upstream)
        _check_address(plain.address)
    except (ValidationError, ValueError) as refused:
        _log_refused(found, str(refused))
        return None
    if not _ID.fullmatch(found.meta.name):
        # It goes into a header of every request.
        _log_refused(found, 'the id is not printable')
        return None
    if plain.state not in _STATES:
        _log_refused(found, f'unknown state {plain.state!r}')
        return None
    return UpstreamRecord(
        found.meta.name,
        plain.service,
        plain.address,
        plain.zone,
        plain.slots,
        plain.state == 'draining',
        plain.cold_left_ms / _MS,
        plain.sequence,
        plain.born,
    )


def _decode_config(spec: Any) -> _DesiredState | None:
    try:
        return convert_decoded(spec, _DesiredState, 'config/main')
    except InputError as refused:
        log_event(
            _log,
            'desired-state-refused',
            path=refused.path,
            problem=refused.problem,
        )
        return None


def _read_route(plain: _Route) -> Route:
    weighted_services = [
        WeightedService(one.service, one.weight) for one in plain.traffic_split
    ]
    if plain.service is not None and not weighted_services:
        weighted_services = [WeightedService(plain.service)]
    merge = TopKMerge(plain.top_k, plain.min_share) if plain.gather else None
    timeout = plain.timeout_ms / _MS
    return Route(
        plain.name,
        plain.host,
        plain.path_prefix,
        # A kind that is not known here may not be repeated.
        plain.route_kind == _REPEATABLE,
        timeout,
        plain.target_latency_ms / _MS or timeout,
        plain.max_attempts,
        plain.priority,
        tuple(weighted_services),
        tuple(plain.gather),
        merge,
    )


def _read_service(plain: _Service) -> ServiceSpec:
    return ServiceSpec(
        plain.name, plain.max_conns, plain.cold_s, plain.cold_per_s
    )


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(':')
    ip_address(host)
    if not port.isdigit():
        raise ValueError(f'{address!r} has no port')


def _log_refused(found: StoreObject, problem: str) -> None:
    log_event(
        _log,
        'upstream-entry-refused',
        entry=found.meta.name,
        revision=found.meta.rev,
        problem=problem,
    )
