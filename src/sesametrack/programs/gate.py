"""The gate daemon: the one process that talks to its upstreams."""

from asyncio import Task, create_task, sleep
from functools import singledispatchmethod
from logging import getLogger
from time import monotonic

from sesametrack.configuration.parts import Configuration
from sesametrack.contracts.inventory import Inventory, Upstream
from sesametrack.contracts.members import Member, MemberState, Notice, Role
from sesametrack.contracts.messages import (
    Cancel,
    Handover,
    HandoverRequest,
    PeerMessage,
    SubQuery,
    SubReply,
    SubState,
    Suspicion,
    ViewReport,
)
from sesametrack.contracts.outcomes import Reason
from sesametrack.contracts.settings import Settings
from sesametrack.contracts.types import Instant, MemberId, Seconds, UpstreamId
from sesametrack.failure_domains.placement import Placement
from sesametrack.links.peer_hub import PeerHub
from sesametrack.links.peers import GATE_HEARTBEAT_INTERVAL
from sesametrack.programs.launch import run_daemon
from sesametrack.programs.node import Node, NodeHandlers
from sesametrack.programs.policy_runner import PolicyRunner
from sesametrack.upstreams.events import (
    FailureDomainChanged,
    GateStopping,
    HandoverReceived,
    LeavingReported,
    SubQueryCancelled,
    SubQueryReceived,
)
from sesametrack.upstreams.latency import ReferenceServiceTimes
from sesametrack.upstreams.quarantine import Quarantine

_TICK: Seconds = 0.02
_LOAD_INTERVAL: Seconds = 1
_NOTICE_INTERVAL: Seconds = 1
_HANDOVER_TIME: Seconds = 1
# A gate that lost an upstream serves it for this long unless the new gate
# asks for it before.
_KEEP_AFTER_LOSS: Seconds = 1.5
# An upstream that was handed over is not taken back within this time.
_HANDED_OVER_TIME: Seconds = 2
# A gate of another failure domain uses an upstream only after it has been in
# reach for this long: when a partition heals, its own gate is there first.
_CARETAKER_TIME: Seconds = 2
_IDLE_TICKS = 25
_MAX_NOTICES = 8
_MS = 1000
_log = getLogger('gate')


