"""Parsing of HTTP replies from upstreams.

The parser is httptools, because h11 is too slow here: a request and its reply
cost 190 us of CPU time, and a gather over 90 shards on half a core has 45 ms.
"""

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
_SMALL_BODY_BYTES = 256 * 1024
_MAX_SHARED_BYTES = 32 * 1024 * 1024
_FIRST_FINAL_STATUS = 200


@dataclass(frozen=True, slots=True)
class CompleteReply:
    """One complete reply; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes
    is_reusable: bool


class ReplyMemory:
    """Limits the memory that all large, incomplete replies take together."""

    def __init__(self, max_bytes: int = _MAX_SHARED_BYTES) -> None:
        """Start with no reply."""
        self._max_bytes = max_bytes
        self.used_bytes = 0

    def reserve(self, size: int) -> None:
        """Take bytes; raises ProtocolError if too few are left."""
        if self.used_bytes + size > self._max_bytes:
            raise ProtocolError('all replies together are too large')
        self.used_bytes += size

    def release(self, size: int) -> None:
        """Give bytes back."""
        self.used_bytes -= size


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
        self._body: list[bytes] = []
        self._size = 0
        self._is_in_reply = False
        self._is_in_body = False
        self._is_framed = False
        self._completed: list[CompleteReply] = []
        self._interim_count = 0

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
            return self._completed
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
        self._body = []
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
            b''.join(self._body),
            is_reusable=False,
        )

    def on_message_begin(self) -> None:
        """Reset the state for a new reply."""
        self._headers = []
        self._body = []
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
            self._memory.reserve(shared)
            self._reserved_bytes += shared
        self._body.append(chunk)

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
        self._completed.append(
            CompleteReply(
                status, self._headers, b''.join(self._body), is_reusable
            )
        )

    def _release_memory(self) -> None:
        self._memory.release(self._reserved_bytes)
        self._reserved_bytes = 0


PARSER_ERRORS = (HttpParserError, ProtocolError)
