"""A short seeded run of the randomized soak test."""

from pathlib import Path
from shutil import rmtree
from tempfile import mkdtemp

from testtools import TestCase

from bench.soak import play_soak

_DURATION_S = 5
_ROUTER_COUNT = 3


class SoakTest(TestCase):
    """Invariants hold while routers, paths, searchers and the store fail."""

    def test_short_run(self) -> None:
        """One seed with a few seconds of faults violates no invariant."""
        folder = mkdtemp(prefix='soak-7-')
        findings = play_soak(
            7, _DURATION_S, _ROUTER_COUNT, Path(folder), '127.1.7.1'
        )
        self.assertEqual([], findings.violations, f'logs are in {folder}')
        rmtree(folder)
