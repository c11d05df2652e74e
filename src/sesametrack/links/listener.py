"""Listening sockets that accept a bounded number of connections at once."""

from asyncio import Server
from collections.abc import Awaitable, Callable
from socket import AF_INET, AF_INET6, create_server

# Connections that the kernel keeps until they are accepted.
_BACKLOG = 1024


async def start_listening(
    start_server: Callable[..., Awaitable[Server]],
    host: str,
    port: int,
    max_accepted: int,
) -> Server:
    """Listen; raises OSError if the address is in use.

    asyncio accepts as many connections at once as its backlog, before it
    passes on the first of them. `start_server` gets a socket and the number
    for that; the kernel's queue is longer.
    """
    family = AF_INET6 if ':' in host else AF_INET
    listener = create_server((host, port), family=family, backlog=_BACKLOG)
    try:
        server = await start_server(sock=listener, backlog=max(1, max_accepted))
    except BaseException:
        listener.close()
        raise
    listener.listen(_BACKLOG)
    return server
