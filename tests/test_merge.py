"""Top-k merge of records."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.routing.merge import RECORD_BYTES, merge_top_records

_RECORD = st.binary(min_size=RECORD_BYTES, max_size=RECORD_BYTES)
_PART = st.tuples(
    st.lists(_RECORD, max_size=8), st.binary(max_size=RECORD_BYTES - 1)
)


class MergeTest(TestCase):
    """The merge returns the greatest records, greatest first."""

    @given(st.lists(_PART, max_size=6), st.integers(1, 20))
    def test_equals_sorting(self, parts: list, count: int) -> None:
        """The merge equals a sort of all complete records."""
        bodies = [b''.join(records) + rest for records, rest in parts]
        expected = sorted(
            (record for records, _ in parts for record in records),
            reverse=True,
        )
        merged = merge_top_records(bodies, count)
        self.assertEqual(b''.join(expected[:count]), merged)

    def test_duplicates_are_kept(self) -> None:
        """A record that two shards return appears twice."""
        record = b'r' * RECORD_BYTES
        self.assertEqual(record * 2, merge_top_records([record, record], 5))
