"""Top-k merge of the records of several shards."""

from collections.abc import Iterable
from heapq import nlargest

RECORD_BYTES = 16


def merge_top_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the `count` greatest fixed-width records, greatest first.

    Records are compared bytewise, and duplicates are kept. A remainder
    shorter than a record is ignored.
    """
    records = (
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    )
    return b''.join(nlargest(count, records))
