"""Desired state declared by operators: routes, services and limits."""

from dataclasses import dataclass, field

from sesametrack.contracts.types import Seconds, ServiceId
from sesametrack.routing.workspaces import Workspace


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route and its relative share of the traffic."""

    service: ServiceId
    weight: float = 1


@dataclass(frozen=True, slots=True)
class TopKMerge:
    """Merge rule: the `count` greatest records of a gather.

    The merged result needs replies of at least `min_shard_share` of the
    shards, a fraction between 0 and 1.
    """

    count: int
    min_shard_share: float


@dataclass(frozen=True, slots=True)
class Route:
    """Services and limits for the requests of one host and path prefix.

    A route has either `weighted_services`, one of which is chosen for each
    request, or `shards`, all of which receive each request. `target` is the
    target latency.
    """

    name: str
    host: str
    prefix: str
    is_repeatable: bool
    timeout: Seconds
    target: Seconds
    max_attempts: int
    priority: int = 0
    weighted_services: tuple[WeightedService, ...] = ()
    shards: tuple[ServiceId, ...] = ()
    merge: TopKMerge | None = None
    # Whether callers need no key, although workspaces are declared.
    is_keyless: bool = False

    @property
    def services(self) -> tuple[ServiceId, ...]:
        """Return all services that the route may send to."""
        return self.shards or tuple(
            one.service for one in self.weighted_services
        )


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Limits for each upstream of one service, over all VMs.

    `cold_requests_per_s` limits requests to an upstream during its cold
    start; zero means no limit.
    """

    name: ServiceId
    max_connections: int
    cold_time: Seconds = 0
    cold_requests_per_s: float = 0


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on client connections and requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout: Seconds = 3
    idle_timeout: Seconds = 15


@dataclass(frozen=True, slots=True)
class DesiredState:
    """One version of the declared configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    service_by_id: dict[ServiceId, ServiceSpec] = field(default_factory=dict)
    limits: ClientLimits = field(default_factory=ClientLimits)
    # Without any, no request needs a key.
    workspaces: tuple[Workspace, ...] = ()
