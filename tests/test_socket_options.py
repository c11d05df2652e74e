"""Tests of when the kernel gives up connections that have gone silent."""

from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_USER_TIMEOUT,
    socket,
)

from testtools import TestCase

from sesametrack.links.socket_options import enable_dead_peer_detection

_MS_PER_S = 1000
_MIN_PROBES = 2
_MAX_DETECTION_S = 3


class SocketTransport:
    """A transport that has only a socket."""

    def __init__(self, sock: socket) -> None:
        """Set the socket."""
        self._sock = sock

    def get_extra_info(self, name: str) -> socket:
        """Return the socket."""
        return self._sock


class DeadPeerDetectionTest(TestCase):
    """Keep-alive and the user time-out agree on when a peer is dead."""

    # Guards against a TCP_USER_TIMEOUT that gives up an idle connection
    # whatever the count of its keep-alive probes, after one lost packet.
    def test_user_timeout_leaves_all_probes(self) -> None:
        """The user time-out ends no sooner than the last probe does."""
        sock = socket()
        self.addCleanup(sock.close)
        enable_dead_peer_detection(SocketTransport(sock))
        self.assertTrue(sock.getsockopt(SOL_SOCKET, SO_KEEPALIVE))
        idle, interval, probes, timeout_ms = (
            sock.getsockopt(IPPROTO_TCP, option)
            for option in (
                TCP_KEEPIDLE,
                TCP_KEEPINTVL,
                TCP_KEEPCNT,
                TCP_USER_TIMEOUT,
            )
        )
        detection_s = idle + interval * probes
        self.assertGreaterEqual(probes, _MIN_PROBES)
        self.assertGreaterEqual(timeout_ms, detection_s * _MS_PER_S)
        self.assertLessEqual(detection_s, _MAX_DETECTION_S)
