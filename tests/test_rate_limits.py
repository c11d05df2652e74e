"""Tests of the limits that upstreams state, as one VM hears of them."""

from testtools import TestCase

from sesametrack.routing.rate_limits import RateLimit


class RateLimitTest(TestCase):
    """The order of replies and news."""

    def setUp(self) -> None:
        """Create a limit that was heard at 10 s."""
        super().setUp()
        self.limit = RateLimit()
        self.assertTrue(self.limit.record_reply(8, 9.9, 10))

    def test_lower_limit(self) -> None:
        """A lower limit applies even if its request was sent before."""
        self.assertTrue(self.limit.record_reply(3, 9.5, 10.1))
        self.assertEqual(3, self.limit.per_s)

    def test_late_reply(self) -> None:
        """A late reply neither raises nor ends the limit."""
        self.assertFalse(self.limit.record_reply(20, 9.8, 10.1))
        self.assertFalse(self.limit.record_reply(None, 9.8, 10.2))
        self.assertEqual(8, self.limit.per_s)

    def test_end(self) -> None:
        """The reply to a later request raises or ends the limit."""
        self.assertTrue(self.limit.record_reply(20, 10.1, 10.2))
        self.assertTrue(self.limit.record_reply(None, 10.3, 10.4))
        self.assertIsNone(self.limit.per_s)

    def test_news(self) -> None:
        """News of another VM apply only if they are newer."""
        self.assertFalse(self.limit.record_news(None, 9.9))
        self.assertTrue(self.limit.record_news(None, 10.5))
        self.assertIsNone(self.limit.per_s)
