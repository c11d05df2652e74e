"""Tests of the reader of structured logs."""

from testtools import TestCase

from sesametrack.telemetry.log_reader import read_log_events
from sesametrack.telemetry.timeline import describe_event, select_events

_LINE = (
    b'{"time":1.5,"steady":2.5,"process":"vm-1/router","part":"forwarder",'
    b'"event":"answered","request_id":"r1","outcome":"partial",'
    b'"missing":{"s3":"pending"}}'
)


class LogReaderTest(TestCase):
    """Structured log lines are read as events."""

    def test_line(self) -> None:
        """An event has the details of its line, nested ones as JSON text."""
        events, skipped = read_log_events([_LINE + b'\n'])
        self.assertEqual(0, skipped)
        self.assertEqual('{"s3":"pending"}', events[0].details['missing'])
        self.assertIn('answered [r1]', describe_event(events[0]))

    def test_prefix_and_other_lines(self) -> None:
        """A collector's prefix is ignored; other lines are skipped."""
        lines = [b'12.5 vm-1 ' + _LINE, b'boot', b'{broken', b'{"time":1}', b'']
        events, skipped = read_log_events(lines)
        self.assertEqual((1, 4), (len(events), skipped))

    def test_filter(self) -> None:
        """Only the events of the given request are selected."""
        other = _LINE.replace(b'"r1"', b'"r2"')
        events, _ = read_log_events([_LINE, other])
        selected = select_events(events, 'r2', '')
        self.assertEqual(['r2'], [event.request_id for event in selected])
