"""Exchanges hints about slow, failing or unreachable upstreams between VMs."""

from asyncio import AbstractEventLoop, TimerHandle
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from logging import getLogger
from random import Random

from sesametrack.contracts.types import (
    Address,
    FailureDomainId,
    Instant,
    Seconds,
    VmId,
)
from sesametrack.links.datagrams import DatagramEndpoint
from sesametrack.programs.crash_watch import CrashWatch
from sesametrack.programs.domain_crossings import DomainCrossings
from sesametrack.routing.crash_records import CrashNews
from sesametrack.routing.directory import Upstream, UpstreamDirectory
from sesametrack.routing.hint_recipients import (
    MAX_RECIPIENTS,
    choose_recipients,
)
from sesametrack.routing.hints import (
    Hint,
    HintMessage,
    PeerReachability,
    apply_hints,
    collect_hints,
)
from sesametrack.telemetry.metrics import Metrics
from sesametrack.telemetry.structured_log import log_event
from sesametrack.vms.repeats import RepeatBound, Repeated, grown_wait

# An upstream stays slow for seconds, and a hint is useful only if it arrives
# well before most VMs have detected the slowness themselves. Hints that say
# the same for longer are told less often.
_HINT_INTERVAL: Seconds = Repeated.hint.value.first
_NEW_HINT_TIME: Seconds = 1
# What is hinted at again after a longer pause is new.
_TOPIC_MEMORY: Seconds = 3
# Interval of messages without hints, which report that this VM can serve.
_HEARTBEAT_INTERVAL: Seconds = 1
# Maximum number of routes in one datagram.
_MAX_ROUTES = 24
# Keeps a datagram below the usual MTU at about 250 bytes per request with three
# ends; with six ends each, at about 415 bytes, it is fragmented.
_MAX_CRASHES = 4
# Interval at which they are told while nothing changes.
_CRASHES_INTERVAL: Seconds = 5
# For this long after its start a VM asks others for what they know, since they
# may not know of it yet.
_STARTING_TIME: Seconds = 5

_log = getLogger('hints')


@dataclass(frozen=True, slots=True)
class SharedKnowledge:
    """What this VM tells others of, and adds to what they tell."""

    directory: UpstreamDirectory
    on_limit: Callable[[Upstream, float | None], None]
    crash_watch: CrashWatch
    reachability: PeerReachability
    crossings: DomainCrossings


