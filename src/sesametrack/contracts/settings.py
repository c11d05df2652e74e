"""Settings file shared by both daemons of a VM."""

from ipaddress import ip_address
from typing import Annotated

from msgspec import Meta, Struct

from sesametrack.contracts.decoding import decode_json
from sesametrack.contracts.exceptions import SettingsError
from sesametrack.contracts.types import Address

_MAX_PORT = 65535
_PORT_DIGITS = 5
_Port = Annotated[int, Meta(ge=1, le=_MAX_PORT)]
_Name = Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9._-]{0,63}$')]
_Bytes = Annotated[int, Meta(ge=1, le=64 * 1024 * 1024)]
_Count = Annotated[int, Meta(ge=1, le=100_000)]
_Seconds = Annotated[float, Meta(gt=0, le=3600)]


class DaemonPorts(Struct, forbid_unknown_fields=True, frozen=True):
    """Ports of one daemon: peer frames (TCP), gossip (UDP), admin (HTTP)."""

    peer: _Port
    gossip: _Port
    admin: _Port


class CallerLimits(Struct, forbid_unknown_fields=True, frozen=True):
    """Limits on requests and connections of callers; times in seconds.

    The bodies of all connections take `max_held_bytes` together.
    """

    max_body_bytes: _Bytes = 256 * 1024
    max_held_bytes: _Bytes = 64 * 1024 * 1024
    max_header_bytes: _Bytes = 16 * 1024
    max_connections: _Count = 2000
    max_requests: _Count = 512
    read_timeout_s: _Seconds = 10
    idle_timeout_s: _Seconds = 60


class EntrySettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the entry daemon."""

    caller_port: _Port = 8080
    ports: DaemonPorts = DaemonPorts(7300, 7301, 7302)
    limits: CallerLimits = CallerLimits()


class GateSettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the gate daemon."""

    ports: DaemonPorts = DaemonPorts(7310, 7311, 7312)


class Settings(Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of one VM; times in seconds, addresses as 'IP:port'.

    `unready_delay_s` is the time that the load balancer needs to stop
    routing new connections to a VM that reports itself unready.
    `stop_timeout_s` bounds the whole graceful shutdown.
    """

    vm: _Name
    failure_domain: _Name
    address: str
    platform: list[str]
    seeds: list[str] = []
    entry: EntrySettings = EntrySettings()
    gate: GateSettings = GateSettings()
    statsd: str | None = None
    log_format: str = 'plain'
    unready_delay_s: Annotated[float, Meta(ge=0, le=600)] = 2
    stop_timeout_s: _Seconds = 20
    policy: str = 'full'


_LOG_FORMATS = frozenset(('plain', 'json'))
_POLICIES = frozenset(('full', 'baseline'))


def read_settings(text: bytes | str, source: str) -> Settings:
    """Return the validated settings of a file; raises SettingsError."""
    settings = decode_json(text, Settings, source, SettingsError)
    check_ip(settings.address, '$.address', source)
    for name in ('platform', 'seeds'):
        for index, address in enumerate(getattr(settings, name)):
            check_address(address, f'$.{name}[{index}]', source)
    if not settings.platform:
        raise SettingsError(
            source, '$.platform', 'must list at least one address', []
        )
    if settings.statsd is not None:
        check_address(settings.statsd, '$.statsd', source)
    _check_choice(settings.log_format, _LOG_FORMATS, '$.log_format', source)
    _check_choice(settings.policy, _POLICIES, '$.policy', source)
    _check_ports(settings, source)
    return settings


def split_address(address: Address) -> tuple[str, int]:
    """Return the host and port of an 'IP:port' address."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def _check_choice(
    found: str, choices: frozenset[str], path: str, source: str
) -> None:
    if found not in choices:
        problem = f'is not one of {", ".join(sorted(choices))}'
        raise SettingsError(source, path, problem, found)


def check_ip(text: str, path: str, source: str) -> None:
    """Raise SettingsError unless the text is an IP address."""
    try:
        ip_address(text)
    except ValueError:
        raise SettingsError(
            source, path, 'is not an IP address', text
        ) from None


def check_address(address: str, path: str, source: str) -> None:
    """Raise SettingsError unless the text has the form 'IP:port'."""
    host, _, port = address.rpartition(':')
    check_ip(host, path, source)
    if not _is_port(port):
        raise SettingsError(source, path, 'needs a port', address)


def is_address(text: str) -> bool:
    """Return whether a text has the form 'IP:port'."""
    host, _, port = text.rpartition(':')
    try:
        ip_address(host)
    except ValueError:
        return False
    return _is_port(port)


def _is_port(text: str) -> bool:
    is_number = text.isascii() and text.isdecimal()
    return (
        is_number and len(text) <= _PORT_DIGITS and 1 <= int(text) <= _MAX_PORT
    )


def _check_ports(settings: Settings, source: str) -> None:
    path_by_port = {settings.entry.caller_port: '$.entry.caller_port'}
    daemons = {'entry': settings.entry.ports, 'gate': settings.gate.ports}
    for daemon, ports in daemons.items():
        for name in ('peer', 'gossip', 'admin'):
            port = getattr(ports, name)
            path = f'$.{daemon}.ports.{name}'
            if port in path_by_port:
                raise SettingsError(
                    source,
                    path,
                    f'is already used by {path_by_port[port]}',
                    port,
                )
            path_by_port[port] = path
