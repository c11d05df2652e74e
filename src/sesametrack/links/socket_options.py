"""Socket options that make a silent path show."""

from asyncio import BaseTransport
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SO_LINGER,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
)
from struct import pack

from sesametrack.contracts.types import Seconds

# Probes begin after so many seconds without data, and repeat as often.
_PROBE_INTERVAL: Seconds = 1
_PROBES = 2
_MS = 1000
# Data that is not acknowledged for so long ends the connection.
_UNACKNOWLEDGED: Seconds = 2


def reset_on_close(transport: BaseTransport) -> None:
    """Let the close of a socket drop what has not arrived yet.

    Bytes that a cut path holds back would else arrive after it, and a request
    that was given up would run.
    """
    sock = transport.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(SOL_SOCKET, SO_LINGER, pack('ii', 1, 0))


def enable_dead_peer_detection(transport: BaseTransport) -> None:
    """Let the kernel end a connection whose path has gone silent."""
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, _PROBE_INTERVAL)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, _PROBE_INTERVAL)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, _PROBES)
    sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, int(_UNACKNOWLEDGED * _MS))
