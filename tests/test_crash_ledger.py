"""Tests of what VMs conclude from upstreams that end under requests."""

from itertools import permutations

from hypothesis import given
from hypothesis import strategies as st
from msgspec import Struct, convert, to_builtins
from testtools import TestCase

from sesametrack.routing.crash_ledger import CrashLedger
from sesametrack.routing.crash_records import (
    ALL_SERVICES,
    CrashNews,
    EndNews,
    Standing,
    UpstreamEnd,
)

_REQUEST = 'f' * 32
_OTHER = 'e' * 32
_MANY = 10


class EarlierEnd(Struct, array_like=True):
    """An end as versions before presumed ends tell it."""

    upstream: str
    started_ms: int
    sent_age: float
    ended_age: float


class EarlierNews(Struct, array_like=True):
    """What versions before presumed ends tell of a request."""

    fingerprint: str
    ends: list[EarlierEnd]
    quarantined_age: float | None = None
    cleared_age: float | None = None


def make_end(number: int, sent_at: float, ended_at: float) -> UpstreamEnd:
    """Make the end of an upstream named 'i-number'."""
    return UpstreamEnd((f'i-{number}', 1), sent_at, ended_at)


def make_sequence(count: int, first: int = 0) -> list[UpstreamEnd]:
    """Make ends, each of a request that was sent after the one before."""
    return [
        make_end(number, number, number + 0.5)
        for number in range(first, first + count)
    ]


def make_ledger(ends: list[UpstreamEnd], request: str = _REQUEST):
    """Make a ledger in which upstreams have ended under one request."""
    ledger = CrashLedger()
    for end in ends:
        ledger.record_end(request, end, end.ended_at)
    return ledger


class EvidenceTest(TestCase):
    """Only ends one after the other, without a success, are evidence."""

    # Guards against a request that goes on ending upstreams.
    def test_three_in_a_row_quarantine(self) -> None:
        """A request is quarantined at the third end in a row."""
        ledger = make_ledger(make_sequence(2))
        self.assertIs(Standing.suspect, ledger.standing(_REQUEST, 3))
        self.assertFalse(ledger.may_retry(_REQUEST, 3))
        self.assertTrue(ledger.record_end(_REQUEST, make_end(5, 5, 5.1), 5.1))
        self.assertIs(Standing.quarantined, ledger.standing(_REQUEST, 6))

    # Guards against a quarantine of gathers whose upstreams a failing failure
    # domain takes away, all at once.
    def test_ends_together_count_once(self) -> None:
        """Many upstreams that end together make a request a suspect only."""
        ledger = make_ledger(
            [make_end(number, 1, 1.5 + number / 100) for number in range(_MANY)]
        )
        self.assertIs(Standing.suspect, ledger.standing(_REQUEST, 2))
        self.assertTrue(ledger.may_retry(_REQUEST, 2))

    # Guards against a quarantine that takes four ends, since a retry is sent
    # at the very instant at which the end before it was seen.
    def test_retry_at_the_instant_of_an_end(self) -> None:
        """The ends of a send and of its retry are two ends in a row."""
        ledger = make_ledger([make_end(1, 1, 2), make_end(2, 2, 3)])
        self.assertFalse(ledger.may_retry(_REQUEST, 3))

    # Guards against a quarantine of popular requests, which are in flight
    # wherever upstreams end.
    def test_success_clears(self) -> None:
        """A success clears a request, and protects it for a while."""
        ledger = make_ledger(make_sequence(2))
        self.assertTrue(ledger.record_success(_REQUEST, ALL_SERVICES, 3))
        self.assertIs(Standing.clear, ledger.standing(_REQUEST, 3))
        for end in make_sequence(3, first=4):
            ledger.record_end(_REQUEST, end, end.ended_at)
        self.assertIs(Standing.clear, ledger.standing(_REQUEST, 8))

    # Guards against a quarantine of requests that were in flight beside the
    # one that ended the upstreams.
    def test_quarantine_explains_ends(self) -> None:
        """Ends under a quarantined request are no evidence against others."""
        ends = make_sequence(3)
        ledger = make_ledger(ends[:2], _OTHER)
        for end in ends:
            ledger.record_end(_REQUEST, end, end.ended_at)
        self.assertIs(Standing.quarantined, ledger.standing(_REQUEST, 4))
        self.assertIs(Standing.clear, ledger.standing(_OTHER, 4))
        self.assertFalse(ledger.record_end(_OTHER, ends[2], 4))
        self.assertIs(Standing.clear, ledger.standing(_OTHER, 4))

    def test_lifted_quarantine_ends(self) -> None:
        """What an operator lifts may run again, and be quarantined again."""
        ledger = make_ledger(make_sequence(3))
        self.assertTrue(ledger.clear(_REQUEST, 4))
        self.assertIs(Standing.clear, ledger.standing(_REQUEST, 4))
        for end in make_sequence(3, first=5):
            ledger.record_end(_REQUEST, end, end.ended_at)
        self.assertIs(Standing.quarantined, ledger.standing(_REQUEST, 9))

    def test_quarantine_expires(self) -> None:
        """A quarantine ends some minutes after the last end."""
        ledger = make_ledger(make_sequence(3))
        until = ledger.quarantined_until(_REQUEST)
        self.assertIs(
            Standing.quarantined, ledger.standing(_REQUEST, until - 1)
        )
        self.assertIs(Standing.clear, ledger.standing(_REQUEST, until))

    def test_memory_is_limited(self) -> None:
        """Suspects are forgotten before quarantined requests are."""
        ledger = make_ledger(make_sequence(3))
        for number in range(2000):
            end = make_end(number, 5, 6)
            ledger.record_end(f'{number:032x}', end, 6 + number / 1000)
        self.assertIs(Standing.quarantined, ledger.standing(_REQUEST, 9))
        self.assertLessEqual(ledger.count(Standing.suspect, 9), 1024)


