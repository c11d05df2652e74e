"""Receiving into one buffer that all connections share."""

from asyncio import BufferedProtocol

_READ_BYTES = 64 * 1024
# Its bytes are copied before the next connection reads.
_buffer = memoryview(bytearray(_READ_BYTES))


class ReceivingProtocol(BufferedProtocol):
    """Passes received bytes to `data_received`, in moderate pieces.

    For a plain protocol asyncio allocates 256 KB for each read, and passes on
    as much at once.
    """

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the shared buffer."""
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on a copy of what was received."""
        self.data_received(bytes(_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
