"""Tests of configuration changes under races, lost and delayed writes."""

from asyncio import run

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.json import decode
from msgspec.structs import replace
from testtools import TestCase

from sesametrack.configuration.parts import (
    HEAD_KEY,
    Head,
    encode_parts,
    next_head,
    part_digest,
)
from sesametrack.configuration.replica import ConfigurationReplica
from sesametrack.contracts.exceptions import (
    InputError,
    PlatformError,
    RulesError,
)
from sesametrack.contracts.rules import Rules
from sesametrack.programs.configuration_store import (
    ChangeReport,
    ConfigurationStore,
    WriteState,
)
from tests.builders import make_inventory_model
from tests.fakes import FakePlatform

_FAULTS = st.sampled_from(['', '', '', 'down', 'lost', 'delayed', 'lands'])
_MODEL = make_inventory_model()


class ConfigurationStoreTest(TestCase):
    """Reports of changes agree with the stored configuration."""

    @settings(max_examples=150)
    @given(draw=st.data())
    def test_reports_match_head(self, draw: st.DataObject) -> None:
        """An applied change is stored; one reported as failed never is."""
        platform = FakePlatform(lambda call: draw.draw(_FAULTS))
        store = ConfigurationStore(platform)
        state_by_change: dict[str, WriteState] = {}
        for number, domains in enumerate((['north'], [], ['south'], [])):
            has_concurrent_change = draw.draw(st.booleans())
            rules = Rules(failure_domains_out=domains)
            try:
                report = _apply_change(
                    store, rules, f'change-{number}', has_concurrent_change
                )
            except PlatformError:
                continue
            state_by_change[report.change_id] = report.state
        platform.apply_delayed_writes()
        applied = _applied_changes(platform)
        for name, state in state_by_change.items():
            if state is WriteState.applied:
                self.assertIn(name, applied)
            elif state is not WriteState.unknown:
                self.assertNotIn(name, applied)

    def test_conflict_writes_nothing(self) -> None:
        """The second of two changes to one revision reports a conflict."""
        platform = FakePlatform()
        store = ConfigurationStore(platform)
        run(store.apply(_MODEL, Rules(), None))
        based_on = run(store.read())
        run(store.apply(_MODEL, Rules(vms_out=['a']), based_on, 'first'))
        report = run(store.apply(_MODEL, Rules(vms_out=['b']), based_on))
        self.assertEqual(WriteState.conflict, report.state)
        self.assertEqual(['a'], run(store.read()).rules.vms_out)

    def test_invalid_rules_write_nothing(self) -> None:
        """Rules that name an unknown failure domain are not written."""
        platform = FakePlatform()
        store = ConfigurationStore(platform)
        rules = Rules(failure_domains_out=['nowhere'])
        self.assertRaises(
            RulesError, lambda: run(store.apply(_MODEL, rules, None))
        )
        self.assertEqual({}, platform.object_by_key)


class ConfigurationReplicaTest(TestCase):
    """A replica accepts a configuration only if its revision is higher."""

    @settings(max_examples=60)
    @given(order=st.permutations([1, 2, 3, 4, 5]))
    def test_revision_is_monotonic(self, order: list[int]) -> None:
        """Duplicate and reordered heads never lower the revision."""
        history = _make_history(5)
        replica = ConfigurationReplica()
        highest = 0
        for revision in order * 2:
            head, parts = history[revision - 1]
            replica.accept(head, parts)
            highest = max(highest, revision)
            self.assertEqual(highest, replica.revision)

    def test_corrupt_part_is_rejected(self) -> None:
        """A part that does not match its digest keeps the old revision."""
        (head, parts), (newer_head, newer_parts) = _make_history(2)
        replica = ConfigurationReplica()
        replica.accept(head, parts)
        digest = newer_head.digest_by_part['rules']
        corrupt = {**newer_parts, digest: b'{}'}
        self.assertRaises(InputError, replica.accept, newer_head, corrupt)
        self.assertEqual(1, replica.revision)

    def test_part_size_at_target_scale(self) -> None:
        """1,300 searchers of a failure domain fit into one platform object."""
        searcher = _MODEL.searchers[0]
        many = [
            replace(
                searcher,
                id=f'searcher-of-some-service-{number:05}',
                address=f'10.20.{number // 250}.{number % 250}:20001',
            )
            for number in range(1300)
        ]
        parts = encode_parts(replace(_MODEL, searchers=many), Rules())
        self.assertLess(max(len(part) for part in parts.values()), 1_000_000)


def _apply_change(
    store: ConfigurationStore,
    rules: Rules,
    name: str,
    has_concurrent_change: bool,
) -> ChangeReport:
    based_on = run(store.read())
    if has_concurrent_change:
        run(store.apply(_MODEL, Rules(), based_on, f'{name}-concurrent'))
    return run(store.apply(_MODEL, rules, based_on, name))


def _make_history(length: int) -> list[tuple[Head, dict[str, bytes]]]:
    history = []
    head = None
    for number in range(length):
        rules = Rules(vms_out=[f'vm-{number}'])
        parts = encode_parts(_MODEL, rules)
        head = next_head(head, f'change-{number}', parts)
        part_by_digest = {part_digest(part): part for part in parts.values()}
        history.append((head, part_by_digest))
    return history


def _applied_changes(platform: FakePlatform) -> list[str]:
    stored = platform.object_by_key.get(HEAD_KEY)
    if stored is None:
        return []
    head = decode(stored.text, type=Head)
    return [head.change_id, *head.history]
