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

_PATIENCE_S = 10


def make_peer(name: str, port: int) -> Member:
    """Make a member on loopback."""
    address = f'127.9.1.1:{port}'
    return Member(name, name, 'north', Role.gate, address, address, address)


class Peer:
    """A hub that notes what happens to it."""

    def __init__(self, member: Member) -> None:
        """Bind the member; `hub.start` listens."""
        self.member = member
        self.received: list[PeerMessage] = []
        self.unsent: list[PeerMessage] = []
        self.changed = Event()
        self.arrived = Event()
        self.hub = PeerHub(
            member,
            self._take,
            lambda peer: self.changed.set(),
            lambda peer, messages: self.unsent.extend(messages),
            lambda peer: None,
            ENTRY_HEARTBEAT_INTERVAL,
        )

    def _take(self, sender: str, message: PeerMessage) -> None:
        self.received.append(message)
        self.arrived.set()

    async def wait_link(self, peer: 'Peer', *, is_up: bool) -> None:
        """Wait until the link to a peer is up, or down."""
        while self.hub.is_up(peer.member.id) is not is_up:
            self.changed.clear()
            await wait_for(self.changed.wait(), _PATIENCE_S)


class PeersTest(TestCase):
    """Sessions and what was never sent."""

    def test_messages_arrive_and_lost_links_are_told(self) -> None:
        """A message goes over; without a link it is reported as unsent."""
        run(self._lose_and_find())

    async def _lose_and_find(self) -> None:
        first = Peer(make_peer('first', 17301))
        second = Peer(make_peer('second', 17302))
        await first.hub.start()
        await second.hub.start()
        first.hub.connect('second', second.member.peer)
        await first.wait_link(second, is_up=True)
        first.hub.send('second', Cancel('q1', 'u1'))
        await wait_for(second.arrived.wait(), _PATIENCE_S)
        self.assertEqual([Cancel('q1', 'u1')], second.received)
        await second.hub.close()
        await first.wait_link(second, is_up=False)
        first.hub.send('second', Cancel('q2', 'u1'))
        first.hub._link_by_peer['second']._flush()
        self.assertEqual([Cancel('q2', 'u1')], first.unsent)
        again = Peer(second.member)
        await again.hub.start()
        await first.wait_link(again, is_up=True)
        first.hub.send('second', Cancel('q3', 'u1'))
        await wait_for(again.arrived.wait(), _PATIENCE_S)
        self.assertEqual([Cancel('q3', 'u1')], again.received)
        first.hub.close_unknown_links([])
        self.assertTrue(first.hub.is_up('second'))
        await first.hub.close()
        await again.hub.close()

    def test_frames_of_an_older_session_are_dropped(self) -> None:
        """What a dead session still had in its buffers is not taken."""
        run(self._send_old_frames())

    async def _send_old_frames(self) -> None:
        peer = Peer(make_peer('first', 17303))
        inbox = peer.hub._inbox
        hello = Hello(PROTOCOL_VERSION, 'other', '127.9.1.1:17304')
        for session in ('old', 'new'):
            inbox._take(encode(Frame(session, [hello])))
        for session in ('old', 'unknown', 'new'):
            inbox._take(encode(Frame(session, [Cancel(session, 'u1')])))
        self.assertEqual([Cancel('new', 'u1')], peer.received)
        inbox._take(b'nonsense')
        other = Hello(PROTOCOL_VERSION + 1, 'newer', '127.9.1.1:17305')
        inbox._take(encode(Frame('s', [other, Cancel('x', 'u1')])))
        self.assertEqual([Cancel('new', 'u1')], peer.received)
        await peer.hub.close()