class HintExchange:
    """Owns the datagram link between the VMs."""

    def __init__(
        self,
        vm: VmId,
        domain: FailureDomainId,
        address: Address,
        shared: SharedKnowledge,
        metrics: Metrics,
        loop: AbstractEventLoop,
        now: Callable[[], Instant],
        rng: Random,
    ) -> None:
        """Start without peers; `start` opens the socket."""
        self.peers: list[Address] = []
        # Those of them in other failure domains.
        self.remote_peers: frozenset[Address] = frozenset()
        self.peer_reachability = shared.reachability
        # What this VM announces about itself.
        self.is_ready = False
        self.unservable_routes: list[str] = []
        self._last_sent_at: Instant = float('-inf')
        self._next_hints_at: Instant = float('-inf')
        self._repeated_hints = 0
        # When what is hinted at was first told, and when last.
        self._times_by_topic: dict[str, tuple[Instant, Instant]] = {}
        self._new_hints = RepeatBound(Repeated.news.value, 1)
        self._news = RepeatBound(Repeated.news.value, 1)
        self._crashes_told_at: Instant = float('-inf')
        self._vm = vm
        self._domain = domain
        self._directory = shared.directory
        self._on_limit = shared.on_limit
        self._crash_watch = shared.crash_watch
        self._ledger = shared.crash_watch.ledger
        self._answers = RepeatBound(Repeated.answer.value, 1)
        self._crossings = shared.crossings
        self._started_at = now()
        self._metrics = metrics
        self._loop = loop
        self._now = now
        self._rng = rng
        self._link = DatagramEndpoint(
            address, self._on_message, HintMessage, metrics.traffic, 'hint'
        )
        self._timer: TimerHandle | None = None

    async def start(self) -> None:
        """Open the socket; raises OSError if the address is in use."""
        await self._link.start()
        self._tick()

    async def close(self) -> None:
        """Close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        await self._link.close()

    def _tick(self) -> None:
        now = self._now()
        hints = collect_hints(self._directory, now)
        is_heartbeat_due = now >= self._last_sent_at + _HEARTBEAT_INTERVAL
        if self.peers:
            self._tell_crashes(now)
        are_hints_due = self._are_hints_due(hints, now)
        if self.peers and (is_heartbeat_due or are_hints_due):
            self._last_sent_at = now
            self._send_to_peers(
                self._make_message(hints, now),
                choose_recipients(self.peers, self.remote_peers, self._rng),
            )
        self._timer = self._loop.call_later(_HINT_INTERVAL, self._tick)

    def _are_hints_due(self, hints: list[Hint], now: Instant) -> bool:
        """Return whether to tell hints: soon if any of them is new."""
        topics = {hint.upstream for hint in hints}
        topics.update(self.unservable_routes)
        if not topics:
            return False
        known = {
            topic: times
            for topic, times in self._times_by_topic.items()
            if now < times[1] + _TOPIC_MEMORY
        }
        known.update(
            (topic, (known.get(topic, (now, now))[0], now)) for topic in topics
        )
        self._times_by_topic = known
        newest = max(known[topic][0] for topic in topics)
        if now < newest + _NEW_HINT_TIME and self._new_hints.take(now):
            self._repeated_hints = 0
            return True
        if now < self._next_hints_at:
            return False
        self._repeated_hints += 1
        self._next_hints_at = now + grown_wait(
            Repeated.hint.value, self._repeated_hints, self._rng
        )
        return True

    def _tell_crashes(self, now: Instant) -> None:
        """Send what the ledger has, often while it changes."""
        is_due = now >= self._crashes_told_at + _CRASHES_INTERVAL
        if not is_due:
            has_changed = self._ledger.has_changed(now)
            is_due = has_changed and self._news.take(now)
        if not is_due:
            return
        self._crashes_told_at = now
        crashes = self._ledger.news(_MAX_CRASHES, now)
        if crashes:
            # Requests that end upstreams come to any failure domain.
            count = min(len(self.peers), MAX_RECIPIENTS)
            self._send_to_peers(
                self._make_message([], now, crashes),
                self._rng.sample(self.peers, count),
                'crash-news',
            )

    def _make_message(
        self,
        hints: list[Hint],
        now: Instant,
        crashes: Sequence[CrashNews] = (),
        *,
        is_answer: bool = False,
    ) -> HintMessage:
        # An answer asks for nothing: two VMs that have just started would
        # answer each other for as long as they count as starting.
        is_starting = now < self._started_at + _STARTING_TIME
        return HintMessage(
            self._vm,
            self._domain,
            hints,
            # If its unservable routes don't fit, the VM reports that it is
            # not ready, so that peers assume it serves no route.
            self.is_ready and len(self.unservable_routes) <= _MAX_ROUTES,
            self.unservable_routes[:_MAX_ROUTES],
            list(crashes),
            is_starting and not is_answer,
        )

    def _send_to_peers(
        self,
        message: HintMessage,
        recipients: list[Address],
        kind: str = 'hint',
    ) -> None:
        for peer in recipients:
            self._link.send(peer, message, kind)
        self._metrics.count('hints.sent', len(recipients))
        remote = len(self.remote_peers.intersection(recipients))
        if remote:
            self._crossings.record_remote('hint', remote)

    def _on_message(self, message: HintMessage, address: Address) -> None:
        now = self._now()
        self.peer_reachability.observe(message, now)
        upstream_ids = apply_hints(
            self._directory, message, self._domain, now, self._on_limit
        )
        if message.crashes:
            self._crash_watch.merge(message.crashes, message.vm, now)
        if message.is_starting:
            self._answer_starting(address, now)
        self._metrics.count('hints.taken', len(upstream_ids))
        if upstream_ids:
            log_event(
                _log, 'hints-taken', peer=message.vm, upstreams=upstream_ids
            )

    def _answer_starting(self, address: Address, now: Instant) -> None:
        """Tell a VM that has just started what it can't know yet.

        This VM may not have listed it, so it would not hear of it otherwise.
        """
        self._answers.set_vm_count(len(self.peers) + 1)
        crashes = self._ledger.news(_MAX_CRASHES, now)
        if crashes and self._answers.take(now):
            message = self._make_message([], now, crashes, is_answer=True)
            self._link.send(address, message, 'crash-answer')