class Gate:
    """Owns keepers for the upstreams that placement gives to it."""

    def __init__(self, settings: Settings) -> None:
        """Bind the settings; `start` opens the sockets."""
        self._settings = settings
        self._is_learned = settings.policy == 'full'
        self._node = Node(settings, Role.gate, settings.gate.ports)
        self._hub = PeerHub(
            self._node.local_member,
            self._take,
            self._link_changed,
            self._drop_unsent,
            self._begin_session,
            GATE_HEARTBEAT_INTERVAL,
        )
        self._quarantine = Quarantine()
        self._references = ReferenceServiceTimes()
        self._inventory: Inventory | None = None
        self._placement: Placement | None = None
        self._domains_out: frozenset[str] = frozenset()
        self._keeper_by_id: dict[UpstreamId, PolicyRunner] = {}
        self._former: Placement | None = None
        # Former owners that have not answered a handover request yet.
        self._former_by_upstream: dict[UpstreamId, MemberId] = {}
        self._lost_since_by_id: dict[UpstreamId, Instant] = {}
        self._handed_over_by_id: dict[UpstreamId, Instant] = {}
        self._tasks: list[Task] = []

    async def start(self) -> None:
        """Open the sockets and serve."""
        await self._hub.start()
        await self._node.start(
            NodeHandlers(
                self._place,
                self._configure,
                self._set_leaving,
                self._take_notices,
                lambda: True,
                self._describe,
            )
        )
        self._tasks = [
            create_task(self._run_ticks()),
            create_task(self._run_polls()),
        ]
        self._node.install_signal_handlers()

    async def serve(self) -> None:
        """Serve until a graceful shutdown has finished."""
        await self._node.wait_for_shutdown(self._count_in_flight)

    async def close(self) -> None:
        """Close all links."""
        for task in self._tasks:
            task.cancel()
        for keeper in self._keeper_by_id.values():
            keeper.close()
        await self._hub.close()
        await self._node.close()

    def _count_in_flight(self) -> int:
        # The unready delay is over when this is first asked, so that what
        # no other gate has taken over is refused from now on.
        for keeper in self._keeper_by_id.values():
            if not keeper.policy.health.is_gate_stopping:
                keeper.step(GateStopping())
        return sum(
            keeper.policy.in_flight + keeper.policy.queue_length
            for keeper in self._keeper_by_id.values()
        )

    def _configure(self, configuration: Configuration) -> None:
        self._inventory = configuration.inventory
        out = frozenset(configuration.rules.failure_domains_out)
        for keeper in self._keeper_by_id.values():
            domain = keeper.policy.upstream.failure_domain
            is_out = domain in out
            if is_out != keeper.policy.health.is_failure_domain_out:
                keeper.step(FailureDomainChanged(is_out))
        self._domains_out = out
        self._place()

    def _place(self) -> None:
        if self._inventory is None:
            return
        members = self._node.members()
        self._former = self._placement or self._former
        self._placement = Placement(self._inventory, members, self._placement)
        self._connect_near_gates(members)
        self._reconcile()

    def _reconcile(self) -> None:
        """Adopt what placement gives to this gate, and note what it lost.

        Runs after each change and from time to time, so that an upstream
        that was handed over to a gate which then vanished comes back.
        """
        if self._placement is None:
            return
        now = monotonic()
        owned = self._placement.owned_by(self._node.local_member.id)
        for upstream_id in sorted(owned):
            self._keep(self._inventory.upstream_by_id[upstream_id], now)
        for kept in self._keeper_by_id:
            if kept not in owned:
                self._lost_since_by_id.setdefault(kept, now)

    def _keep(self, upstream: Upstream, now: Instant) -> None:
        handed_over_at = self._handed_over_by_id.get(upstream.id)
        if handed_over_at is not None:
            if now - handed_over_at < _HANDED_OVER_TIME:
                return
            self._handed_over_by_id.pop(upstream.id)
        keeper = self._keeper_by_id.get(upstream.id)
        is_stopping = keeper and keeper.policy.health.is_gate_stopping
        if keeper and keeper.policy.upstream == upstream and not is_stopping:
            self._lost_since_by_id.pop(upstream.id, None)
            return
        if not self._node.lifecycle.is_draining:
            self._lost_since_by_id.pop(upstream.id, None)
            self._adopt(upstream)

    def _connect_near_gates(self, members: list[Member]) -> None:
        for member in members:
            is_near = (
                member.failure_domain == self._node.local_member.failure_domain
            )
            is_other = member.id != self._node.local_member.id
            if member.role is Role.gate and is_near and is_other:
                self._hub.connect(member.id, member.peer)
        self._hub.close_unknown_links(self._node.membership.states())

    def _adopt(self, upstream: Upstream) -> None:
        self._drop(upstream.id)
        now = monotonic()
        owner = self._former.gate_of(upstream.id) if self._former else None
        states = self._node.membership.states()
        is_elsewhere = (
            owner is not None
            and owner.id != self._node.local_member.id
            and states.get(owner.id) is not MemberState.dead
        )
        is_near = (
            upstream.failure_domain == self._node.local_member.failure_domain
        )
        handover_due = now + _HANDOVER_TIME if is_elsewhere else 0
        keeper = PolicyRunner(
            upstream,
            self._quarantine,
            self._node,
            self._hub,
            is_learned=self._is_learned,
            handover_due=handover_due,
            references=self._references,
            settle_time=0 if is_near else _CARETAKER_TIME,
        )
        self._keeper_by_id[upstream.id] = keeper
        keeper.start()
        if upstream.failure_domain in self._domains_out:
            keeper.step(FailureDomainChanged(is_out=True))
        if upstream.id in self._node.synchronizer.leaving.upstreams:
            keeper.step(LeavingReported(is_leaving=True))
        if is_elsewhere:
            self._hub.connect(owner.id, owner.peer)
            self._former_by_upstream[upstream.id] = owner.id
            self._ask_handover(upstream.id, owner.id)
        self._node.events.record('gate', 'adopted', upstream=upstream.id)

    def _drop(self, upstream_id: UpstreamId) -> None:
        self._former_by_upstream.pop(upstream_id, None)
        keeper = self._keeper_by_id.pop(upstream_id, None)
        if keeper is not None:
            keeper.step(GateStopping())
            keeper.close()
            self._node.events.record('gate', 'dropped', upstream=upstream_id)

    def _set_leaving(self, leaving: frozenset[UpstreamId]) -> None:
        for keeper in self._keeper_by_id.values():
            is_leaving = keeper.policy.upstream.id in leaving
            keeper.step(LeavingReported(is_leaving))

    def _take_notices(self, notices: list[Notice]) -> None:
        now = monotonic()
        is_news = [self._quarantine.merge_notice(seen, now) for seen in notices]
        if any(is_news):
            self._tell_notices(is_urgent=True)

    def _tell_notices(self, *, is_urgent: bool) -> None:
        notices = self._quarantine.notices(monotonic(), _MAX_NOTICES)
        self._node.publish_notices(notices, is_urgent=is_urgent)

    def _link_changed(self, peer: MemberId) -> None:
        if not self._hub.is_up(peer):
            self._node.report_lost_link(peer)
            return
        now = monotonic()
        views = [
            keeper.policy.view(now, with_holdings=True)
            for keeper in self._keeper_by_id.values()
        ]
        self._hub.send(peer, ViewReport(views))
        for upstream_id, owner in list(self._former_by_upstream.items()):
            if owner == peer:
                self._ask_handover(upstream_id, owner)

    def _begin_session(self, peer: MemberId) -> None:
        # The peer may have begun it because replies no longer reach it.
        # Gates do not answer each other's sessions, or it would never end.
        if not peer.endswith(f'/{Role.gate.value}'):
            self._hub.reconnect(peer)

    def _ask_handover(self, upstream_id: UpstreamId, owner: MemberId) -> None:
        self._hub.send(
            owner,
            HandoverRequest(
                upstream_id,
                self._node.local_member.id,
                self._node.local_member.peer,
            ),
        )

    def _drop_unsent(self, peer: MemberId, messages: list) -> None:
        self._node.metrics.count('gate.replies_unsent', len(messages))

    def _take(self, sender: MemberId, message: PeerMessage) -> None:
        self._act(message, sender)

    @singledispatchmethod
    def _act(self, message: PeerMessage, sender: MemberId) -> None:
        """Ignore what is meant for entries, such as view reports."""

    @_act.register
    def _take_suspicion(self, message: Suspicion, sender: MemberId) -> None:
        self._quarantine.record_crash(
            message.fingerprint,
            message.upstream,
            message.in_flight,
            monotonic(),
        )

    @_act.register
    def _take_handover(self, message: Handover, sender: MemberId) -> None:
        self._former_by_upstream.pop(message.upstream, None)
        keeper = self._keeper_by_id.get(message.upstream)
        if keeper is not None:
            keeper.step(HandoverReceived(message))

    @_act.register
    def _offer(self, sub_query: SubQuery, sender: MemberId) -> None:
        self._node.metrics.count('gate.sub_queries')
        keeper = self._keeper_by_id.get(sub_query.upstream)
        if keeper is None:
            self._hub.send(sender, _refuse(sub_query, Reason.not_owner))
            return
        deadline = monotonic() + sub_query.remaining_ms / _MS
        keeper.step(SubQueryReceived(sender, sub_query, deadline))

    @_act.register
    def _cancel(self, message: Cancel, sender: MemberId) -> None:
        keeper = self._keeper_by_id.get(message.upstream)
        if keeper is not None:
            keeper.step(SubQueryCancelled(message.id))

    @_act.register
    def _hand_over(self, request: HandoverRequest, sender: MemberId) -> None:
        keeper = self._keeper_by_id.get(request.upstream)
        if keeper is None:
            return
        self._hub.connect(request.member, request.reply_to)
        keeper.step(GateStopping())
        self._hub.send(request.member, keeper.policy.make_handover())
        now = monotonic()
        self._handed_over_by_id[request.upstream] = now
        self._lost_since_by_id.setdefault(request.upstream, now)
        self._node.events.record(
            'gate', 'handed_over', upstream=request.upstream, to=sender
        )

    async def _run_ticks(self) -> None:
        ticks = 0
        while True:
            ticks += 1
            is_idle_turn = ticks % _IDLE_TICKS == 0
            for keeper in list(self._keeper_by_id.values()):
                if is_idle_turn or keeper.policy.is_busy:
                    keeper.tick()
            self._drop_lost(monotonic())
            await sleep(_TICK)

    def _drop_lost(self, now: Instant) -> None:
        for upstream_id, since in list(self._lost_since_by_id.items()):
            keeper = self._keeper_by_id.get(upstream_id)
            if keeper is None:
                self._lost_since_by_id.pop(upstream_id)
                continue
            is_late = now - since > _KEEP_AFTER_LOSS
            if is_late and not keeper.policy.health.is_gate_stopping:
                keeper.step(GateStopping())
            is_stopping = keeper.policy.health.is_gate_stopping
            if is_stopping and not keeper.policy.in_flight:
                self._lost_since_by_id.pop(upstream_id)
                self._drop(upstream_id)

    async def _run_polls(self) -> None:
        elapsed = 0.0
        while True:
            for keeper in list(self._keeper_by_id.values()):
                keeper.poll()
            await sleep(_LOAD_INTERVAL)
            elapsed += _LOAD_INTERVAL
            if elapsed >= _NOTICE_INTERVAL:
                elapsed = 0
                self._reconcile()
                self._tell_notices(is_urgent=False)

    def _describe(self) -> object:
        now = monotonic()
        return {
            'upstreams': {
                keeper.policy.upstream.id: keeper.policy.describe(now)
                for keeper in self._keeper_by_id.values()
            },
            'links': self._hub.connected_peers(),
        }


def _refuse(sub_query: SubQuery, reason: Reason) -> SubReply:
    return SubReply(
        sub_query.id,
        SubState.not_run,
        reason,
        None,
        b'null',
        0,
        0,
        None,
    )


def run() -> None:
    """Run the program."""
    run_daemon(Gate)
