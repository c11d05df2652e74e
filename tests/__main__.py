"""Runs the named tests, or all, and ends with their counts.

The last line of output is 'N passed, N failed, N skipped'.
"""

from pathlib import Path
from sys import argv, stdout
from sys import exit as exit_process
from unittest import TestSuite, TextTestRunner, defaultTestLoader

from hypothesis import settings

_ROOT = Path(__file__).parent.parent
_KNOWN_FAILURES_PATH = _ROOT / 'KNOWN-RED.txt'


def _read_known_failures() -> set[str]:
    """Return the ids of the tests that KNOWN-RED.txt excludes."""
    if not _KNOWN_FAILURES_PATH.exists():
        return set()
    lines = _KNOWN_FAILURES_PATH.read_text().splitlines()
    return {
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    }


def _flatten(suite: TestSuite) -> list:
    tests = []
    for test in suite:
        tests.extend(_flatten(test) if isinstance(test, TestSuite) else [test])
    return tests


def _main() -> int:
    settings.register_profile(
        'ci', derandomize=True, deadline=None, database=None, max_examples=100
    )
    settings.load_profile('ci')
    if len(argv) > 1:
        suite = defaultTestLoader.loadTestsFromNames(argv[1:])
    else:
        suite = defaultTestLoader.discover(
            str(_ROOT / 'tests'), top_level_dir=str(_ROOT)
        )
    known_failures = _read_known_failures()
    tests = _flatten(suite)
    excluded = [test.id() for test in tests if test.id() in known_failures]
    for name in excluded:
        stdout.write(f'not run, listed in KNOWN-RED.txt: {name}\n')
    selected = TestSuite(
        test for test in tests if test.id() not in known_failures
    )
    result = TextTestRunner(stream=stdout, verbosity=1).run(selected)
    failed = len(result.failures) + len(result.errors)
    failed += len(result.unexpectedSuccesses)
    skipped = len(result.skipped)
    passed = result.testsRun - failed - skipped
    stdout.write(f'{passed} passed, {failed} failed, {skipped} skipped\n')
    return 1 if failed or not result.testsRun else 0


if __name__ == '__main__':
    exit_process(_main())
