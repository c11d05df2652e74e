"""The settings file of the router."""

from typing import Annotated

from msgspec import Meta, Struct

from sesametrack.contracts.decoding import decode_json
from sesametrack.contracts.exceptions import SettingsError
from sesametrack.contracts.settings import check_address, check_ip
from sesametrack.contracts.types import Address

_Name = Annotated[str, Meta(pattern='^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$')]
_Port = Annotated[int, Meta(ge=1, le=65535)]
_Seconds = Annotated[float, Meta(gt=0, le=3600)]
_Share = Annotated[float, Meta(ge=0, le=10)]


class RetrySettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Extra sends that all VMs together may make to one service.

    In any window of `window_s` seconds: `ratio` times the service's
    requests, and `slack` more.
    """

    ratio: _Share = 0.1
    window_s: _Seconds = 10
    slack: Annotated[float, Meta(ge=0, le=100_000)] = 10


class RouterSettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the router; addresses as 'IP:port'.

    `callers` takes requests, `readiness` answers the balancer. `peer_ports`
    are the first and the last port that daemons may use among themselves.
    A stop must end within `stop_timeout_s` seconds. `is_first_start` is true
    while the whole system starts for the first time.
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
    stop_timeout_s: _Seconds = 6
    is_first_start: bool = True
    memory_mb: Annotated[int, Meta(ge=16)] = 300
    max_descriptors: Annotated[int, Meta(ge=64)] = 1024


def read_router_settings(text: bytes | str, source: str) -> RouterSettings:
    """Decode and check a settings file; raises SettingsError."""
    settings = decode_json(text, RouterSettings, source, SettingsError)
    check_ip(settings.address, '$.address', source)
    for name in ('callers', 'readiness', 'platform'):
        check_address(getattr(settings, name), f'$.{name}', source)
    return settings
