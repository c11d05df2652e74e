"""The answer that a caller gets."""

from msgspec import Raw, Struct

from sesametrack.contracts.outcomes import Outcome, Reason
from sesametrack.contracts.snapshots import KeyRange, Snapshot
from sesametrack.contracts.types import Milliseconds


class MissingShard(Struct, frozen=True):
    """A part of the key space without an answer, and why."""

    key_range: KeyRange
    reason: Reason


class Coverage(Struct, frozen=True):
    """How much of what was asked the answer covers.

    `share` is the covered part of the key space that was asked for.
    """

    complete: bool
    share: float
    shards_total: int
    shards_answered: int
    missing: list[MissingShard]


class ShardAnswer(Struct, frozen=True):
    """The body that one shard returned."""

    key_range: KeyRange
    body: Raw


class Timing(Struct, frozen=True):
    """Where the time went; the slowest shard counts, in milliseconds."""

    total_ms: Milliseconds
    queue_ms: Milliseconds
    run_ms: Milliseconds


class Answer(Struct, frozen=True):
    """The whole answer to one request."""

    request_id: str
    outcome: Outcome
    snapshot: Snapshot | None
    coverage: Coverage
    shards: list[ShardAnswer]
    timing: Timing
    reason: Reason = Reason.none
    retry_after_s: float | None = None
