"""A short seeded run of the fault soak, and the seeds that once failed."""

from pathlib import Path
from shutil import rmtree
from tempfile import mkdtemp

from testtools import TestCase

from bench.soak import play_soak

_SECONDS = 5
_VMS = 3


class SoakTest(TestCase):
    """No promise is broken under faults from outside the processes."""

    def test_short_run(self) -> None:
        """One seed, some seconds of faults."""
        folder = mkdtemp(prefix='soak-7-')
        findings = play_soak(7, _SECONDS, _VMS, Path(folder), '127.1.7.1')
        self.assertEqual([], findings.violations, f'logs are kept in {folder}')
        rmtree(folder)
