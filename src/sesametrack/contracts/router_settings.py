"""Settings file of the router."""

from typing import Annotated

from msgspec import Meta, Struct

from sesametrack.contracts.decoding import decode_json
from sesametrack.contracts.exceptions import SettingsError
from sesametrack.contracts.settings import check_address, check_ip
from sesametrack.contracts.types import Address

_Name = Annotated[str, Meta(pattern='^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$')]
_Port = Annotated[int, Meta(ge=1, le=65535)]
_Seconds = Annotated[float, Meta(gt=0, le=3600)]
_Fingerprint = Annotated[str, Meta(pattern='^[0-9a-f]{32}$')]
_Ratio = Annotated[float, Meta(ge=0, le=10)]


class RetrySettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Budget of retries and hedges for each service, shared by all VMs.

    In any window of `window_s` seconds, a service may get `ratio` times its
    requests, plus `slack`, in sends beyond the first of each request.
    """

    ratio: _Ratio = 0.1
    window_s: _Seconds = 10
    slack: Annotated[float, Meta(ge=0, le=100_000)] = 10


class BodySettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Limits on what callers and other VMs make a process hold.

    `held_mb` bounds the requests and responses in memory; without it, it
    follows from `memory_mb`. A request whose last byte comes later than
    `timeout_s` after its first is refused.
    """

    held_mb: Annotated[int, Meta(ge=1)] | None = None
    timeout_s: _Seconds = 60


class RolloutSettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Bounds of what a version gets before it is known to be good.

    Between an order and its end, that is at most `share` of the requests of
    the service, and `slack` requests more.
    """

    share: Annotated[float, Meta(ge=0, le=1)]
    slack: Annotated[float, Meta(ge=0, le=1_000_000)]


class QuotaSettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Bound on the requests of a workspace, over all VMs.

    In any window of `window_s` seconds at most (rate x window + burst) x
    (1 + `overage`) + `slack` of them reach upstreams. `failure_domains` lists
    all those of the fleet, the same at every VM.
    """

    failure_domains: list[_Name]
    window_s: _Seconds = 5
    overage: _Ratio = 0
    slack: Annotated[float, Meta(ge=0, le=100_000)] = 0


class RouterSettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the router; addresses as 'IP:port'.

    `callers` accepts requests, `readiness` serves the load balancer's health
    checks. `peer_ports` are the first and the last port that daemons may
    use among themselves. A graceful shutdown takes at most `stop_timeout_s`
    seconds. `memory_mb` and `max_descriptors` are what the process may use at
    most. `is_first_start` is true during the first start of the whole
    system. A reload ends the quarantine of each of the `lifted_requests`,
    which are fingerprints from the log. Without `rollouts`, orders of
    roll-outs are not read.
    """

    vm: _Name
    failure_domain: _Name
    address: str
    callers: Address
    readiness: Address
    platform: Address
    metrics_port: _Port = 9464
    peer_ports: tuple[_Port, _Port] = (7380, 7395)
    retries: RetrySettings = RetrySettings()
    # Without it, limits of workspaces are not enforced.
    quotas: QuotaSettings | None = None
    stop_timeout_s: _Seconds = 6
    is_first_start: bool = True
    memory_mb: Annotated[int, Meta(ge=16)] = 300
    max_descriptors: Annotated[int, Meta(ge=64)] = 1024
    bodies: BodySettings = BodySettings()
    lifted_requests: list[_Fingerprint] = []
    rollouts: RolloutSettings | None = None


def read_router_settings(text: bytes | str, source: str) -> RouterSettings:
    """Return the validated settings of a file; raises SettingsError."""
    settings = decode_json(text, RouterSettings, source, SettingsError)
    check_ip(settings.address, '$.address', source)
    for name in ('callers', 'readiness', 'platform'):
        check_address(getattr(settings, name), f'$.{name}', source)
    return settings
