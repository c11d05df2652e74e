"""Key ranges, index snapshots and the holdings of upstreams."""

from msgspec import Struct

# Number of hashed keys; key hashes run from 0 to KEY_SPACE - 1.
KEY_SPACE = 65536


class KeyRange(Struct, frozen=True, array_like=True, order=True):
    """An inclusive range of hashed keys."""

    first: int
    last: int

    @property
    def width(self) -> int:
        """Number of hashed keys in the range."""
        return self.last - self.first + 1

    def contains(self, hashed_key: int) -> bool:
        """Return whether the range contains a hashed key."""
        return self.first <= hashed_key <= self.last


class Snapshot(Struct, frozen=True, array_like=True, order=True):
    """A version of the index with its partitioning of the key space."""

    version: int
    partitioning: str


class Holding(Struct, frozen=True, array_like=True, order=True):
    """A key range of a snapshot that an upstream can search."""

    snapshot: Snapshot
    key_range: KeyRange


def find_gaps(ranges: list[KeyRange]) -> list[KeyRange]:
    """Return the parts of the key space that the ranges do not cover."""
    gaps = []
    next_key = 0
    for key_range in sorted(ranges):
        if key_range.first > next_key:
            gaps.append(KeyRange(next_key, key_range.first - 1))
        next_key = max(next_key, key_range.last + 1)
    if next_key < KEY_SPACE:
        gaps.append(KeyRange(next_key, KEY_SPACE - 1))
    return gaps


def find_overlap(ranges: list[KeyRange]) -> tuple[KeyRange, KeyRange] | None:
    """Return the first two overlapping ranges, or None."""
    ordered = sorted(ranges)
    for lower, upper in zip(ordered, ordered[1:], strict=False):
        if upper.first <= lower.last:
            return lower, upper
    return None
