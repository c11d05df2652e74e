"""What operators' programs ask of all daemons through admin endpoints."""

from asyncio import gather
from dataclasses import dataclass

from msgspec.json import decode

from sesametrack.contracts.exceptions import PlatformError, ProtocolError
from sesametrack.contracts.types import Address, Seconds
from sesametrack.links.http import HttpRequest
from sesametrack.links.http_client import HttpConnection
from sesametrack.links.platform import PlatformClient

_TIMEOUT: Seconds = 2
_OK = 200


@dataclass(frozen=True, slots=True)
class AdminReply:
    """What one daemon answered; `content` is None without an answer."""

    address: Address
    content: object | None
    error: str = ''


async def find_admin_addresses(
    platform: PlatformClient, ports: list[int], named: list[Address]
) -> list[Address]:
    """Return the admin addresses: those named, or all of the VM list."""
    if named:
        return named
    try:
        vms = await platform.list_vms()
    except PlatformError:
        return []
    return sorted(f'{vm.address}:{port}' for vm in vms for port in ports)


async def fetch_all(admins: list[Address], path: str) -> list[AdminReply]:
    """Ask all daemons the same question."""
    return list(await gather(*(_ask(address, path) for address in admins)))


async def _ask(address: Address, path: str) -> AdminReply:
    connection = HttpConnection(address)
    try:
        await connection.start(_TIMEOUT)
        reply = await connection.exchange(
            HttpRequest('GET', path, {}), _TIMEOUT
        )
    except (OSError, EOFError, TimeoutError, ProtocolError) as failed:
        return AdminReply(address, None, repr(failed))
    finally:
        connection.abort()
    if reply.status != _OK:
        return AdminReply(address, None, f'answered {reply.status}')
    return AdminReply(address, decode(reply.body))
