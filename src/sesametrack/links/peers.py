"""Links between entries and gates over pynng."""

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

# Entries notice a silent path: replies to their work prove both directions,
# and only links without any are asked. A gate redials when its peer begins a
# new session, so that its own heartbeats may be rare.
ENTRY_HEARTBEAT_INTERVAL: Seconds = 1
GATE_HEARTBEAT_INTERVAL: Seconds = 5
_HEARTBEATS_TO_LOSS = 2
_SEND_BUFFER_FRAMES = 256
_MAX_FRAME_BYTES = 64 * 1024 * 1024
_MAX_MESSAGES = 256
_RECONNECT_MS = 100
_DRAIN_FRAMES = 64
_log = getLogger('link')

SessionHandler = Callable[[MemberId, str, PeerMessage], None]
LinkHandler = Callable[[MemberId], None]
UnsentHandler = Callable[[MemberId, list[PeerMessage]], None]


class PeerLink:
    """The sending side of a link to one peer.

    A link is up once the peer has answered a heartbeat of the present
    session. When it goes down the socket is closed with all that it still
    buffers, and a new session begins.
    """

    def __init__(
        self,
        peer: MemberId,
        address: Address,
        hello: Hello,
        on_change: LinkHandler,
        on_unsent: UnsentHandler,
        heartbeat: Seconds,
    ) -> None:
        """Bind the parts; `start` dials."""
        self._interval = heartbeat
        self._is_proved = False
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
        self._unanswered = 0
        self._heartbeat: Task | None = None

    def start(self) -> None:
        """Dial the peer and keep the link alive until `close`."""
        self._dial()
        self._heartbeat = create_task(self._run_heartbeat())

    def close(self) -> None:
        """Flush what is batched and close the socket."""
        self._flush()
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        self._close_socket()
        self.is_up = False

    def send(self, message: PeerMessage) -> None:
        """Batch a message for the frame of this turn of the loop.

        What cannot be handed to the socket goes to the `on_unsent` handler.
        """
        self._batch.append(message)
        if not self._is_flush_due:
            self._is_flush_due = True
            get_running_loop().call_soon(self._flush)

    def answer(self, pong: Pong) -> None:
        """Answer a heartbeat at once, also on a link that is not up yet."""
        self._push([pong])

    def record_reply(self) -> None:
        """Note that the peer replied to what was sent on this link."""
        self._is_proved = True
        self._unanswered = 0

    def reconnect(self) -> None:
        """Begin a new session."""
        self._lose(self._session)

    def ping(self) -> None:
        """Ask for a sign of life out of turn."""
        self._sequence += 1
        self._push([Ping(self._sequence)])

    def take_pong(self, pong: Pong) -> None:
        """Note that the peer answered a heartbeat."""
        if pong.session != self._session:
            return
        self._unanswered = 0
        if not self.is_up:
            self.is_up = True
            _log.info('link to %s is up', self.peer)
            self._on_change(self.peer)

    def _dial(self) -> None:
        self._session = token_hex(8)
        self._unanswered = 0
        session = self._session
        loop = get_running_loop()
        self._socket = Push0(
            send_buffer_size=_SEND_BUFFER_FRAMES,
            reconnect_time_min=_RECONNECT_MS,
            reconnect_time_max=_RECONNECT_MS,
        )
        self._socket.add_post_pipe_remove_cb(
            lambda _: loop.call_soon_threadsafe(self._lose, session)
        )
        self._socket.dial(f'tcp://{self.address}', block=False)
        self._push([self._hello, Ping(0)])

    def _lose(self, session: str) -> None:
        if session != self._session:
            return
        was_up = self.is_up
        self.is_up = False
        if was_up:
            self.down_since = get_running_loop().time()
        self._close_socket()
        if self._heartbeat is None or self._heartbeat.cancelled():
            return
        self._dial()
        if was_up:
            _log.warning('link to %s was lost; dialling again', self.peer)
            self._on_change(self.peer)

    def _close_socket(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _flush(self) -> None:
        self._is_flush_due = False
        batch, self._batch = self._batch, []
        for start in range(0, len(batch), _MAX_MESSAGES):
            chunk = batch[start : start + _MAX_MESSAGES]
            if not (self.is_up and self._push(chunk)):
                self._on_unsent(self.peer, chunk)

    def _push(self, messages: list[PeerMessage]) -> bool:
        frame = self._encoder.encode(Frame(self._session, messages))
        try:
            self._socket.send(frame, block=False)
        except (TryAgain, Closed, AttributeError):
            return False
        return True

    async def _run_heartbeat(self) -> None:
        while True:
            # A link that is not up yet is tried at the quicker pace.
            pause = self._interval if self.is_up else ENTRY_HEARTBEAT_INTERVAL
            await sleep(pause)
            if self._is_proved:
                self._is_proved = False
                continue
            self._unanswered += 1
            if self._unanswered > _HEARTBEATS_TO_LOSS:
                self._lose(self._session)
                continue
            self.ping()


class PeerInbox:
    """The receiving side of all links of one daemon.

    Frames of a session are taken only after its Hello, and only while it is
    its peer's latest session.
    """

    def __init__(
        self,
        address: Address,
        on_hello: Callable[[Hello], None],
        on_message: SessionHandler,
    ) -> None:
        """Bind the parts; `start` listens."""
        self._address = address
        self._on_hello = on_hello
        self._on_message = on_message
        self._decoder = Decoder(Frame)
        self._socket: Pull0 | None = None
        self._task: Task | None = None
        self._hello_by_session: dict[str, Hello] = {}
        self._session_by_member: dict[MemberId, str] = {}

    async def start(self) -> None:
        """Listen; raises NNGException if the address is taken."""
        self._socket = Pull0(
            recv_buffer_size=_SEND_BUFFER_FRAMES,
            recv_max_size=_MAX_FRAME_BYTES,
        )
        self._socket.listen(f'tcp://{self._address}')
        self._task = create_task(self._run())

    async def close(self) -> None:
        """Close the socket."""
        if self._task is not None:
            self._task.cancel()
        if self._socket is not None:
            self._socket.close()

    async def _run(self) -> None:
        while True:
            try:
                self._take(await self._socket.arecv())
                self._drain()
            except Closed:
                return
            except NNGException:
                _log.exception('receiving failed')

    def _drain(self) -> None:
        # Frames that are already there cost far less without an await.
        for _ in range(_DRAIN_FRAMES):
            try:
                frame = self._socket.recv(block=False)
            except TryAgain:
                return
            self._take(frame)

    def _take(self, encoded: bytes) -> None:
        try:
            frame = self._decoder.decode(encoded)
        except (DecodeError, ValidationError):
            _log.warning('dropped a frame that cannot be read')
            return
        for message in frame.messages:
            if isinstance(message, Hello):
                self._greet(frame.session, message)
        hello = self._hello_by_session.get(frame.session)
        if hello is None:
            return
        for received in frame.messages:
            if not isinstance(received, Hello):
                self._deliver(frame.session, hello, received)

    def _deliver(
        self, session: str, hello: Hello, message: PeerMessage
    ) -> None:
        try:
            self._on_message(hello.member, session, message)
        except Exception:
            _log.exception('handling a message of %s failed', hello.member)

    def _greet(self, session: str, hello: Hello) -> None:
        if hello.protocol != PROTOCOL_VERSION:
            _log.warning(
                'refused %s: it speaks protocol %s, not %s',
                hello.member,
                hello.protocol,
                PROTOCOL_VERSION,
            )
            return
        former = self._session_by_member.get(hello.member)
        if former == session:
            return
        if former is not None:
            self._hello_by_session.pop(former, None)
        self._session_by_member[hello.member] = session
        self._hello_by_session[session] = hello
        self._on_hello(hello)
