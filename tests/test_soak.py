"""A short seeded run of the fault soak, and the seeds that once failed."""

from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase

from bench.soak import play_soak

_SECONDS = 5
_VMS = 3


class SoakTest(TestCase):
    """No promise is broken under faults from outside the processes."""

    def test_short_run(self) -> None:
        """One seed, some seconds of faults."""
        with TemporaryDirectory() as folder:
            findings = play_soak(7, _SECONDS, _VMS, Path(folder), '127.1.7.1')
        self.assertEqual([], findings.broken)
