"""Coverage of an answer, computed from the replies received."""

from collections.abc import Iterable

from sesametrack.contracts.answers import Coverage, MissingShard
from sesametrack.contracts.outcomes import Reason
from sesametrack.contracts.snapshots import KeyRange

# The share has six decimals and is rounded down, so that a partial answer
# never reports a share of 1.
_SHARE_SCALE = 1_000_000


def count_coverage(
    answered: Iterable[KeyRange], missing: Iterable[tuple[KeyRange, Reason]]
) -> Coverage:
    """Return the coverage of a query from its answered and missing ranges.

    Both arguments together are the key ranges of the query. The share is
    weighted by the width of the ranges, since shards may differ in width.
    """
    answered_ranges = list(answered)
    missing_shards = [
        MissingShard(key_range, reason) for key_range, reason in missing
    ]
    answered_width = sum(key_range.width for key_range in answered_ranges)
    missing_width = sum(shard.key_range.width for shard in missing_shards)
    total_width = answered_width + missing_width
    share = (
        answered_width * _SHARE_SCALE // total_width / _SHARE_SCALE
        if total_width
        else 0
    )
    return Coverage(
        not missing_shards and bool(answered_ranges),
        share,
        len(answered_ranges) + len(missing_shards),
        len(answered_ranges),
        missing_shards,
    )
