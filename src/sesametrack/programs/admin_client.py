"""Client of the daemons' admin endpoints, for operators' tools."""

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
    """Reply of one daemon; `content` is None if there was an error."""

    address: Address
    content: object | None
    error: str = ''


async def find_admin_addresses(
    platform: PlatformClient, ports: list[int], addresses: list[Address]
) -> list[Address]:
    """Return `addresses`, or if empty those of all VMs on the platform's list.

    The result is empty if the platform cannot be reached.
    """
    if addresses:
        return addresses
    try:
        vms = await platform.list_vms()
    except PlatformError:
        return []
    return sorted(f'{vm.address}:{port}' for vm in vms for port in ports)


async def fetch_all(addresses: list[Address], path: str) -> list[AdminReply]:
    """Return the replies of all daemons to a GET request for a path."""
    return list(await gather(*(_fetch(address, path) for address in addresses)))


async def _fetch(address: Address, path: str) -> AdminReply:
    connection = HttpConnection(address)
    try:
        await connection.start(_TIMEOUT)
        reply = await connection.exchange(
            HttpRequest('GET', path, {}), _TIMEOUT
        )
    except (OSError, EOFError, TimeoutError, ProtocolError) as error:
        return AdminReply(address, None, repr(error))
    finally:
        connection.abort()
    if reply.status != _OK:
        return AdminReply(address, None, f'unexpected status {reply.status}')
    return AdminReply(address, decode(reply.body))
