"""Datagrams of the membership protocol."""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop
from collections.abc import Callable
from logging import getLogger
from typing import Any

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from sesametrack.contracts.members import GossipMessage
from sesametrack.contracts.settings import split_address
from sesametrack.contracts.types import Address

Receiver = Callable[[Any, Address], None]

_log = getLogger('gossip')


class DatagramEndpoint(DatagramProtocol):
    """Owns the socket for one type of datagrams of one daemon."""

    def __init__(
        self,
        address: Address,
        receiver: Receiver,
        message_type: type[Struct] = GossipMessage,
    ) -> None:
        """Bind address and receiver; `start` opens the socket."""
        self._address = address
        self._receiver = receiver
        self._transport: DatagramTransport | None = None
        self._encoder = Encoder()
        self._decoder = Decoder(message_type)
        self.sent_bytes = 0
        self.received_bytes = 0

    async def start(self) -> None:
        """Open the socket; raises OSError if the address is taken."""
        await get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=split_address(self._address)
        )

    async def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, address: Address, message: Struct) -> None:
        """Send one message; a lost datagram is the protocol's business."""
        datagram = self._encoder.encode(message)
        self.sent_bytes += len(datagram)
        if self._transport is not None:
            self._transport.sendto(datagram, split_address(address))

    def connection_made(self, transport: DatagramTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and pass it on."""
        self.received_bytes += len(data)
        try:
            message = self._decoder.decode(data)
        except (DecodeError, ValidationError):
            _log.warning('dropped a datagram that is not gossip')
            return
        self._receiver(message, f'{addr[0]}:{addr[1]}')

    def error_received(self, exc: OSError) -> None:
        """Ignore errors that earlier datagrams caused."""
        _log.debug('a datagram was refused: %s', exc)
