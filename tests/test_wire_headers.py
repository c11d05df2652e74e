"""Translation of headers and statuses."""

from testtools import TestCase

from sesametrack.contracts.exceptions import RequestError
from sesametrack.links.caller_server import IncomingRequest
from sesametrack.platform.headers import (
    build_caller_response,
    build_upstream_request,
    parse_caller_request,
    parse_upstream_reply,
)
from sesametrack.routing.events import (
    Failure,
    MergedAnswer,
    Refusal,
    ReplyKind,
)

_ID = b'9c41'
_GOOD = [(b'request-id', _ID), (b'server-stamp', b'3e1b.07')]


def make_incoming(*headers: tuple[bytes, bytes]) -> IncomingRequest:
    """Make a request as it comes from the socket."""
    named = [(b'host', b'h'), (b'request-id', _ID), *headers]
    return IncomingRequest(b'GET', b'/a/b?c=d', named, b'', 5.0)


class RequestTest(TestCase):
    """Requests on their way to an upstream."""

    def test_time_left(self) -> None:
        """An upstream is told what is left, not what was left."""
        request = parse_caller_request(
            make_incoming((b'request-deadline', b'600'))
        )
        self.assertEqual(0.6, request.caller_timeout)
        sent = build_upstream_request(request, 'i-1', 5.5, lambda: 5.25)
        by_name = dict(sent.headers)
        self.assertEqual(b'250', by_name[b'request-deadline'])
        self.assertEqual(b'i-1', by_name[b'expect-instance'])
        self.assertEqual(_ID, by_name[b'request-id'])
        self.assertEqual(b'/a/b?c=d', sent.target)

    def test_connection_headers_stay_behind(self) -> None:
        """Headers of one connection and those it names are dropped."""
        request = parse_caller_request(
            make_incoming(
                (b'connection', b'close, X-Hop'),
                (b'x-hop', b'1'),
                (b'x-kept', b'2'),
                (b'te', b'trailers'),
                (b'expect-instance', b'forged'),
            )
        )
        names = [name for name, _ in request.headers]
        self.assertEqual([b'host', b'request-id', b'x-kept'], names)

    def test_missing_id(self) -> None:
        """A request without an id cannot be matched to its answer."""
        incoming = IncomingRequest(b'GET', b'/', [(b'host', b'h')], b'', 0)
        self.assertRaises(RequestError, parse_caller_request, incoming)

    def test_bad_time_left(self) -> None:
        """A time that is no number is refused."""
        incoming = make_incoming((b'request-deadline', b'soon'))
        self.assertRaises(RequestError, parse_caller_request, incoming)


class ReplyTest(TestCase):
    """Replies of upstreams."""

    def test_success(self) -> None:
        """A reply with id and signature is whole."""
        reply = parse_upstream_reply(
            _ID, 200, [*_GOOD, (b'server-load', b'1,2,3')], b'x'
        )
        self.assertEqual(ReplyKind.succeeded, reply.kind)
        self.assertEqual((1, 2), reply.load)
        self.assertEqual(b'3e1b.07', reply.digest)

    def test_other_request(self) -> None:
        """A reply that names another request is not this one's."""
        headers = [(b'request-id', b'other'), (b'server-stamp', b'x')]
        self.assertIsNone(parse_upstream_reply(_ID, 200, headers, b''))

    def test_unsigned_or_encoded(self) -> None:
        """A success without signature or with an encoding is spoiled."""
        self.assertIsNone(parse_upstream_reply(_ID, 200, _GOOD[:1], b''))
        encoded = [*_GOOD, (b'content-encoding', b'gzip')]
        self.assertIsNone(parse_upstream_reply(_ID, 200, encoded, b''))

    def test_not_run(self) -> None:
        """Only the upstream's own word says that nothing ran."""
        shed = parse_upstream_reply(_ID, 503, [(b'not-executed', b'1')], b'')
        self.assertEqual(ReplyKind.rejected, shed.kind)
        failed = parse_upstream_reply(_ID, 503, _GOOD, b'')
        self.assertEqual(ReplyKind.failed, failed.kind)
        other = parse_upstream_reply(_ID, 421, [], b'')
        self.assertEqual(ReplyKind.misdirected, other.kind)


class AnswerTest(TestCase):
    """Answers to callers."""

    def test_statuses(self) -> None:
        """Only a refusal promises that nothing ran."""
        refused = build_caller_response(Refusal('r', 0.25), 'a')
        self.assertEqual(503, refused.status)
        self.assertIn((b'retry-after', b'0.25'), refused.headers)
        self.assertEqual(502, build_caller_response(Failure('r'), 'a').status)
        late = build_caller_response(Failure('r', is_late=True), 'a')
        self.assertEqual(504, late.status)

    def test_merged(self) -> None:
        """A merged answer names its parts and how many are missing."""
        answer = build_caller_response(
            MergedAnswer({'a': b'd1', 'b': b'd2'}, {'c': 'late'}, b'rec'), 'a'
        )
        by_name = dict(answer.headers)
        self.assertEqual(b'd1, d2', by_name[b'part-stamps'])
        self.assertEqual(b'1', by_name[b'missing-parts'])
        self.assertEqual((200, b'rec'), (answer.status, answer.body))
