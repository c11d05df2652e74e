"""All links of one daemon to its peers."""

from asyncio import get_running_loop
from collections.abc import Callable, Iterable

from sesametrack.contracts.members import Member
from sesametrack.contracts.messages import (
    PROTOCOL_VERSION,
    Hello,
    PeerMessage,
    Ping,
    Pong,
    SubReply,
)
from sesametrack.contracts.types import Address, MemberId, Seconds
from sesametrack.links.peers import (
    LinkHandler,
    PeerInbox,
    PeerLink,
    UnsentHandler,
)

# A peer that owes a sign of life is asked for one after the first time, and
# is stalled after the second.
_PING_AFTER: Seconds = 0.06
_STALLED_AFTER: Seconds = 0.2
_FORGET_AFTER: Seconds = 10

MessageHandler = Callable[[MemberId, PeerMessage], None]


def build_hello(me: Member) -> Hello:
    """Return the Hello that a daemon opens its links with."""
    return Hello(PROTOCOL_VERSION, me.id, me.peer)


class PeerHub:
    """All links of one daemon: its inbox, and a link to each peer."""

    def __init__(
        self,
        me: Member,
        on_message: MessageHandler,
        on_link_change: LinkHandler,
        on_unsent: UnsentHandler,
        on_session: LinkHandler,
        heartbeat: Seconds,
    ) -> None:
        """Bind the handlers; `start` listens.

        `on_session` is called when a peer begins a new session towards this
        daemon, before any message of it.
        """
        self._on_session = on_session
        self._heartbeat = heartbeat
        self._hello = build_hello(me)
        self._on_message = on_message
        self._on_link_change = on_link_change
        self._on_unsent = on_unsent
        self._inbox = PeerInbox(me.peer, self._take_hello, self._take)
        self._link_by_peer: dict[MemberId, PeerLink] = {}
        self._unheard_since: dict[MemberId, float] = {}

    async def start(self) -> None:
        """Listen for peers."""
        await self._inbox.start()

    async def close(self) -> None:
        """Close all links."""
        for link in self._link_by_peer.values():
            link.close()
        self._link_by_peer.clear()
        await self._inbox.close()

    def connect(self, peer: MemberId, address: Address) -> None:
        """Keep a link to a peer from now on."""
        link = self._link_by_peer.get(peer)
        if link is not None and link.address == address:
            return
        if link is not None:
            link.close()
        link = PeerLink(
            peer,
            address,
            self._hello,
            self._on_link_change,
            self._on_unsent,
            self._heartbeat,
        )
        self._link_by_peer[peer] = link
        link.start()

    def close_unknown_links(self, known: Iterable[MemberId]) -> None:
        """Give up links that are down for long, to peers nobody knows.

        A peer may say hello before gossip tells of it, so that being
        unknown is not enough.
        """
        known_peers = set(known)
        latest = get_running_loop().time() - _FORGET_AFTER
        for peer, link in list(self._link_by_peer.items()):
            is_lost = not link.is_up and link.down_since < latest
            if is_lost and peer not in known_peers:
                self._link_by_peer.pop(peer).close()
                self._unheard_since.pop(peer, None)

    def send(self, peer: MemberId, message: PeerMessage) -> None:
        """Send a message; it goes to `on_unsent` if there is no link."""
        link = self._link_by_peer.get(peer)
        if link is None:
            self._on_unsent(peer, [message])
            return
        self._unheard_since.setdefault(peer, get_running_loop().time())
        link.send(message)

    def find_stalled(self) -> set[MemberId]:
        """Return peers that owe a sign of life; pings those that may.

        A peer owes one from when something was sent after it was last
        heard of.
        """
        now = get_running_loop().time()
        stalled = set()
        for peer, since in self._unheard_since.items():
            link = self._link_by_peer.get(peer)
            if link is None or not link.is_up:
                continue
            if now - since > _PING_AFTER:
                link.ping()
            if now - since > _STALLED_AFTER:
                stalled.add(peer)
        return stalled

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message on all links that are up."""
        for link in self._link_by_peer.values():
            if link.is_up:
                link.send(message)

    def is_up(self, peer: MemberId) -> bool:
        """Tell whether the link to a peer is up."""
        link = self._link_by_peer.get(peer)
        return link is not None and link.is_up

    def connected_peers(self) -> list[MemberId]:
        """Return the peers whose links are up."""
        return [peer for peer, link in self._link_by_peer.items() if link.is_up]

    def _take_hello(self, hello: Hello) -> None:
        self._on_session(hello.member)
        self.connect(hello.member, hello.reply_to)

    def reconnect(self, peer: MemberId) -> None:
        """Begin a new session with a peer whose path may be silent."""
        link = self._link_by_peer.get(peer)
        if link is not None and link.is_up:
            link.reconnect()

    def _take(
        self, member: MemberId, session: str, message: PeerMessage
    ) -> None:
        link = self._link_by_peer.get(member)
        self._unheard_since.pop(member, None)
        if isinstance(message, Ping):
            if link is not None:
                link.answer(Pong(session, message.sequence))
            return
        if isinstance(message, Pong):
            if link is not None:
                link.take_pong(message)
            return
        if isinstance(message, SubReply) and link is not None:
            link.record_reply()
        self._on_message(member, message)