class ExchangeTest(TestCase):
    """VMs conclude the same from the same observations, in any order."""

    # Guards against VMs that each saw one end only, and go on sending.
    def test_ends_of_three_vms_add_up(self) -> None:
        """Each VM has seen one end; all orders of their news quarantine."""
        ends = make_sequence(3)
        for order in permutations(ends):
            ledger = CrashLedger()
            quarantined = []
            for end in order:
                news = make_ledger([end]).news(1, 10)
                quarantined += ledger.merge(news, 10)
            self.assertEqual([_REQUEST], quarantined)

    # Guards against a suspicion that lives on by being repeated.
    def test_clearance_reaches_others(self) -> None:
        """A success that one VM has seen clears a request everywhere."""
        ends = make_sequence(2)
        first, second = make_ledger(ends), make_ledger(ends)
        first.record_success(_REQUEST, ALL_SERVICES, 3)
        second.merge(first.news(1, 4), 4)
        self.assertIs(Standing.clear, second.standing(_REQUEST, 4))
        first.merge(make_ledger(ends).news(1, 5), 5)
        self.assertIs(Standing.clear, first.standing(_REQUEST, 5))

    # Guards against news that VMs of an earlier version can't read, or whose
    # clearances of one shard clear them all.
    def test_earlier_versions(self) -> None:
        """Both versions read what the other one tells of ends."""
        ledger = make_ledger(make_sequence(2))
        news = convert(
            to_builtins(ledger.news(1, 4)), list[EarlierNews], strict=True
        )
        self.assertEqual(2, len(news[0].ends))
        told = EarlierNews(_REQUEST, news[0].ends, None, 0)
        merged = CrashLedger()
        merged.merge(convert(to_builtins([told]), list[CrashNews]), 4)
        self.assertFalse(merged.may_retry(_REQUEST, 4, 's0'))

    # Guards against messages that grow with the shards of a gather.
    def test_other_services_are_not_told(self) -> None:
        """Only clearances of services with ends are told."""
        ledger = CrashLedger()
        ledger.record_end(_REQUEST, UpstreamEnd(('i-1', 1), 1, 2, 's0'), 2)
        for number in range(1, _MANY):
            ledger.record_success(_REQUEST, f's{number}', 3)
        news = ledger.news(1, 4)[0]
        self.assertEqual({}, news.cleared_ages)
        self.assertEqual(1, news.answered_age)
        ledger.record_success(_REQUEST, 's0', 4)
        news = ledger.news(1, 5)[0]
        self.assertEqual({'s0': 1}, news.cleared_ages)

    # Guards against messages that grow with all requests that were ever in
    # flight at an upstream that ended.
    def test_old_suspects_are_not_told(self) -> None:
        """Quarantines are told until they end, suspects for seconds."""
        ledger = make_ledger(make_sequence(1, first=7), _OTHER)
        for end in make_sequence(3):
            ledger.record_end(_REQUEST, end, end.ended_at)
        told = {item.fingerprint for item in ledger.news(_MANY, 8)}
        self.assertEqual({_REQUEST, _OTHER}, told)
        told = {item.fingerprint for item in ledger.news(_MANY, 60)}
        self.assertEqual({_REQUEST}, told)
        self.assertIs(Standing.suspect, ledger.standing(_OTHER, 60))

    # Guards against a quarantine that is told to a VM which serves the
    # request all the time.
    def test_success_elsewhere_prevails(self) -> None:
        """A VM that has just seen a success contradicts a quarantine."""
        ledger = CrashLedger()
        ledger.record_success(_REQUEST, ALL_SERVICES, 3)
        accused = make_ledger(make_sequence(3))
        self.assertEqual([], ledger.merge(accused.news(1, 4), 4))
        accused.merge(ledger.news(1, 5), 5)
        self.assertIs(Standing.clear, accused.standing(_REQUEST, 5))

    @given(
        st.lists(
            st.tuples(st.integers(0, 4), st.integers(0, 20), st.integers(1, 4)),
            max_size=6,
        ),
        st.randoms(use_true_random=False),
    )
    def test_merging_is_a_union(self, raw, rng) -> None:
        """Repeated and reordered news leave the same ends known."""
        ends = [make_end(one, sent, sent + took) for one, sent, took in raw]
        reports = [
            CrashNews(
                _REQUEST,
                [
                    EndNews(
                        *end.incarnation, 30 - end.sent_at, 30 - end.ended_at
                    )
                ],
            )
            for end in {end.incarnation: end for end in ends}.values()
        ]
        expected = CrashLedger()
        expected.merge(reports, 30)
        shuffled = reports * 2
        rng.shuffle(shuffled)
        merged = CrashLedger()
        merged.merge(shuffled, 30)
        self.assertEqual(
            expected.standing(_REQUEST, 30), merged.standing(_REQUEST, 30)
        )
