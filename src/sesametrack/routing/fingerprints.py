"""Fingerprints of requests: the same for each repetition of a request."""

from hashlib import blake2b

from sesametrack.contracts.types import Fingerprint
from sesametrack.routing.events import CallerRequest

# Callers choose what is hashed, so collisions must not be easy to find.
_DIGEST_BYTES = 16
_LENGTH_BYTES = 8


def compute_fingerprint(request: CallerRequest) -> Fingerprint:
    """Return the fingerprint of a request: of all but its id and its times."""
    host = next(
        (text for name, text in request.headers if name == b'host'), b''
    )
    parts = (
        request.method.encode(),
        host,
        request.path.encode('latin-1'),
        request.body,
    )
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return digest.hexdigest()
