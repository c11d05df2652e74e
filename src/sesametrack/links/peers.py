"""Links between entries and gates over pynng, one for each direction."""

from asyncio import Task, create_task, get_running_loop, sleep
from collections.abc import Callable
from logging import getLogger
from secrets import token_hex

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import Decoder, Encoder
from pynng import Closed, NNGException, Pull0, Push0, TryAgain

from sesametrack.contracts.messages import (
    PROTOCOL_VERSION,
    Frame,
    Hello,
    PeerMessage,
    Ping,
    Pong,
)
from sesametrack.contracts.types import Address, MemberId, Seconds

# Entries detect broken paths: a reply to a sub-query shows that both
# directions work, so only links without recent replies are pinged. A gate
# reconnects when its peer starts a new session, so its own heartbeats may be
# less frequent.
ENTRY_HEARTBEAT_INTERVAL: Seconds = 1
GATE_HEARTBEAT_INTERVAL: Seconds = 5
_MAX_UNANSWERED_PINGS = 2
_BUFFER_FRAMES = 256
_MAX_FRAME_BYTES = 64 * 1024 * 1024
_MAX_MESSAGES_PER_FRAME = 256
_RECONNECT_MS = 100
_MAX_FRAMES_PER_READ = 64
_log = getLogger('link')

SessionHandler = Callable[[MemberId, str, PeerMessage], None]
LinkHandler = Callable[[MemberId], None]
UnsentHandler = Callable[[MemberId, list[PeerMessage]], None]


