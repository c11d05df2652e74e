"""Links between daemons over real sockets on loopback."""

from asyncio import Event, run, wait_for

from msgspec.msgpack import encode
from testtools import TestCase

from sesametrack.contracts.members import Member, Role
from sesametrack.contracts.messages import (
    PROTOCOL_VERSION,
    Cancel,
    Frame,
    Hello,
    PeerMessage,
)
from sesametrack.links.peer_hub import PeerHub
from sesametrack.links.peers import ENTRY_HEARTBEAT_INTERVAL

_TIMEOUT_S = 10


def make_peer(name: str, port: int) -> Member:
    """Return a member with a loopback address."""
    address = f'127.9.1.1:{port}'
    return Member(name, name, 'north', Role.gate, address, address, address)


class Peer:
    """A hub that records received and unsent messages."""

    def __init__(self, member: Member) -> None:
        """Create the hub of a member; `hub.start` listens."""
        self.member = member
        self.received: list[PeerMessage] = []
        self.unsent: list[PeerMessage] = []
        self.changed = Event()
        self.arrived = Event()
        self.hub = PeerHub(
            member,
            self._record,
            lambda peer: self.changed.set(),
            lambda peer, messages: self.unsent.extend(messages),
            lambda peer: None,
            ENTRY_HEARTBEAT_INTERVAL,
        )

    def _record(self, sender: str, message: PeerMessage) -> None:
        self.received.append(message)
        self.arrived.set()

    async def wait_link(self, peer: 'Peer', *, is_up: bool) -> None:
        """Wait until the link to a peer is up, or down."""
        while self.hub.is_up(peer.member.id) is not is_up:
            self.changed.clear()
            await wait_for(self.changed.wait(), _TIMEOUT_S)


class PeersTest(TestCase):
    """Sessions of links, and messages that could not be sent."""

    def test_link_loss_and_reconnect(self) -> None:
        """Messages are delivered, or reported as unsent without a link."""
        run(self._check_link_loss())

    async def _check_link_loss(self) -> None:
        first = Peer(make_peer('first', 17301))
        second = Peer(make_peer('second', 17302))
        await first.hub.start()
        await second.hub.start()
        first.hub.connect('second', second.member.peer)
        await first.wait_link(second, is_up=True)
        first.hub.send('second', Cancel('q1', 'u1'))
        await wait_for(second.arrived.wait(), _TIMEOUT_S)
        self.assertEqual([Cancel('q1', 'u1')], second.received)
        await second.hub.close()
        await first.wait_link(second, is_up=False)
        first.hub.send('second', Cancel('q2', 'u1'))
        first.hub._link_by_peer['second']._flush()
        self.assertEqual([Cancel('q2', 'u1')], first.unsent)
        restarted = Peer(second.member)
        await restarted.hub.start()
        await first.wait_link(restarted, is_up=True)
        first.hub.send('second', Cancel('q3', 'u1'))
        await wait_for(restarted.arrived.wait(), _TIMEOUT_S)
        self.assertEqual([Cancel('q3', 'u1')], restarted.received)
        first.hub.close_unknown_links([])
        self.assertTrue(first.hub.is_up('second'))
        await first.hub.close()
        await restarted.hub.close()

    def test_frames_of_other_sessions_are_discarded(self) -> None:
        """Frames of a replaced or unknown session are not delivered."""
        run(self._check_old_frames())

    async def _check_old_frames(self) -> None:
        peer = Peer(make_peer('first', 17303))
        inbox = peer.hub._inbox
        hello = Hello(PROTOCOL_VERSION, 'other', '127.9.1.1:17304')
        for session in ('old', 'new'):
            inbox._handle_frame(encode(Frame(session, [hello])))
        for session in ('old', 'unknown', 'new'):
            inbox._handle_frame(encode(Frame(session, [Cancel(session, 'u1')])))
        self.assertEqual([Cancel('new', 'u1')], peer.received)
        inbox._handle_frame(b'nonsense')
        other = Hello(PROTOCOL_VERSION + 1, 'newer', '127.9.1.1:17305')
        inbox._handle_frame(encode(Frame('s', [other, Cancel('x', 'u1')])))
        self.assertEqual([Cancel('new', 'u1')], peer.received)
        await peer.hub.close()
