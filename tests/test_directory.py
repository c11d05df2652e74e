"""Tests of the directory of upstreams."""

from testtools import TestCase

from sesametrack.routing.directory import UpstreamDirectory
from tests.router_builders import make_directory, make_record


class DirectoryTest(TestCase):
    """Entries come, change, drain and go."""

    def ids(self, directory: UpstreamDirectory) -> list[str]:
        """Return the usable upstreams of service s."""
        return [upstream.id for upstream in directory.usable('s')]

    def test_draining_gets_nothing(self) -> None:
        """An upstream that says it leaves gets no new work."""
        directory = make_directory(['s'], 2)
        directory.apply_record(
            make_record('s-0', 's', is_draining=True, sequence=2), 1
        )
        self.assertEqual(['s-1'], self.ids(directory))

    def test_old_entry_is_ignored(self) -> None:
        """An entry of a lower sequence does not undo a drain."""
        directory = make_directory(['s'], 1)
        directory.apply_record(
            make_record('s-0', 's', is_draining=True, sequence=5), 1
        )
        directory.apply_record(make_record('s-0', 's', sequence=4), 2)
        self.assertEqual([], self.ids(directory))

    def test_new_start_is_another_upstream(self) -> None:
        """Nothing that was learned survives a new start under one id."""
        directory = make_directory(['s'], 1)
        before = directory.by_id['s-0']
        before.health.record_unreachable(1)
        self.assertTrue(
            directory.apply_record(make_record('s-0', 's', started_ms=9), 2)
        )
        after = directory.by_id['s-0']
        self.assertTrue(before.is_replaced)
        self.assertFalse(after.health.is_unreachable)
        self.assertEqual(['s-0'], self.ids(directory))

    def test_entry_of_an_earlier_start(self) -> None:
        """An entry that an earlier start wrote is ignored."""
        directory = make_directory(['s'], 1)
        directory.apply_record(make_record('s-0', 's', started_ms=9), 1)
        directory.apply_record(
            make_record('s-0', 's', started_ms=3, is_draining=True), 2
        )
        self.assertEqual(['s-0'], self.ids(directory))

    def test_evacuated_domain(self) -> None:
        """Upstreams of a failure domain that is out get nothing."""
        directory = make_directory(['s'], 1)
        directory.evacuated = frozenset(('north',))
        self.assertEqual([], self.ids(directory))

    def test_removal(self) -> None:
        """A removed entry is gone at once."""
        directory = make_directory(['s'], 2)
        self.assertTrue(
            directory.apply_removal('s-0', 1, is_after_outage=False)
        )
        self.assertEqual(['s-1'], self.ids(directory))

    def test_lapse_during_an_outage(self) -> None:
        """After an outage a missing entry is kept for two seconds."""
        directory = make_directory(['s'], 2)
        gone = directory.apply_listing(
            [make_record('s-1', 's')], 10, is_after_outage=True
        )
        self.assertEqual([], gone)
        self.assertEqual(2, len(self.ids(directory)))
        self.assertEqual([], directory.expire(12))
        self.assertEqual(['s-0'], directory.expire(12.3))
        self.assertEqual(['s-1'], self.ids(directory))

    def test_lapsed_entry_returns(self) -> None:
        """An entry that comes back in time stays."""
        directory = make_directory(['s'], 1)
        directory.apply_listing([], 10, is_after_outage=True)
        directory.apply_record(make_record('s-0', 's', sequence=2), 11)
        self.assertEqual([], directory.expire(20))
        self.assertEqual(['s-0'], self.ids(directory))

    def test_misdirected(self) -> None:
        """An upstream whose address another one has gets nothing."""
        directory = make_directory(['s'], 2)
        directory.mark_replaced('s-0')
        self.assertEqual(['s-1'], self.ids(directory))
