"""A transport that keeps what a protocol writes."""

from asyncio import Protocol


class FakeTransport:
    """Stands in for a socket; `peer_closes` ends it."""

    def __init__(self, protocol: Protocol) -> None:
        """Bind the protocol and connect it."""
        self.written = bytearray()
        self.is_closed = False
        self.protocol = protocol
        protocol.connection_made(self)

    def get_extra_info(self, name: str) -> None:
        """Offer no socket."""

    def write(self, chunk: bytes) -> None:
        """Keep what is written."""
        self.written.extend(chunk)

    def can_write_eof(self) -> bool:
        """Tell that a half-close is possible."""
        return True

    def write_eof(self) -> None:
        """Accept a half-close."""

    def close(self) -> None:
        """End the connection."""
        self.abort()

    def abort(self) -> None:
        """End the connection once."""
        if not self.is_closed:
            self.is_closed = True
            self.protocol.connection_lost(None)

    def peer_closes(self, error: Exception | None = None) -> None:
        """Let the peer end the connection, in order or by a reset."""
        if self.is_closed:
            return
        if error is None:
            self.protocol.eof_received()
        if not self.is_closed:
            self.is_closed = True
            self.protocol.connection_lost(error)

    def take(self) -> bytes:
        """Return what was written since the last call."""
        taken = bytes(self.written)
        self.written.clear()
        return taken
