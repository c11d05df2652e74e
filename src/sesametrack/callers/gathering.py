"""Builds the answer of a query from the replies received."""

from msgspec import Raw

from sesametrack.callers.attempts import ShardProgress
from sesametrack.callers.coverage import count_coverage
from sesametrack.contracts.answers import Answer, ShardAnswer, Timing
from sesametrack.contracts.outcomes import Outcome, Reason
from sesametrack.contracts.snapshots import Snapshot
from sesametrack.contracts.types import Milliseconds, Seconds

_MS_PER_SECOND: Milliseconds = 1000


def build_answer(
    request_id: str,
    snapshot: Snapshot | None,
    shards: list[ShardProgress],
    *,
    least_coverage: float,
    may_have_run: bool,
    elapsed: Seconds,
    reason: Reason,
) -> Answer:
    """Build the answer; this is the only place that computes coverage.

    Below `least_coverage` the answer has no shards, and its outcome tells
    whether any upstream may have run a part of the query.
    """
    answered = [shard for shard in shards if shard.is_answered]
    missing = [
        (shard.plan.key_range, shard.missing_reason())
        for shard in shards
        if not shard.is_answered
    ]
    coverage = count_coverage(
        [shard.plan.key_range for shard in answered], missing
    )
    is_sufficient = bool(answered) and coverage.share >= least_coverage
    outcome = Outcome.ran if is_sufficient else _refusal_outcome(may_have_run)
    if not is_sufficient and missing and reason is Reason.none:
        reason = missing[0][1]
    return Answer(
        request_id,
        outcome,
        snapshot,
        coverage,
        _shard_answers(answered) if is_sufficient else [],
        _timing(answered, elapsed),
        reason,
    )


def _refusal_outcome(may_have_run: bool) -> Outcome:
    return Outcome.unknown if may_have_run else Outcome.not_run


def _shard_answers(answered: list[ShardProgress]) -> list[ShardAnswer]:
    return [
        ShardAnswer(shard.plan.key_range, Raw(shard.reply.body))
        for shard in answered
    ]


def _timing(answered: list[ShardProgress], elapsed: Seconds) -> Timing:
    replies = [shard.reply for shard in answered]
    return Timing(
        elapsed * _MS_PER_SECOND,
        max((reply.queue_ms for reply in replies), default=0),
        max((reply.run_ms for reply in replies), default=0),
    )
