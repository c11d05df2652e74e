"""The links between one daemon and its peers."""

from asyncio import get_running_loop
from collections.abc import Callable, Iterable

from sesametrack.contracts.members import Member
from sesametrack.contracts.messages import (
    PROTOCOL_VERSION,
    Hello,
    PeerMessage,
    Ping,
    Pong,
    SubQueryReply,
)
from sesametrack.contracts.types import Address, MemberId, Seconds
from sesametrack.links.peers import (
    LinkHandler,
    PeerInbox,
    PeerLink,
    UnsentHandler,
)

# Time since the first unanswered message after which a peer is pinged, and
# after which it counts as stalled.
_PING_TIMEOUT: Seconds = 0.06
_STALL_TIMEOUT: Seconds = 0.2
_UNKNOWN_LINK_TIMEOUT: Seconds = 10

MessageHandler = Callable[[MemberId, PeerMessage], None]


def build_hello(local_member: Member) -> Hello:
    """Return the first message that a daemon sends in each session."""
    return Hello(PROTOCOL_VERSION, local_member.id, local_member.peer)


class PeerHub:
    """The inbox of a daemon, and its outgoing links, one to each peer."""

    def __init__(
        self,
        local_member: Member,
        on_message: MessageHandler,
        on_link_change: LinkHandler,
        on_unsent: UnsentHandler,
        on_session: LinkHandler,
        heartbeat_interval: Seconds,
    ) -> None:
        """Store the handlers; `start` listens.

        `on_session` is called when a peer starts a new session with this
        daemon, before `on_message` is called for messages of that session.
        """
        self._on_session = on_session
        self._heartbeat_interval = heartbeat_interval
        self._hello = build_hello(local_member)
        self._on_message = on_message
        self._on_link_change = on_link_change
        self._on_unsent = on_unsent
        self._inbox = PeerInbox(
            local_member.peer, self._handle_hello, self._handle_message
        )
        self._link_by_peer: dict[MemberId, PeerLink] = {}
        self._awaiting_since: dict[MemberId, float] = {}

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
        """Open a link to a peer, replacing one to another address."""
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
            self._heartbeat_interval,
        )
        self._link_by_peer[peer] = link
        link.start()

    def close_unknown_links(self, known_members: Iterable[MemberId]) -> None:
        """Close links to unknown peers that have been down for a while.

        A peer may connect before gossip lists it, so the link to an unknown
        peer is kept while it is up.
        """
        known_peers = set(known_members)
        lost_before = get_running_loop().time() - _UNKNOWN_LINK_TIMEOUT
        for peer, link in list(self._link_by_peer.items()):
            is_long_down = not link.is_up and link.down_since < lost_before
            if is_long_down and peer not in known_peers:
                self._link_by_peer.pop(peer).close()
                self._awaiting_since.pop(peer, None)

    def send(self, peer: MemberId, message: PeerMessage) -> None:
        """Send a message; calls `on_unsent` if there is no link."""
        link = self._link_by_peer.get(peer)
        if link is None:
            self._on_unsent(peer, [message])
            return
        self._awaiting_since.setdefault(peer, get_running_loop().time())
        link.send(message)

    def find_stalled(self) -> set[MemberId]:
        """Return the peers that have not responded in time; ping late ones.

        The timeouts start with the first message sent to a peer after the
        last one received from it.
        """
        now = get_running_loop().time()
        stalled = set()
        for peer, since in self._awaiting_since.items():
            link = self._link_by_peer.get(peer)
            if link is None or not link.is_up:
                continue
            if now - since > _PING_TIMEOUT:
                link.ping()
            if now - since > _STALL_TIMEOUT:
                stalled.add(peer)
        return stalled

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message on all links that are up."""
        for link in self._link_by_peer.values():
            if link.is_up:
                link.send(message)

    def is_up(self, peer: MemberId) -> bool:
        """Return whether the link to a peer is up."""
        link = self._link_by_peer.get(peer)
        return link is not None and link.is_up

    def connected_peers(self) -> list[MemberId]:
        """Return the peers whose links are up."""
        return [peer for peer, link in self._link_by_peer.items() if link.is_up]

    def _handle_hello(self, hello: Hello) -> None:
        self._on_session(hello.member)
        self.connect(hello.member, hello.reply_to)

    def reconnect(self, peer: MemberId) -> None:
        """Start a new session with a peer in case its path is broken."""
        link = self._link_by_peer.get(peer)
        if link is not None and link.is_up:
            link.reconnect()

    def _handle_message(
        self, member: MemberId, session: str, message: PeerMessage
    ) -> None:
        link = self._link_by_peer.get(member)
        self._awaiting_since.pop(member, None)
        if isinstance(message, Ping):
            if link is not None:
                link.send_pong(Pong(session, message.sequence))
            return
        if isinstance(message, Pong):
            if link is not None:
                link.handle_pong(message)
            return
        if isinstance(message, SubQueryReply) and link is not None:
            link.record_reply()
        self._on_message(member, message)
