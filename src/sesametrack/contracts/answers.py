"""Answers to callers."""

from msgspec import Raw, Struct

from sesametrack.contracts.outcomes import Outcome, Reason
from sesametrack.contracts.snapshots import KeyRange, Snapshot
from sesametrack.contracts.types import Milliseconds


class MissingShard(Struct, frozen=True):
    """A key range that the answer does not cover, and the reason."""

    key_range: KeyRange
    reason: Reason


class Coverage(Struct, frozen=True):
    """How much of the requested key space the answer covers.

    `share` is the covered fraction, from 0 to 1.
    """

    complete: bool
    share: float
    shards_total: int
    shards_answered: int
    missing: list[MissingShard]


class ShardAnswer(Struct, frozen=True):
    """The response body of one shard."""

    key_range: KeyRange
    body: Raw


class Timing(Struct, frozen=True):
    """Time spent on the request, in milliseconds.

    `queue_ms` and `run_ms` are the longest of any shard.
    """

    total_ms: Milliseconds
    queue_ms: Milliseconds
    run_ms: Milliseconds


class Answer(Struct, frozen=True):
    """The answer to one request."""

    request_id: str
    outcome: Outcome
    snapshot: Snapshot | None
    coverage: Coverage
    shards: list[ShardAnswer]
    timing: Timing
    reason: Reason = Reason.none
    retry_after_s: float | None = None
