"""Tests of what makes two requests the same."""

from dataclasses import replace

from testtools import TestCase

from sesametrack.routing.fingerprints import compute_fingerprint
from tests.router_builders import make_request


class FingerprintTest(TestCase):
    """A repetition has the same fingerprint, and nothing else has."""

    def test_repetitions(self) -> None:
        """Neither the id nor times nor other headers make a difference."""
        request = replace(make_request(), headers=[(b'host', b'h')])
        again = replace(
            request,
            id='r2',
            arrived_at=7,
            caller_timeout=3,
            headers=[(b'request-id', b'r2'), (b'host', b'h')],
        )
        self.assertEqual(
            compute_fingerprint(request), compute_fingerprint(again)
        )

    # Guards against one request being refused for what another one did.
    def test_other_requests(self) -> None:
        """Each part counts, and text does not move between the parts."""
        request = replace(make_request(), body=b'ab')
        others = [
            replace(request, method='POST'),
            replace(request, path='/g/x?y=1'),
            replace(request, body=b'ac'),
            replace(request, headers=[(b'host', b'other')]),
            replace(request, path='/g/xa', body=b'b'),
        ]
        found = {compute_fingerprint(one) for one in others}
        found.add(compute_fingerprint(request))
        self.assertEqual(len(others) + 1, len(found))
