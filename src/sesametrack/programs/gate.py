"""The gate daemon: the only process that sends requests to its upstreams."""

from asyncio import Task, create_task, sleep
from functools import singledispatchmethod
from logging import getLogger
from time import monotonic

from sesametrack.configuration.parts import Configuration
from sesametrack.contracts.inventory import Inventory, Upstream
from sesametrack.contracts.members import (
    Member,
    MemberState,
    QuarantineNotice,
    Role,
)
from sesametrack.contracts.messages import (
    Cancel,
    ConnectionLossReport,
    Handover,
    HandoverRequest,
    PeerMessage,
    SubQuery,
    SubQueryReply,
    SubQueryState,
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

_TICK_INTERVAL: Seconds = 0.02
_LOAD_POLL_INTERVAL: Seconds = 1
_NOTICE_INTERVAL: Seconds = 1
_HANDOVER_TIMEOUT: Seconds = 1
# A gate that no longer owns an upstream serves it for this long, or until the
# new owner requests the handover.
_RELEASE_DELAY: Seconds = 1.5
# An upstream that was handed over is not taken over again within this time.
_RETAKE_DELAY: Seconds = 2
# A gate of another failure domain sends requests to an upstream only after it
# has been responsive for this long. When a partition heals, this lets a gate
# of the upstream's own failure domain take over first.
_REMOTE_TAKEOVER_DELAY: Seconds = 2
_TICKS_PER_IDLE_CHECK = 25
_MAX_NOTICES = 8
_MS_PER_SECOND = 1000
_log = getLogger('gate')


class Gate:
    """Runs the policy of each upstream that the placement assigns to it."""

    def __init__(self, settings: Settings) -> None:
        """Create the parts; `start` opens the sockets."""
        self._settings = settings
        self._is_adaptive = settings.policy == 'full'
        self._node = Node(settings, Role.gate, settings.gate.ports)
        self._hub = PeerHub(
            self._node.local_member,
            self._receive,
            self._handle_link_change,
            self._count_unsent,
            self._handle_new_session,
            GATE_HEARTBEAT_INTERVAL,
        )
        self._quarantine = Quarantine()
        self._reference_times = ReferenceServiceTimes()
        self._inventory: Inventory | None = None
        self._placement: Placement | None = None
        self._domains_out: frozenset[str] = frozenset()
        self._runner_by_id: dict[UpstreamId, PolicyRunner] = {}
        self._previous_placement: Placement | None = None
        # Previous owners that have not sent a handover yet.
        self._previous_owner_by_upstream: dict[UpstreamId, MemberId] = {}
        self._unowned_since_by_id: dict[UpstreamId, Instant] = {}
        self._handed_over_at_by_id: dict[UpstreamId, Instant] = {}
        self._tasks: list[Task] = []

    async def start(self) -> None:
        """Open the sockets and serve."""
        await self._hub.start()
        await self._node.start(
            NodeHandlers(
                self._update_placement,
                self._apply_configuration,
                self._set_leaving,
                self._merge_notices,
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
        for runner in self._runner_by_id.values():
            runner.close()
        await self._hub.close()
        await self._node.close()

    def _count_in_flight(self) -> int:
        # From the first call on, sub-queries for upstreams that no other gate
        # has taken over are refused. This is meant to begin only after the
        # unready delay.
        for runner in self._runner_by_id.values():
            if not runner.policy.health.is_gate_stopping:
                runner.step(GateStopping())
        return sum(
            runner.policy.in_flight + runner.policy.queue_length
            for runner in self._runner_by_id.values()
        )

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._inventory = configuration.inventory
        out = frozenset(configuration.rules.failure_domains_out)
        for runner in self._runner_by_id.values():
            domain = runner.policy.upstream.failure_domain
            is_out = domain in out
            if is_out != runner.policy.health.is_failure_domain_out:
                runner.step(FailureDomainChanged(is_out))
        self._domains_out = out
        self._update_placement()

    def _update_placement(self) -> None:
        if self._inventory is None:
            return
        members = self._node.members()
        self._previous_placement = self._placement or self._previous_placement
        self._placement = Placement(self._inventory, members, self._placement)
        self._connect_domain_gates(members)
        self._reconcile()

    def _reconcile(self) -> None:
        """Take over newly owned upstreams and mark those no longer owned.

        Runs after each change and periodically. The periodic run takes back
        an upstream that was handed over to a gate which then failed.
        """
        if self._placement is None:
            return
        now = monotonic()
        owned = self._placement.owned_by(self._node.local_member.id)
        for upstream_id in sorted(owned):
            self._ensure_runner(
                self._inventory.upstream_by_id[upstream_id], now
            )
        for upstream_id in self._runner_by_id:
            if upstream_id not in owned:
                self._unowned_since_by_id.setdefault(upstream_id, now)

    def _ensure_runner(self, upstream: Upstream, now: Instant) -> None:
        handed_over_at = self._handed_over_at_by_id.get(upstream.id)
        if handed_over_at is not None:
            if now - handed_over_at < _RETAKE_DELAY:
                return
            self._handed_over_at_by_id.pop(upstream.id)
        runner = self._runner_by_id.get(upstream.id)
        is_stopping = runner and runner.policy.health.is_gate_stopping
        if runner and runner.policy.upstream == upstream and not is_stopping:
            self._unowned_since_by_id.pop(upstream.id, None)
            return
        if not self._node.lifecycle.is_draining:
            self._unowned_since_by_id.pop(upstream.id, None)
            self._take_over(upstream)

    def _connect_domain_gates(self, members: list[Member]) -> None:
        for member in members:
            is_same_domain = (
                member.failure_domain == self._node.local_member.failure_domain
            )
            is_other = member.id != self._node.local_member.id
            if member.role is Role.gate and is_same_domain and is_other:
                self._hub.connect(member.id, member.peer)
        self._hub.close_unknown_links(self._node.membership.states())

    def _take_over(self, upstream: Upstream) -> None:
        self._release(upstream.id)
        now = monotonic()
        owner = (
            self._previous_placement.gate_of(upstream.id)
            if self._previous_placement
            else None
        )
        states = self._node.membership.states()
        has_previous_owner = (
            owner is not None
            and owner.id != self._node.local_member.id
            and states.get(owner.id) is not MemberState.dead
        )
        is_same_domain = (
            upstream.failure_domain == self._node.local_member.failure_domain
        )
        handover_deadline = now + _HANDOVER_TIMEOUT if has_previous_owner else 0
        runner = PolicyRunner(
            upstream,
            self._quarantine,
            self._node,
            self._hub,
            is_adaptive=self._is_adaptive,
            handover_deadline=handover_deadline,
            reference_times=self._reference_times,
            takeover_delay=0 if is_same_domain else _REMOTE_TAKEOVER_DELAY,
        )
        self._runner_by_id[upstream.id] = runner
        runner.start()
        if upstream.failure_domain in self._domains_out:
            runner.step(FailureDomainChanged(is_out=True))
        if upstream.id in self._node.synchronizer.leaving.upstreams:
            runner.step(LeavingReported(is_leaving=True))
        if has_previous_owner:
            self._hub.connect(owner.id, owner.peer)
            self._previous_owner_by_upstream[upstream.id] = owner.id
            self._request_handover(upstream.id, owner.id)
        self._node.events.record('gate', 'adopted', upstream=upstream.id)

    def _release(self, upstream_id: UpstreamId) -> None:
        self._previous_owner_by_upstream.pop(upstream_id, None)
        runner = self._runner_by_id.pop(upstream_id, None)
        if runner is not None:
            runner.step(GateStopping())
            runner.close()
            self._node.events.record('gate', 'dropped', upstream=upstream_id)

    def _set_leaving(self, leaving: frozenset[UpstreamId]) -> None:
        for runner in self._runner_by_id.values():
            is_leaving = runner.policy.upstream.id in leaving
            runner.step(LeavingReported(is_leaving))

    def _merge_notices(self, notices: list[QuarantineNotice]) -> None:
        now = monotonic()
        changes = [
            self._quarantine.merge_notice(notice, now) for notice in notices
        ]
        if any(changes):
            self._publish_notices(is_urgent=True)

    def _publish_notices(self, *, is_urgent: bool) -> None:
        notices = self._quarantine.notices(monotonic(), _MAX_NOTICES)
        self._node.publish_notices(notices, is_urgent=is_urgent)

    def _handle_link_change(self, peer: MemberId) -> None:
        if not self._hub.is_up(peer):
            self._node.report_lost_link(peer)
            return
        now = monotonic()
        views = [
            runner.policy.view(now, with_holdings=True)
            for runner in self._runner_by_id.values()
        ]
        self._hub.send(peer, ViewReport(views))
        for upstream_id, owner in list(
            self._previous_owner_by_upstream.items()
        ):
            if owner == peer:
                self._request_handover(upstream_id, owner)

    def _handle_new_session(self, peer: MemberId) -> None:
        # The peer may have started the session because replies no longer
        # reach it. Gates do not reconnect to each other here, since each new
        # session would make the other gate start one in turn.
        if not peer.endswith(f'/{Role.gate.value}'):
            self._hub.reconnect(peer)

    def _request_handover(
        self, upstream_id: UpstreamId, owner: MemberId
    ) -> None:
        self._hub.send(
            owner,
            HandoverRequest(
                upstream_id,
                self._node.local_member.id,
                self._node.local_member.peer,
            ),
        )

    def _count_unsent(self, peer: MemberId, messages: list) -> None:
        self._node.metrics.count('gate.replies_unsent', len(messages))

    def _receive(self, sender: MemberId, message: PeerMessage) -> None:
        self._handle(message, sender)

    @singledispatchmethod
    def _handle(self, message: PeerMessage, sender: MemberId) -> None:
        """Ignore messages that only entries handle, such as view reports."""

    @_handle.register
    def _handle_connection_loss(
        self, message: ConnectionLossReport, sender: MemberId
    ) -> None:
        self._quarantine.record_crash(
            message.fingerprint,
            message.upstream,
            message.in_flight,
            monotonic(),
        )

    @_handle.register
    def _handle_handover(self, message: Handover, sender: MemberId) -> None:
        self._previous_owner_by_upstream.pop(message.upstream, None)
        runner = self._runner_by_id.get(message.upstream)
        if runner is not None:
            runner.step(HandoverReceived(message))

    @_handle.register
    def _handle_sub_query(self, sub_query: SubQuery, sender: MemberId) -> None:
        self._node.metrics.count('gate.sub_queries')
        runner = self._runner_by_id.get(sub_query.upstream)
        if runner is None:
            self._hub.send(sender, _make_refusal(sub_query, Reason.not_owner))
            return
        deadline = monotonic() + sub_query.remaining_ms / _MS_PER_SECOND
        runner.step(SubQueryReceived(sender, sub_query, deadline))

    @_handle.register
    def _handle_cancel(self, message: Cancel, sender: MemberId) -> None:
        runner = self._runner_by_id.get(message.upstream)
        if runner is not None:
            runner.step(SubQueryCancelled(message.id))

    @_handle.register
    def _handle_handover_request(
        self, request: HandoverRequest, sender: MemberId
    ) -> None:
        runner = self._runner_by_id.get(request.upstream)
        if runner is None:
            return
        self._hub.connect(request.member, request.reply_to)
        runner.step(GateStopping())
        self._hub.send(request.member, runner.policy.make_handover())
        now = monotonic()
        self._handed_over_at_by_id[request.upstream] = now
        self._unowned_since_by_id.setdefault(request.upstream, now)
        self._node.events.record(
            'gate', 'handed_over', upstream=request.upstream, to=sender
        )

    async def _run_ticks(self) -> None:
        ticks = 0
        while True:
            ticks += 1
            is_idle_check = ticks % _TICKS_PER_IDLE_CHECK == 0
            for runner in list(self._runner_by_id.values()):
                if is_idle_check or runner.policy.is_busy:
                    runner.tick()
            self._release_unowned(monotonic())
            await sleep(_TICK_INTERVAL)

    def _release_unowned(self, now: Instant) -> None:
        for upstream_id, since in list(self._unowned_since_by_id.items()):
            runner = self._runner_by_id.get(upstream_id)
            if runner is None:
                self._unowned_since_by_id.pop(upstream_id)
                continue
            is_expired = now - since > _RELEASE_DELAY
            if is_expired and not runner.policy.health.is_gate_stopping:
                runner.step(GateStopping())
            is_stopping = runner.policy.health.is_gate_stopping
            if is_stopping and not runner.policy.in_flight:
                self._unowned_since_by_id.pop(upstream_id)
                self._release(upstream_id)

    async def _run_polls(self) -> None:
        elapsed = 0.0
        while True:
            for runner in list(self._runner_by_id.values()):
                runner.poll()
            await sleep(_LOAD_POLL_INTERVAL)
            elapsed += _LOAD_POLL_INTERVAL
            if elapsed >= _NOTICE_INTERVAL:
                elapsed = 0
                self._reconcile()
                self._publish_notices(is_urgent=False)

    def _describe(self) -> object:
        now = monotonic()
        return {
            'upstreams': {
                runner.policy.upstream.id: runner.policy.describe(now)
                for runner in self._runner_by_id.values()
            },
            'links': self._hub.connected_peers(),
        }


def _make_refusal(sub_query: SubQuery, reason: Reason) -> SubQueryReply:
    return SubQueryReply(
        sub_query.id,
        SubQueryState.not_run,
        reason,
        None,
        b'null',
        0,
        0,
        None,
    )


def run() -> None:
    """Run the gate daemon until its shutdown."""
    run_daemon(Gate)
