"""Requests from callers."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta, Struct
from msgspec.json import encode
from xxhash import xxh3_64_hexdigest, xxh3_64_intdigest

from sesametrack.contracts.decoding import decode_json
from sesametrack.contracts.exceptions import RequestError
from sesametrack.contracts.snapshots import KEY_SPACE
from sesametrack.contracts.types import Fingerprint, Seconds, ServiceId

_RequestId = Annotated[str, Meta(pattern='^[A-Za-z0-9._:-]{1,128}$')]
_DeadlineMs = Annotated[int, Meta(ge=1, le=600_000)]
_MS_PER_SECOND = 1000


class RequestModel(Struct, forbid_unknown_fields=True):
    """A query in the JSON format of callers.

    `key` selects one shard by its hash. A request that is not repeatable
    needs a key if its service is sharded; its `request_id` is the
    idempotency key.
    """

    service: str
    request_id: _RequestId
    query: dict
    deadline_ms: _DeadlineMs | None = None
    repeatable: bool = True
    key: str | None = None


@dataclass(frozen=True, slots=True)
class QueryRequest:
    """A validated request; `deadline` is relative, in seconds."""

    service: ServiceId
    request_id: str
    body: bytes
    fingerprint: Fingerprint
    deadline: Seconds | None
    repeatable: bool
    hashed_key: int | None


def read_request(text: bytes, source: str) -> QueryRequest:
    """Return the validated request of a caller; raises RequestError."""
    model = decode_json(text, RequestModel, source, RequestError)
    body = encode(model.query, order='deterministic')
    deadline = None
    if model.deadline_ms is not None:
        deadline = model.deadline_ms / _MS_PER_SECOND
    hashed_key = None
    if model.key is not None:
        hashed_key = hash_key(model.key)
    return QueryRequest(
        model.service,
        model.request_id,
        body,
        # The fingerprint identifies requests that crash upstreams, so it
        # covers only what an upstream receives. The request id is excluded:
        # it is new on each attempt.
        xxh3_64_hexdigest(model.service.encode() + b'\n' + body),
        deadline,
        model.repeatable,
        hashed_key,
    )


def hash_key(key: str) -> int:
    """Return the hash of a key, an integer below KEY_SPACE."""
    return xxh3_64_intdigest(key.encode()) % KEY_SPACE
