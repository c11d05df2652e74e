"""A model of fleets in which one request ends each upstream that runs it.

Time is virtual. VMs have real ledgers and the coordinator real permits;
messages between them are lost, delayed by a tick, and cut.
"""

from collections import Counter
from dataclasses import dataclass, field, replace
from random import Random

from testtools import TestCase

from sesametrack.contracts.permits import LimitedUpstream, PermitRequest
from sesametrack.routing.crash_ledger import CrashLedger
from sesametrack.routing.crash_records import (
    ALL_SERVICES,
    CrashNews,
    Standing,
    UpstreamEnd,
)
from sesametrack.routing.permits import PermitIssuer

_KILLER = 'k' * 32
_POPULAR = 'p' * 32
_TICK_S = 0.2
_TICKS_PER_HEARTBEAT = 25
_FANOUT = 8
_NEWS_SIZE = 4
_RUN_TIME_S = 0.02
_SETTLED_S = 4
_MAX_SETTLED_SENDS = 3
_TRIALS_PER_S = 0.25


@dataclass
class FleetModel:
    """VMs that get the same request again and again."""

    size: int
    rng: Random
    loss: float = 0.1
    # VMs that hear nothing and are not heard, and those that are restarted.
    cut: set[int] = field(default_factory=set)
    has_coordinator: bool = True
    # Whether ends are proven, and how long they take to be known.
    is_proven: bool = True
    detection_s: float = 0
    now: float = 0
    ends: list[float] = field(default_factory=list)
    sends: list[float] = field(default_factory=list)
    statuses: Counter = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Create the VMs and the coordinator."""
        self.ledgers = [CrashLedger() for _ in range(self.size)]
        self.issuer = PermitIssuer(-10)
        self.incarnations = 0
        self.mailbox: list[tuple[int, list[CrashNews]]] = []
        self.undetected: list[tuple[CrashLedger, UpstreamEnd]] = []

    def play(self, ticks: int, arrivals: int) -> None:
        """Play ticks, in each of which the request comes to some VMs."""
        for tick in range(ticks):
            for _ in range(arrivals):
                self.now += _TICK_S / (arrivals + 1)
                self.arrive(self.rng.randrange(self.size))
            self.now = (tick + 1) * _TICK_S
            self.gossip(is_heartbeat=tick % _TICKS_PER_HEARTBEAT == 0)

    def arrive(self, vm: int) -> None:
        """Let one VM handle the request as its forwarder does."""
        self.detect()
        ledger = self.ledgers[vm]
        standing = ledger.standing(_KILLER, self.now)
        if standing is Standing.quarantined:
            self.statuses['quarantined'] += 1
            return
        if standing is Standing.suspect:
            if vm in self.cut or not self.ask_for_permit():
                self.statuses['no-permit'] += 1
                return
            self.run(ledger)
            return
        self.run(ledger)
        if ledger.may_retry(_KILLER, self.now):
            self.run(ledger)

    def ask_for_permit(self) -> bool:
        """Return whether the coordinator permits a trial now."""
        if not self.has_coordinator:
            return False
        target = LimitedUpstream(f'request/{_KILLER}', 0, _TRIALS_PER_S, 0)
        request = PermitRequest(1, [[target]], 1, 0)
        return bool(self.issuer.issue(request, self.now).permits)

    def run(self, ledger: CrashLedger) -> None:
        """Run the request on an upstream, which ends."""
        sent_at = self.now
        self.sends.append(sent_at)
        self.now += _RUN_TIME_S
        self.incarnations += 1
        self.ends.append(self.now)
        end = UpstreamEnd(
            (f'i-{self.incarnations}', 1),
            sent_at,
            self.now,
            is_proven=self.is_proven,
        )
        self.undetected.append((ledger, end))
        self.detect()

    def detect(self) -> None:
        """Record the ends that are known by now."""
        remaining = []
        for ledger, end in self.undetected:
            if self.now < end.ended_at + self.detection_s:
                remaining.append((ledger, end))
                continue
            ledger.record_end(_KILLER, replace(end), self.now)
            ledger.record_end(_POPULAR, replace(end), self.now)
        self.undetected = remaining

    def gossip(self, *, is_heartbeat: bool) -> None:
        """Deliver the messages of the last tick, and send new ones."""
        self.detect()
        mailbox, self.mailbox = self.mailbox, []
        for vm, news in mailbox:
            if vm not in self.cut:
                self.ledgers[vm].merge(news, self.now)
        for vm, ledger in enumerate(self.ledgers):
            if vm in self.cut:
                continue
            if not is_heartbeat and not ledger.has_changed(self.now):
                continue
            news = ledger.news(_NEWS_SIZE, self.now)
            if not news:
                continue
            for peer in self.rng.sample(
                range(self.size), min(_FANOUT, self.size)
            ):
                if self.rng.random() >= self.loss:
                    self.mailbox.append((peer, news))

    def settled_sends(self) -> int:
        """Return the sends that the rule counts."""
        if len(self.ends) < 3:
            return 0
        since = self.ends[2] + _SETTLED_S
        return sum(sent_at > since for sent_at in self.sends)


class CrashingFleetTest(TestCase):
    """The sum of all VMs' sends is bounded, whatever each VM has seen."""

    # Guards against a bound that grows with the number of VMs.
    def test_sum_of_all_vms(self) -> None:
        """Fleets of all sizes stop sending, with messages lost."""
        for size, ticks, arrivals in (
            (6, 150, 3),
            (67, 100, 5),
            (195, 100, 5),
            (3100, 30, 10),
        ):
            model = FleetModel(size, Random(size))
            model.play(ticks, arrivals)
            self.assertLessEqual(
                model.settled_sends(), _MAX_SETTLED_SENDS, size
            )
            self.assertGreater(model.statuses['quarantined'], 0, size)

    # Guards against a bound that only holds if the end of each upstream is
    # proven at once.
    def test_sum_with_presumed_ends(self) -> None:
        """Fleets stop sending as well if ends are presumed, and known late."""
        for size, ticks, arrivals in (
            (6, 300, 3),
            (67, 200, 3),
            (195, 100, 3),
            (3100, 40, 5),
        ):
            for detection_s in (0.25, 1.5):
                model = FleetModel(
                    size,
                    Random(size),
                    is_proven=False,
                    detection_s=detection_s,
                )
                model.play(ticks, arrivals)
                self.assertLessEqual(
                    model.settled_sends(),
                    _MAX_SETTLED_SENDS,
                    (size, detection_s),
                )
                self.assertGreater(model.statuses['quarantined'], 0, size)

    # Guards against trials without end of a request whose first quarantine,
    # which rests on presumed ends, is short.
    def test_trials_after_a_quarantine(self) -> None:
        """What ends upstreams again is quarantined for longer."""
        for seed in range(5):
            model = FleetModel(
                6, Random(seed), is_proven=False, detection_s=0.25
            )
            model.play(1500, 1)
            self.assertLessEqual(
                model.settled_sends(), _MAX_SETTLED_SENDS, seed
            )

    # Guards against VMs that were restarted, and know nothing, sending again.
    def test_restarted_vms(self) -> None:
        """VMs that lose what they know learn it before most arrivals."""
        for seed in range(20):
            model = FleetModel(12, Random(seed))
            model.play(30, 3)
            for vm in range(model.size // 2):
                model.ledgers[vm] = CrashLedger()
                answer = model.ledgers[-1].news(_NEWS_SIZE, model.now)
                model.ledgers[vm].merge(answer, model.now)
            model.play(60, 3)
            self.assertLessEqual(
                model.settled_sends(), _MAX_SETTLED_SENDS, seed
            )

    # Guards against a suspect that runs without limit while nobody permits it.
    def test_no_coordinator(self) -> None:
        """Without a coordinator no suspect is tried."""
        model = FleetModel(195, Random(1), has_coordinator=False)
        model.play(100, 5)
        self.assertLessEqual(model.settled_sends(), 0)

    # Guards against VMs out of reach of all others going on without limit.
    def test_cut_off_vms(self) -> None:
        """Each VM that hears nothing sends no more than its own first try."""
        for seed in range(10):
            cut = set(range(3))
            model = FleetModel(12, Random(seed), cut=cut)
            model.play(100, 3)
            self.assertLessEqual(
                model.settled_sends(), _MAX_SETTLED_SENDS, seed
            )
            self.assertLessEqual(len(model.sends), 2 * len(cut) + 12, seed)

    # Guards against a quarantine of what is in flight at the same upstreams.
    def test_popular_request_beside_it(self) -> None:
        """A request that is served elsewhere is never quarantined."""
        for seed in range(10):
            model = FleetModel(12, Random(seed))
            for ledger in model.ledgers[::2]:
                ledger.record_success(_POPULAR, ALL_SERVICES, 0)
            model.play(40, 3)
            for ledger in model.ledgers:
                self.assertIsNot(
                    Standing.quarantined, ledger.standing(_POPULAR, model.now)
                )
