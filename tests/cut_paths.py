"""Cuts a router's network paths to searchers, for end-to-end tests."""

from asyncio import AbstractEventLoop, sleep
from collections.abc import Callable
from typing import Any

from sesametrack.programs.router import Router

_HANG_S = 60


class CuttableLoop:
    """An event loop whose connections to some ports can be cut.

    `how` is '' for no cut, 'hang' for connections that open no more and
    carry no more data, 'refuse' for connections that are reset and refused,
    and 'keep' for new ones that are refused while open ones live on.
    """

    def __init__(
        self, loop: AbstractEventLoop, is_cut_port: Callable[[int], bool]
    ) -> None:
        """Set the loop, and the ports that a cut affects."""
        self.how = ''
        self._loop = loop
        self._is_cut_port = is_cut_port
        self._transports: list[Any] = []

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the loop."""
        return getattr(self._loop, name)

    async def create_connection(
        self, factory: Callable[[], Any], host: str, port: int
    ) -> tuple[Any, Any]:
        """Open a connection unless it is cut."""
        if self.how and self._is_cut_port(port):
            if self.how == 'hang':
                await sleep(_HANG_S)
            raise ConnectionRefusedError('cut')
        transport, protocol = await self._loop.create_connection(
            factory, host, port
        )
        if self._is_cut_port(port):
            self._transports.append(transport)
        return transport, protocol

    def cut(self, how: str) -> None:
        """Cut the paths, or mend them with ''."""
        self.how = how
        transports, self._transports = self._transports, []
        for transport in transports:
            if how == 'hang' and not transport.is_closing():
                transport.pause_reading()
            elif how == 'refuse':
                transport.abort()
            else:
                self._transports.append(transport)


def make_cuttable(
    router: Router, loop: AbstractEventLoop, is_cut_port: Callable[[int], bool]
) -> CuttableLoop:
    """Let a router that has not started use a loop that can be cut."""
    cuttable = CuttableLoop(loop, is_cut_port)
    router._forwarder._driver.pools._loop = cuttable
    return cuttable
