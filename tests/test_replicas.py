"""Tests of what an entry knows of replicas."""

from random import Random

from testtools import TestCase

from sesametrack.callers.replicas import ReplicaTable
from sesametrack.contracts.rules import Rules
from sesametrack.contracts.snapshots import Holding, KeyRange, Snapshot
from sesametrack.failure_domains.placement import Placement
from tests.builders import SNAPSHOT, make_inventory, make_member, make_view


class ReplicaTableTest(TestCase):
    """Views, placement and plans."""

    def setUp(self) -> None:
        """Make a table with one gate in each failure domain."""
        super().setUp()
        self.inventory = make_inventory()
        self.gates = [
            make_member('vm-n'),
            make_member('vm-s', failure_domain='south'),
        ]
        self.names = [gate.id for gate in self.gates]
        self.table = ReplicaTable()
        self.table.configure(self.inventory, Rules())
        self.placement = Placement(self.inventory, self.gates)

    def report_all(self, snapshot: Snapshot = SNAPSHOT) -> None:
        """Let the gates report all their upstreams."""
        for upstream in self.inventory.upstream_by_id.values():
            holdings = [Holding(snapshot, upstream.key_range)]
            gate = self.placement.gate_of(upstream.id)
            view = make_view(upstream.id, holdings)
            self.table.update_view(view, gate.id, 0)

    def test_views_before_links_are_kept(self) -> None:
        """A gate may report before the entry's own link to it is up."""
        self.report_all()
        self.table.update_placement(self.placement, [])
        self.assertFalse(self.table.has_full_coverage())
        self.table.update_placement(self.placement, self.names)
        self.assertEqual(0, self.table.plan('find').uncovered_width)

    def test_new_session_drops_the_former_views(self) -> None:
        """What a restarted gate said in its former life does not count."""
        self.report_all()
        self.table.discard_views('vm-n/gate')
        self.table.update_placement(self.placement, self.names)
        usable = self.table.plan('find').shards[0].replicas
        self.assertEqual(('find-0-1',), usable)

    def test_domain_out_is_not_chosen(self) -> None:
        """Replicas of a failure domain that is out get no work."""
        self.table.update_placement(self.placement, self.names)
        self.report_all()
        self.table.configure(
            self.inventory, Rules(failure_domains_out=['north'])
        )
        for shard in self.table.plan('find').shards:
            replica = self.table.choose_replica(shard.replicas, Random(1), 0)
            self.assertEqual('south', replica.upstream.failure_domain)

    def test_stalled_gate_is_passed_over(self) -> None:
        """Until it is heard again."""
        self.table.update_placement(self.placement, self.names)
        self.report_all()
        for stalled, usable in (({'vm-n/gate'}, 1), (set(), 2)):
            self.table.set_stalled_gates(stalled)
            shard = self.table.plan('find').shards[0]
            self.assertEqual(usable, len(shard.replicas))

    def test_overlapping_ranges_are_not_searched_twice(self) -> None:
        """A false report of a wider range must not double records."""
        self.table.update_placement(self.placement, self.names)
        self.report_all()
        wide = [Holding(SNAPSHOT, KeyRange(0, 40_000))]
        self.table.update_view(make_view('find-0-0', wide), 'vm-n/gate', 0)
        next_key = 0
        for shard in self.table.plan('find').shards:
            self.assertEqual(next_key, shard.key_range.first)
            next_key = shard.key_range.last + 1

    def test_newest_whole_snapshot_is_pinned(self) -> None:
        """A newer one that is not whole yet has to wait."""
        self.table.update_placement(self.placement, self.names)
        self.report_all()
        newer = Snapshot(2, 'p1')
        upstream = self.inventory.upstream_by_id['find-0-0']
        holdings = [Holding(newer, upstream.key_range)]
        self.table.update_view(make_view('find-0-0', holdings), 'vm-n/gate', 0)
        self.assertEqual(SNAPSHOT, self.table.plan('find').snapshot)
        self.report_all(newer)
        self.assertEqual(newer, self.table.plan('find').snapshot)
