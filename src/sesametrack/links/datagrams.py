"""Messages between daemons as UDP datagrams."""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop
from collections.abc import Callable
from logging import getLogger
from typing import Any

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from sesametrack.contracts.members import GossipMessage
from sesametrack.contracts.settings import is_address, split_address
from sesametrack.contracts.types import Address
from sesametrack.telemetry.traffic import Traffic

MessageHandler = Callable[[Any, Address], None]

_log = getLogger('gossip')


class DatagramEndpoint(DatagramProtocol):
    """UDP socket that sends and receives messages of one type."""

    def __init__(
        self,
        address: Address,
        on_message: MessageHandler,
        message_type: type[Struct] = GossipMessage,
        traffic: Traffic | None = None,
        kind: str = '',
    ) -> None:
        """Store address and handler; `start` opens the socket.

        What is sent counts as traffic of this kind.
        """
        self._address = address
        self._on_message = on_message
        self._transport: DatagramTransport | None = None
        self._traffic = traffic
        self._kind = kind
        self._encoder = Encoder()
        self._decoder = Decoder(message_type)
        self.sent_bytes = 0
        self.received_bytes = 0

    async def start(self) -> None:
        """Open the socket; raises OSError if the address is in use."""
        await get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=split_address(self._address)
        )

    async def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, address: Address, message: Struct, kind: str = '') -> None:
        """Send a message; delivery is not guaranteed.

        Other writers may have put what is no address into the store.
        """
        if not is_address(address):
            _log.warning('cannot send to %r', address)
            return
        datagram = self._encoder.encode(message)
        self.sent_bytes += len(datagram)
        if self._traffic is not None:
            self._traffic.record_sent(kind or self._kind, len(datagram))
        if self._transport is not None:
            self._transport.sendto(datagram, split_address(address))

    def connection_made(self, transport: DatagramTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and call the message handler."""
        self.received_bytes += len(data)
        try:
            message = self._decoder.decode(data)
        except (DecodeError, ValidationError):
            _log.warning('discarded a datagram that cannot be decoded')
            return
        self._on_message(message, f'{addr[0]}:{addr[1]}')

    def error_received(self, exc: OSError) -> None:
        """Ignore errors reported for datagrams sent earlier."""
        _log.debug('an earlier datagram could not be delivered: %s', exc)