class PeerLink:
    """The sending side of a link to one peer.

    A link is up once the peer has answered a ping of the current session.
    When it goes down, the socket is closed, its buffered frames are discarded
    and a new session starts.
    """

    def __init__(
        self,
        peer: MemberId,
        address: Address,
        hello: Hello,
        on_change: LinkHandler,
        on_unsent: UnsentHandler,
        heartbeat_interval: Seconds,
    ) -> None:
        """Store the address and handlers; `start` connects."""
        self._heartbeat_interval = heartbeat_interval
        self._has_recent_reply = False
        self.peer = peer
        self.address = address
        self.is_up = False
        self.down_since = get_running_loop().time()
        self._hello = hello
        self._on_change = on_change
        self._on_unsent = on_unsent
        self._encoder = Encoder()
        self._socket: Push0 | None = None
        self._session = ''
        self._batch: list[PeerMessage] = []
        self._is_flush_due = False
        self._sequence = 0
        self._unanswered_pings = 0
        self._heartbeat_task: Task | None = None

    def start(self) -> None:
        """Connect to the peer, and send heartbeats until `close`."""
        self._dial()
        self._heartbeat_task = create_task(self._send_heartbeats())

    def close(self) -> None:
        """Send the batched messages and close the socket."""
        self._flush()
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        self._close_socket()
        self.is_up = False

    def send(self, message: PeerMessage) -> None:
        """Batch a message; the batch is sent in the next loop iteration.

        Messages that cannot be passed to the socket go to `on_unsent`.
        """
        self._batch.append(message)
        if not self._is_flush_due:
            self._is_flush_due = True
            get_running_loop().call_soon(self._flush)

    def send_pong(self, pong: Pong) -> None:
        """Answer a ping immediately, even if the link is not up yet."""
        self._send_frame([pong])

    def record_reply(self) -> None:
        """Record a reply to a sub-query, which replaces a heartbeat."""
        self._has_recent_reply = True
        self._unanswered_pings = 0

    def reconnect(self) -> None:
        """Start a new session."""
        self._restart_session(self._session)

    def ping(self) -> None:
        """Send a ping outside the heartbeat schedule."""
        self._sequence += 1
        self._send_frame([Ping(self._sequence)])

    def handle_pong(self, pong: Pong) -> None:
        """Record the answer to a ping of the current session."""
        if pong.session != self._session:
            return
        self._unanswered_pings = 0
        if not self.is_up:
            self.is_up = True
            _log.info('link to %s is up', self.peer)
            self._on_change(self.peer)

    def _dial(self) -> None:
        self._session = token_hex(8)
        self._unanswered_pings = 0
        session = self._session
        loop = get_running_loop()
        self._socket = Push0(
            send_buffer_size=_BUFFER_FRAMES,
            reconnect_time_min=_RECONNECT_MS,
            reconnect_time_max=_RECONNECT_MS,
        )
        self._socket.add_post_pipe_remove_cb(
            lambda _: loop.call_soon_threadsafe(self._restart_session, session)
        )
        self._socket.dial(f'tcp://{self.address}', block=False)
        self._send_frame([self._hello, Ping(0)])

    def _restart_session(self, session: str) -> None:
        if session != self._session:
            return
        was_up = self.is_up
        self.is_up = False
        if was_up:
            self.down_since = get_running_loop().time()
        self._close_socket()
        if self._heartbeat_task is None or self._heartbeat_task.cancelled():
            return
        self._dial()
        if was_up:
            _log.warning('link to %s is down; reconnecting', self.peer)
            self._on_change(self.peer)

    def _close_socket(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _flush(self) -> None:
        self._is_flush_due = False
        batch, self._batch = self._batch, []
        for start in range(0, len(batch), _MAX_MESSAGES_PER_FRAME):
            chunk = batch[start : start + _MAX_MESSAGES_PER_FRAME]
            if not (self.is_up and self._send_frame(chunk)):
                self._on_unsent(self.peer, chunk)

    def _send_frame(self, messages: list[PeerMessage]) -> bool:
        frame = self._encoder.encode(Frame(self._session, messages))
        try:
            self._socket.send(frame, block=False)
        except (TryAgain, Closed, AttributeError):
            return False
        return True

    async def _send_heartbeats(self) -> None:
        while True:
            # A link that is not up uses the shorter interval of entries.
            interval = (
                self._heartbeat_interval
                if self.is_up
                else ENTRY_HEARTBEAT_INTERVAL
            )
            await sleep(interval)
            if self._has_recent_reply:
                self._has_recent_reply = False
                continue
            self._unanswered_pings += 1
            if self._unanswered_pings > _MAX_UNANSWERED_PINGS:
                self._restart_session(self._session)
                continue
            self.ping()


class PeerInbox:
    """The receiving side of all links of one daemon.

    Frames of a session are accepted only after its Hello, and only while it
    is the latest session of its peer.
    """

    def __init__(
        self,
        address: Address,
        on_hello: Callable[[Hello], None],
        on_message: SessionHandler,
    ) -> None:
        """Store the address and handlers; `start` listens."""
        self._address = address
        self._on_hello = on_hello
        self._on_message = on_message
        self._decoder = Decoder(Frame)
        self._socket: Pull0 | None = None
        self._receive_task: Task | None = None
        self._hello_by_session: dict[str, Hello] = {}
        self._session_by_member: dict[MemberId, str] = {}

    async def start(self) -> None:
        """Listen; raises NNGException if the address is in use."""
        self._socket = Pull0(
            recv_buffer_size=_BUFFER_FRAMES,
            recv_max_size=_MAX_FRAME_BYTES,
        )
        self._socket.listen(f'tcp://{self._address}')
        self._receive_task = create_task(self._receive())

    async def close(self) -> None:
        """Close the socket."""
        if self._receive_task is not None:
            self._receive_task.cancel()
        if self._socket is not None:
            self._socket.close()

    async def _receive(self) -> None:
        while True:
            try:
                self._handle_frame(await self._socket.arecv())
                self._receive_available()
            except Closed:
                return
            except NNGException:
                _log.exception('could not receive a frame')

    def _receive_available(self) -> None:
        # Reading queued frames without an await is much cheaper.
        for _ in range(_MAX_FRAMES_PER_READ):
            try:
                frame = self._socket.recv(block=False)
            except TryAgain:
                return
            self._handle_frame(frame)

    def _handle_frame(self, data: bytes) -> None:
        try:
            frame = self._decoder.decode(data)
        except (DecodeError, ValidationError):
            _log.warning('discarded a frame that cannot be decoded')
            return
        for message in frame.messages:
            if isinstance(message, Hello):
                self._handle_hello(frame.session, message)
        hello = self._hello_by_session.get(frame.session)
        if hello is None:
            return
        for message in frame.messages:
            if not isinstance(message, Hello):
                self._handle_message(frame.session, hello, message)

    def _handle_message(
        self, session: str, hello: Hello, message: PeerMessage
    ) -> None:
        try:
            self._on_message(hello.member, session, message)
        except Exception:
            _log.exception('handling a message of %s failed', hello.member)

    def _handle_hello(self, session: str, hello: Hello) -> None:
        if hello.protocol != PROTOCOL_VERSION:
            _log.warning(
                'rejected peer %s: its protocol version is %s, not %s',
                hello.member,
                hello.protocol,
                PROTOCOL_VERSION,
            )
            return
        previous_session = self._session_by_member.get(hello.member)
        if previous_session == session:
            return
        if previous_session is not None:
            self._hello_by_session.pop(previous_session, None)
        self._session_by_member[hello.member] = session
        self._hello_by_session[session] = hello
        self._on_hello(hello)
