"""Builds the answer of a query from the replies in hand."""

from msgspec import Raw

from sesametrack.callers.attempts import ShardProgress
from sesametrack.callers.coverage import count_coverage
from sesametrack.contracts.answers import Answer, ShardAnswer, Timing
from sesametrack.contracts.outcomes import Outcome, Reason
from sesametrack.contracts.snapshots import Snapshot
from sesametrack.contracts.types import Milliseconds, Seconds

_MS: Milliseconds = 1000


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
    """Build the answer; this is the one place that states coverage.

    Below the least coverage no shard is given, and the outcome says whether
    any upstream may have run a part of the query.
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
    is_enough = bool(answered) and coverage.share >= least_coverage
    outcome = Outcome.ran if is_enough else _refused(may_have_run)
    if not is_enough and missing and reason is Reason.none:
        reason = missing[0][1]
    return Answer(
        request_id,
        outcome,
        snapshot,
        coverage,
        _give_shards(answered) if is_enough else [],
        _measure(answered, elapsed),
        reason,
    )


def _refused(may_have_run: bool) -> Outcome:
    return Outcome.unknown if may_have_run else Outcome.not_run


def _give_shards(answered: list[ShardProgress]) -> list[ShardAnswer]:
    return [
        ShardAnswer(shard.plan.key_range, Raw(shard.reply.body))
        for shard in answered
    ]


def _measure(answered: list[ShardProgress], elapsed: Seconds) -> Timing:
    replies = [shard.reply for shard in answered]
    return Timing(
        elapsed * _MS,
        max((reply.queue_ms for reply in replies), default=0),
        max((reply.run_ms for reply in replies), default=0),
    )
