"""Sub-gathers between VMs on the wire."""

from testtools import TestCase

from sesametrack.contracts.exceptions import ProtocolError
from sesametrack.links.caller_server import IncomingRequest
from sesametrack.links.subgathers import (
    decode_subgather_reply,
    decode_subgather_request,
    encode_subgather_refusal,
    encode_subgather_reply,
    encode_subgather_request,
)
from sesametrack.routing.events import (
    MergedAnswer,
    Refusal,
    ReplyKind,
    Send,
    Subgather,
)
from sesametrack.routing.exchanges import GatherExchange, gather_deadlines
from tests.router_builders import (
    make_context,
    make_directory,
    make_gather_route,
    make_request,
)


class SubgathersTest(TestCase):
    """What is written is what is read."""

    def test_request(self) -> None:
        """The request and its times arrive as they were sent."""
        route = make_gather_route(9)
        request = make_request(arrived_at=10, caller_timeout=0.3)
        send = Send(
            1,
            None,
            10.3,
            's0',
            'aggregate',
            Subgather(('s1', 's2'), 10.03, True, 1, {'s1': ['i-1']}),
        )
        out = encode_subgather_request(request, route, send, lambda: 10.01)
        incoming = IncomingRequest(
            out.method, out.target, out.headers, out.body, 500
        )
        found = decode_subgather_request(incoming)
        read, narrowed, times = found.request, found.route, found.deadlines
        self.assertEqual(
            (request.id, request.method, request.path, request.body),
            (read.id, read.method, read.path, read.body),
        )
        self.assertAlmostEqual(0.29, read.caller_timeout)
        self.assertEqual(('s1', 's2'), narrowed.shards)
        self.assertEqual(1, narrowed.max_attempts)
        self.assertAlmostEqual(500.02, times.cutoff)
        # A target and a half after the caller's request came.
        self.assertAlmostEqual(500.05, times.early_send_deadline)
        self.assertTrue(found.may_have_run)
        self.assertEqual({'s1': ['i-1']}, found.tried_by_shard)

    def test_reply(self) -> None:
        """Digests, records and reasons arrive as they were sent."""
        route = make_gather_route(2)
        request = make_request()
        exchange = GatherExchange(
            request,
            route,
            make_context(make_directory(list(route.shards), 1)),
            gather_deadlines(request, route),
        )
        merged = MergedAnswer(
            {'s1': b'd1'}, {'s2': 'pending'}, b'r' * 16, {'s2': ['i-1']}
        )
        out = encode_subgather_reply(merged, exchange)
        reply = decode_subgather_reply(out.status, out.headers, out.body)
        self.assertEqual(merged, reply.merged)
        refused = encode_subgather_reply(Refusal('no-upstream', 1), exchange)
        reply = decode_subgather_reply(200, refused.headers, refused.body)
        self.assertEqual(
            {'s0': 'no-upstream', 's1': 'no-upstream'}, reply.merged.missing
        )

    def test_refusal_and_junk(self) -> None:
        """A VM that leaves says so; what cannot be read is no reply."""
        out = encode_subgather_refusal('not-ready')
        reply = decode_subgather_reply(out.status, out.headers, out.body)
        self.assertIs(ReplyKind.rejected, reply.kind)
        self.assertIsNone(decode_subgather_reply(200, [], b'\xc1'))
        junk = IncomingRequest(b'POST', b'/', [], b'\xc1', 0)
        self.assertRaises(ProtocolError, decode_subgather_request, junk)
