"""Parsing of HTTP replies from upstreams.

The parser is httptools, because h11 is too slow here: a request and its reply
cost 190 us of CPU time, and a gather over 90 shards on half a core has 45 ms.
"""

from collections.abc import Callable
from dataclasses import dataclass

from httptools import HttpParserError, HttpResponseParser

from sesametrack.contracts.exceptions import ProtocolError
from sesametrack.links.http import is_close_announced
from sesametrack.routing.events import Headers

_MAX_BODY_BYTES = 8 * 1024 * 1024
# A reply's head, with the interim replies before it.
_MAX_HEAD_BYTES = 64 * 1024
_MAX_HEADERS = 256
# Chunk headers and trailers may take as many bytes as the body.
_MAX_REPLY_BYTES = 2 * _MAX_BODY_BYTES
# Parts of replies beyond this size share the memory of the process.
_SMALL_BODY_BYTES = 16 * 1024
MAX_SHARED_BYTES = 32 * 1024 * 1024
_FIRST_FINAL_STATUS = 200


@dataclass(frozen=True, slots=True)
class CompleteReply:
    """One complete reply; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes
    is_reusable: bool


class ReplyMemory:
    """Limits the memory that all large, incomplete replies take together.

    Beyond it, only the one that became large first is read on. It also counts
    the requests that upstreams do not read.
    """

    def __init__(self, max_bytes: int = MAX_SHARED_BYTES) -> None:
        """Start with no reply."""
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.unsent_bytes = 0
        self._size_by_parser: dict[ReplyParser, int] = {}
        self._resume_by_parser: dict[ReplyParser, Callable[[], None]] = {}

    @property
    def is_full(self) -> bool:
        """Return whether no further large request should be sent."""
        return self.unsent_bytes > self.max_bytes // 2

    def reserve(self, parser: 'ReplyParser', size: int) -> None:
        """Take bytes; raises ProtocolError if one reply takes all of them."""
        total = self._size_by_parser.get(parser, 0) + size
        if total > self.max_bytes:
            raise ProtocolError('the reply is too large for the memory')
        self._size_by_parser[parser] = total
        self.used_bytes += size

    def may_read(self, parser: 'ReplyParser') -> bool:
        """Return whether a reply may be read on."""
        return self.used_bytes <= self.max_bytes or parser is next(
            iter(self._size_by_parser)
        )

    def wait(self, parser: 'ReplyParser', resume: Callable[[], None]) -> None:
        """Call `resume` once the reply may be read on."""
        self._resume_by_parser[parser] = resume

    def release(self, parser: 'ReplyParser') -> None:
        """Give the bytes of a reply back, and let others be read on."""
        self._resume_by_parser.pop(parser, None)
        self.used_bytes -= self._size_by_parser.pop(parser, 0)
        for waiting in list(self._resume_by_parser):
            if self.may_read(waiting):
                self._resume_by_parser.pop(waiting)()


class ReplyParser:
    """Parses bytes into complete replies, in their order.

    An upstream may send without end. The size of a reply is limited in the
    head, the body and all that frames it.
    """

    def __init__(self, memory: ReplyMemory | None = None) -> None:
        """Create a parser for one connection."""
        self.expects_no_body = False
        self._memory = memory or ReplyMemory()
        self._reserved_bytes = 0
        self._head_bytes = 0
        self._received_bytes = 0
        self._parser = HttpResponseParser(self)
        self._headers: Headers = []
        self._body: bytes | bytearray = b''
        self._size = 0
        self._is_in_reply = False
        self._is_in_body = False
        self._is_framed = False
        self._completed: list[CompleteReply] = []
        self._interim_count = 0

    @property
    def may_read(self) -> bool:
        """Return whether there is memory for more of the reply."""
        return not self._reserved_bytes or self._memory.may_read(self)

    @property
    def is_in_reply(self) -> bool:
        """Return whether a reply has begun and is not complete."""
        return self._is_in_reply

    def feed(self, chunk: bytes) -> list[CompleteReply]:
        """Return the replies that a chunk completes.

        Raises one of PARSER_ERRORS if the bytes are no valid reply, or too
        many.
        """
        self._completed = []
        self._parser.feed_data(chunk)
        if self._completed:
            self._head_bytes = 0
            self._received_bytes = 0
            completed, self._completed = self._completed, []
            return completed
        self._received_bytes += len(chunk)
        if not self._is_in_body:
            self._head_bytes += len(chunk)
        if self._head_bytes > _MAX_HEAD_BYTES:
            raise ProtocolError('the head is too large')
        if self._received_bytes > _MAX_REPLY_BYTES:
            raise ProtocolError('the reply is too large')
        return self._completed

    def close(self) -> None:
        """Drop an incomplete reply."""
        self._body = b''
        self._release_memory()

    def completed_replies(self) -> list[CompleteReply]:
        """Return the replies that were complete before `feed` failed."""
        return self._completed

    def pop_interim_count(self) -> int:
        """Return the number of interim responses since the last call."""
        count, self._interim_count = self._interim_count, 0
        return count

    def finish(self) -> CompleteReply | None:
        """Return the reply that is delimited by the end of the connection.

        A sender announces that it delimits a reply so. Without that, a line
        of the head may be missing, and the reply may be a part of one.
        """
        if not self._is_in_body or self._is_framed:
            return None
        version = self._parser.get_http_version()
        if not is_close_announced(version.encode(), self._headers):
            return None
        return CompleteReply(
            self._parser.get_status_code(),
            self._headers,
            bytes(self._body),
            is_reusable=False,
        )

    def on_message_begin(self) -> None:
        """Reset the state for a new reply."""
        self._headers = []
        self._body = b''
        self._size = 0
        self._is_in_reply = True
        self._is_in_body = False
        self._is_framed = False

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header; raises ProtocolError if there are too many."""
        if self._is_in_body:
            # Trailers have no use here.
            return
        if len(self._headers) >= _MAX_HEADERS:
            raise ProtocolError('there are too many headers')
        lower_name = name.lower()
        self._headers.append((lower_name, text))
        if lower_name in {b'content-length', b'transfer-encoding'}:
            self._is_framed = True

    def on_headers_complete(self) -> None:
        """Begin the body, or complete a reply that has none."""
        self._is_in_body = True
        if self.expects_no_body:
            self._complete(is_reusable=False)

    def on_body(self, chunk: bytes) -> None:
        """Store a part of the body; raises ProtocolError if it is too large."""
        self._size += len(chunk)
        if self._size > _MAX_BODY_BYTES:
            raise ProtocolError('the body is too large')
        shared = max(0, self._size - _SMALL_BODY_BYTES) - self._reserved_bytes
        if shared > 0:
            self._memory.reserve(self, shared)
            self._reserved_bytes += shared
        if not self._body:
            self._body = chunk
            return
        if isinstance(self._body, bytes):
            self._body = bytearray(self._body)
        self._body.extend(chunk)

    def on_message_complete(self) -> None:
        """Complete a reply with a body."""
        if not self.expects_no_body:
            self._complete(is_reusable=self._parser.should_keep_alive())

    def _complete(self, *, is_reusable: bool) -> None:
        self._is_in_reply = False
        self._is_in_body = False
        self._release_memory()
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            # An interim response; the final one follows.
            self._is_in_reply = True
            self._interim_count += 1
            return
        # An idle connection keeps no reply.
        body, self._body = bytes(self._body), b''
        self._completed.append(
            CompleteReply(status, self._headers, body, is_reusable)
        )

    def _release_memory(self) -> None:
        if self._reserved_bytes:
            self._memory.release(self)
            self._reserved_bytes = 0


PARSER_ERRORS = (HttpParserError, ProtocolError)
