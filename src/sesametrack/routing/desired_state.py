"""The desired state that operators declare: routes, services and limits."""

from dataclasses import dataclass, field

from sesametrack.contracts.types import Seconds, ServiceId


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route and its share of the traffic."""

    service: ServiceId
    weight: float = 1


@dataclass(frozen=True, slots=True)
class TopKMerge:
    """Merge rule: the greatest `count` records of at least some shards."""

    count: int
    min_shard_share: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and path prefix go, and their limits.

    A route has either `branches`, of which each request takes one, or
    `shards`, all of which a request is scattered to.
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

    @property
    def services(self) -> tuple[ServiceId, ...]:
        """All services that the route may send to."""
        return self.shards or tuple(
            one.service for one in self.weighted_services
        )


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Limits of one service's upstreams.

    `cold_rate` is in requests a second that an upstream bears while it is
    cold; zero means that none is stated.
    """

    name: ServiceId
    max_connections: int
    cold_time: Seconds = 0
    cold_rate: float = 0


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on what clients send; sizes in bytes."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout: Seconds = 3
    idle_timeout: Seconds = 15


@dataclass(frozen=True, slots=True)
class DesiredState:
    """One version of everything that operators declare."""

    version: int
    routes: tuple[Route, ...] = ()
    service_by_id: dict[ServiceId, ServiceSpec] = field(default_factory=dict)
    limits: ClientLimits = field(default_factory=ClientLimits)
