"""Socket options for connections whose path may break silently."""

from asyncio import BaseTransport
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SO_LINGER,
    SOL_SOCKET,
    TCP_INFO,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
)
from struct import pack, unpack_from

from sesametrack.contracts.types import Seconds

# Idle time before the first keepalive probe, and time between probes.
_PROBE_INTERVAL: Seconds = 1
_MAX_PROBES = 2
_MS_PER_S = 1000
# A connection fails when sent data is not acknowledged within this time. It
# also decides, in place of the number of probes, when probes give up.
_ACKNOWLEDGEMENT_TIMEOUT: Seconds = _PROBE_INTERVAL * (1 + _MAX_PROBES)
# Offset and size of the smoothed round-trip time, in microseconds, in Linux's
# struct tcp_info.
_RTT_OFFSET = 68
_RTT_SIZE = 4
_US_PER_S = 1_000_000


def reset_on_close(transport: BaseTransport) -> None:
    """Reset the connection on close and discard unsent data.

    Otherwise the kernel would retransmit a request that a broken path has
    held back, and the upstream would run it although it was abandoned.
    """
    sock = transport.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(SOL_SOCKET, SO_LINGER, pack('ii', 1, 0))


def read_round_trip_time(transport: BaseTransport) -> Seconds | None:
    """Return the kernel's estimate for a connection, None if it has none."""
    sock = transport.get_extra_info('socket')
    if sock is None:
        return None
    try:
        info = sock.getsockopt(IPPROTO_TCP, TCP_INFO, _RTT_OFFSET + _RTT_SIZE)
    except OSError:
        return None
    if len(info) < _RTT_OFFSET + _RTT_SIZE:
        return None
    rtt_us = unpack_from('I', info, _RTT_OFFSET)[0]
    return rtt_us / _US_PER_S if rtt_us else None


def enable_dead_peer_detection(transport: BaseTransport) -> None:
    """Let the kernel close a connection whose peer stops responding."""
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, _PROBE_INTERVAL)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, _PROBE_INTERVAL)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, _MAX_PROBES)
    sock.setsockopt(
        IPPROTO_TCP, TCP_USER_TIMEOUT, int(_ACKNOWLEDGEMENT_TIMEOUT * _MS_PER_S)
    )
