"""The coverage that an answer states, counted from replies in hand."""

from collections.abc import Iterable

from sesametrack.contracts.answers import Coverage, MissingShard
from sesametrack.contracts.outcomes import Reason
from sesametrack.contracts.snapshots import KeyRange

# Digits of a stated share; it is rounded down, never up to completeness.
_SHARE_SCALE = 1_000_000


def count_coverage(
    answered: Iterable[KeyRange], missing: Iterable[tuple[KeyRange, Reason]]
) -> Coverage:
    """Count what was answered against all that was asked.

    Both arguments together are the key ranges of the query; the share is
    that of the key space asked, so that shards of different width weigh
    what they hold.
    """
    answered_ranges = list(answered)
    missing_shards = [
        MissingShard(key_range, reason) for key_range, reason in missing
    ]
    covered = sum(key_range.width for key_range in answered_ranges)
    lost = sum(shard.key_range.width for shard in missing_shards)
    asked = covered + lost
    share = covered * _SHARE_SCALE // asked / _SHARE_SCALE if asked else 0
    return Coverage(
        not missing_shards and bool(answered_ranges),
        share,
        len(answered_ranges) + len(missing_shards),
        len(answered_ranges),
        missing_shards,
    )
