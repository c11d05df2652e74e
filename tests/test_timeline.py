"""Tests of the timeline."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.telemetry.events import Event
from sesametrack.telemetry.timeline import describe_event, merge_events
from sesametrack.telemetry.timeline_svg import render_timeline_svg


class TimelineTest(TestCase):
    """Events are merged, formatted and rendered as SVG."""

    @given(clocks=st.lists(st.floats(0, 1e9), max_size=20))
    def test_order_within_a_process_is_kept(self, clocks: list[float]) -> None:
        """A clock that is set back does not reorder a process's events."""
        events = [
            Event(f'vm{number % 2}', number, clock, 0, 'part', 'name')
            for number, clock in enumerate(clocks)
        ]
        merged = merge_events(reversed(events))
        for process in ('vm0', 'vm1'):
            sequences = [
                event.sequence for event in merged if event.process == process
            ]
            self.assertEqual(sorted(sequences), sequences)
        self.assertEqual(len(events), len(merged))

    def test_text_and_svg(self) -> None:
        """The text has the request and details; the SVG escapes markup."""
        event = Event('vm/gate', 1, 0, 0, 'query', '<b>', 'r1', {'share': 1.0})
        self.assertEqual(
            '00:00:00.000 vm/gate query: <b> [r1] share=1.0',
            describe_event(event),
        )
        svg = render_timeline_svg([event])
        self.assertIn('&lt;b&gt;', svg)
        self.assertNotIn('<b>', svg)
