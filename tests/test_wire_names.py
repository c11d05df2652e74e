"""The platform's names stay in the adapter."""

from pathlib import Path
from re import IGNORECASE
from re import compile as compile_pattern

from testtools import TestCase

_SOURCES = Path(__file__).parent.parent / 'src' / 'sesametrack'
_NAMES = compile_pattern(
    'request-deadline|server-stamp|expect-instance|not-executed|server-load|'
    'part-stamps|missing-parts|instance-id|cold-remaining|path_prefix|'
    'route_kind|traffic_split|target_latency_ms|config_version|cold_left_ms|'
    'cold_per_s|max_conns|min_share|top_k|store_revision|allow_stale|'
    'has_more|/sesametrack/',
    IGNORECASE,
)


class WireNamesTest(TestCase):
    """No module outside the adapter knows a name of the wire."""

    def test_no_wire_name_outside_the_adapter(self) -> None:
        """Scan all sources."""
        found = [
            f'{path.name}: {line.strip()}'
            for path in _SOURCES.rglob('*.py')
            if 'platform' not in path.relative_to(_SOURCES).parts
            for line in path.read_text().splitlines()
            if _NAMES.search(line)
        ]
        self.assertEqual([], found)
