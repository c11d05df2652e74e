"""Events read back from structured logs."""

from testtools import TestCase

from sesametrack.telemetry.log_reader import read_log_events
from sesametrack.telemetry.timeline import describe_event, select_events

_LINE = (
    b'{"time":1.5,"steady":2.5,"process":"vm-1/router","part":"forwarder",'
    b'"event":"answered","request_id":"r1","outcome":"partial",'
    b'"missing":{"s3":"pending"}}'
)


class LogReaderTest(TestCase):
    """Log lines become events of the time line."""

    def test_line(self) -> None:
        """A line keeps its inputs, nested ones as text."""
        events, unread = read_log_events([_LINE + b'\n'])
        self.assertEqual(0, unread)
        self.assertEqual('{"s3":"pending"}', events[0].details['missing'])
        self.assertIn('answered [r1]', describe_event(events[0]))

    def test_prefix_and_other_lines(self) -> None:
        """A collector's prefix is passed over, other lines are counted."""
        lines = [b'12.5 vm-1 ' + _LINE, b'boot', b'{broken', b'{"time":1}', b'']
        events, unread = read_log_events(lines)
        self.assertEqual((1, 4), (len(events), unread))

    def test_filter(self) -> None:
        """Only one request's events are shown."""
        other = _LINE.replace(b'"r1"', b'"r2"')
        events, _ = read_log_events([_LINE, other])
        chosen = select_events(events, 'r2', '')
        self.assertEqual(['r2'], [event.request_id for event in chosen])
