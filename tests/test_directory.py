"""Tests of the upstream directory."""

from testtools import TestCase

from sesametrack.routing.directory import UpstreamDirectory
from tests.router_builders import make_directory, make_record


class DirectoryTest(TestCase):
    """Listed upstreams: added, updated, draining and removed."""

    def ids(self, directory: UpstreamDirectory) -> list[str]:
        """Return the ids of the usable upstreams of service s."""
        return [upstream.id for upstream in directory.usable('s')]

    def test_draining_is_not_usable(self) -> None:
        """A draining upstream gets no new requests."""
        directory = make_directory(['s'], 2)
        directory.apply_record(
            make_record('s-0', 's', is_draining=True, sequence=2), 1
        )
        self.assertEqual(['s-1'], self.ids(directory))

    def test_old_entry_is_ignored(self) -> None:
        """An entry with a lower sequence does not end a drain."""
        directory = make_directory(['s'], 1)
        directory.apply_record(
            make_record('s-0', 's', is_draining=True, sequence=5), 1
        )
        directory.apply_record(make_record('s-0', 's', sequence=4), 2)
        self.assertEqual([], self.ids(directory))

    def test_restart_is_another_upstream(self) -> None:
        """A restart under the same id does not keep the old health."""
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

    def test_entry_of_an_earlier_incarnation(self) -> None:
        """An entry written by an earlier incarnation is ignored."""
        directory = make_directory(['s'], 1)
        directory.apply_record(make_record('s-0', 's', started_ms=9), 1)
        directory.apply_record(
            make_record('s-0', 's', started_ms=3, is_draining=True), 2
        )
        self.assertEqual(['s-0'], self.ids(directory))

    def test_evacuated_domain(self) -> None:
        """Upstreams of an evacuated failure domain are not usable."""
        directory = make_directory(['s'], 1)
        directory.evacuated = frozenset(('north',))
        self.assertEqual([], self.ids(directory))

    def test_removal(self) -> None:
        """An upstream whose entry is deleted is removed immediately."""
        directory = make_directory(['s'], 2)
        self.assertTrue(
            directory.apply_removal('s-0', 1, is_after_outage=False)
        )
        self.assertEqual(['s-1'], self.ids(directory))

    def test_expiry_during_an_outage(self) -> None:
        """After an outage a missing upstream is kept for two seconds."""
        directory = make_directory(['s'], 2)
        removed = directory.apply_listing(
            [make_record('s-1', 's')], 10, is_after_outage=True
        )
        self.assertEqual([], removed)
        self.assertEqual(2, len(self.ids(directory)))
        self.assertEqual([], directory.expire(12))
        self.assertEqual(['s-0'], directory.expire(12.3))
        self.assertEqual(['s-1'], self.ids(directory))

    def test_expired_entry_returns(self) -> None:
        """An upstream whose entry is written again in time is kept."""
        directory = make_directory(['s'], 1)
        directory.apply_listing([], 10, is_after_outage=True)
        directory.apply_record(make_record('s-0', 's', sequence=2), 11)
        self.assertEqual([], directory.expire(20))
        self.assertEqual(['s-0'], self.ids(directory))

    # Guards against requests to upstreams that have left, which an older copy
    # of the store still lists.
    def test_removed_upstream_in_an_older_copy(self) -> None:
        """After a restore, an upstream that was removed stays removed."""
        directory = make_directory(['s'], 2)
        directory.apply_removal('s-0', 1, is_after_outage=False)
        directory.record_restore(5)
        listed = [make_record('s-0', 's'), make_record('s-1', 's')]
        directory.apply_listing(listed, 5, is_after_outage=True)
        self.assertEqual(['s-1'], self.ids(directory))
        directory.apply_record(make_record('s-0', 's'), 6)
        self.assertEqual(['s-1'], self.ids(directory))

    def test_removed_upstream_writes_again(self) -> None:
        """A later entry, or another process, of it is used."""
        for fields in ({'sequence': 2}, {'started_ms': 2, 'sequence': 0}):
            directory = make_directory(['s'], 2)
            directory.apply_removal('s-0', 1, is_after_outage=False)
            directory.record_restore(5)
            directory.apply_record(make_record('s-0', 's', **fields), 6)
            self.assertEqual({'s-0', 's-1'}, set(self.ids(directory)))

    def test_removed_upstream_long_after_a_restore(self) -> None:
        """The memory of removed upstreams ends with the recovery."""
        directory = make_directory(['s'], 2)
        directory.apply_removal('s-0', 1, is_after_outage=False)
        directory.record_restore(5)
        directory.apply_record(make_record('s-0', 's'), 30)
        self.assertEqual({'s-0', 's-1'}, set(self.ids(directory)))

    def test_drain_in_an_older_copy(self) -> None:
        """An upstream that drains is not ready again after a restore."""
        directory = make_directory(['s'], 1)
        draining = make_record('s-0', 's', is_draining=True, sequence=2)
        directory.apply_record(draining, 1)
        directory.record_restore(5)
        listed = [make_record('s-0', 's', sequence=1)]
        directory.apply_listing(listed, 5, is_after_outage=True)
        self.assertEqual([], self.ids(directory))

    def test_replaced_address(self) -> None:
        """An upstream is not usable once another one has its address."""
        directory = make_directory(['s'], 2)
        directory.mark_replaced('s-0')
        self.assertEqual(['s-1'], self.ids(directory))
