"""The entry daemon: accepts callers' requests and gathers the answers."""

from asyncio import Task, create_task, shield, sleep
from secrets import token_hex
from time import monotonic

from msgspec.json import encode

from sesametrack.callers.admission import Admission
from sesametrack.callers.budget import RatioBudget
from sesametrack.callers.context import QueryContext, ServiceState
from sesametrack.callers.events import (
    GateStalled,
    LinkLost,
    ReplyReceived,
    SendCancel,
    SendFailed,
)
from sesametrack.callers.latency import LatencyQuantile
from sesametrack.callers.query import Query
from sesametrack.callers.replicas import ReplicaTable
from sesametrack.configuration.parts import Configuration
from sesametrack.contracts.answers import Answer
from sesametrack.contracts.exceptions import RefusalError, RequestError
from sesametrack.contracts.members import QuarantineNotice, Role
from sesametrack.contracts.messages import (
    ConnectionLossReport,
    PeerMessage,
    SubQuery,
    SubQueryReply,
    ViewReport,
)
from sesametrack.contracts.outcomes import Outcome, Reason
from sesametrack.contracts.requests import QueryRequest
from sesametrack.contracts.rules import ServiceRules
from sesametrack.contracts.settings import Settings
from sesametrack.contracts.types import MemberId, Seconds, ServiceId, SubQueryId
from sesametrack.failure_domains.placement import Placement
from sesametrack.links.http_server import HttpServer
from sesametrack.links.peer_hub import PeerHub
from sesametrack.links.peers import ENTRY_HEARTBEAT_INTERVAL
from sesametrack.programs.caller_endpoint import CallerEndpoint
from sesametrack.programs.claim_store import ClaimStore
from sesametrack.programs.launch import run_daemon
from sesametrack.programs.node import Node, NodeHandlers
from sesametrack.programs.query_runner import QueryRunner
from sesametrack.upstreams.quarantine import Quarantine

_HEDGE_PERCENTILE = 97
_INITIAL_HEDGE_DELAY: Seconds = 0.05
_RETRY_AFTER: Seconds = 1
_NOTICE_INTERVAL: Seconds = 1
_STALL_CHECK_INTERVAL: Seconds = 0.05
_MAX_NOTICES = 8
_HEDGE_BURST = 20
# Losing one gate fails the sub-queries in flight at all its upstreams, and each
# of them needs a retry at the same time.
_RETRY_BURST = 100
_MS_PER_SECOND = 1000


class Entry:
    """Runs callers' queries on upstreams through the links to the gates."""

    def __init__(self, settings: Settings) -> None:
        """Create the parts of the daemon; `start` opens the sockets."""
        self._is_adaptive = settings.policy == 'full'
        self._node = Node(settings, Role.entry, settings.entry.ports)
        self._hub = PeerHub(
            self._node.local_member,
            self._on_message,
            self._on_link_change,
            self._on_unsent,
            self._on_session,
            ENTRY_HEARTBEAT_INTERVAL,
        )
        self._server = HttpServer(
            settings.address,
            settings.entry.caller_port,
            CallerEndpoint(self._node, self._handle_request).handle,
            settings.entry.limits,
        )
        self._claims = ClaimStore(self._node.platform)
        self._admission = Admission(
            settings.entry.limits.max_requests, is_adaptive=self._is_adaptive
        )
        self._context = QueryContext(
            ReplicaTable(),
            Quarantine(),
            self._node.rng,
            self._is_adaptive,
            id_prefix=f'{settings.vm}-{token_hex(6)}',
        )
        self._state_by_service: dict[ServiceId, ServiceState] = {}
        self._configuration: Configuration | None = None
        self._placement: Placement | None = None
        self._runner_by_sub_query: dict[SubQueryId, QueryRunner] = {}
        self._runners: set[QueryRunner] = set()
        self._tasks: list[Task] = []

    async def start(self) -> None:
        """Open the sockets and start the periodic tasks."""
        await self._hub.start()
        await self._node.start(
            NodeHandlers(
                self._update_placement,
                self._apply_configuration,
                lambda leaving: None,
                self._merge_notices,
                self._context.table.has_full_coverage,
                self._describe,
            )
        )
        await self._server.start()
        self._tasks = [
            create_task(self._run_notice_publishing()),
            create_task(self._run_stall_checks()),
        ]
        self._node.install_signal_handlers()

    async def serve(self) -> None:
        """Wait until a graceful shutdown may close the links."""
        await self._node.wait_for_shutdown(self._count_in_flight)

    async def close(self) -> None:
        """Cancel the periodic tasks and close all connections."""
        for task in self._tasks:
            task.cancel()
        await self._server.close()
        await self._claims.close()
        await self._hub.close()
        await self._node.close()

    def _count_in_flight(self) -> int:
        # The listener is to close only once the unready delay is over: until
        # then the load balancer may still send new requests.
        self._server.stop_listening()
        return self._server.active_request_count

    async def _handle_request(self, request: QueryRequest) -> Answer:
        rules = self._validate(request)
        now = monotonic()
        timeout = rules.deadline
        if request.deadline is not None:
            timeout = min(timeout, request.deadline)
        expected_latency = self._context.table.expected_latency(
            request.service, request.hashed_key, now
        )
        reason = self._admission.admit(
            request.service, rules.weight, expected_latency, timeout
        )
        self._node.metrics.count('entry.queries')
        if reason is not Reason.none:
            self._node.metrics.count('entry.refused')
            raise RefusalError(Outcome.not_run, reason.value, _RETRY_AFTER)
        answer: Answer | None = None
        try:
            answer = await self._run_request(request)
        finally:
            self._admission.release(request.service, answer, monotonic())
        return answer

    def _validate(self, request: QueryRequest) -> ServiceRules:
        if self._configuration is None:
            raise RefusalError(
                Outcome.not_run, 'no configuration yet', _RETRY_AFTER
            )
        table = self._context.table
        if not table.has_service(request.service):
            raise RequestError(
                'request', '$.service', 'is not known', request.service
            )
        needs_key = not request.repeatable and request.hashed_key is None
        if needs_key and table.is_sharded(request.service):
            raise RequestError(
                'request',
                '$.key',
                'is needed for a request that may not be repeated',
                None,
            )
        return self._configuration.rules.for_service(request.service)

    async def _run_request(self, request: QueryRequest) -> Answer:
        if request.repeatable:
            return await self._run_query(request)
        # Shielded, so that the outcome of the claim is recorded even if the
        # caller disconnects.
        return await shield(create_task(self._run_at_most_once(request)))

    async def _run_at_most_once(self, request: QueryRequest) -> Answer:
        if self._context.table.plan(request.service) is None:
            raise RefusalError(
                Outcome.not_run, Reason.no_replica.value, _RETRY_AFTER
            )
        stored_claim = await self._claims.claim(request)
        answer = await self._run_query(request)
        await self._claims.record_outcome(
            request, stored_claim, answer.outcome, encode(answer)
        )
        return answer

    async def _run_query(self, request: QueryRequest) -> Answer:
        service_state = self._state_by_service[request.service]
        query = Query(request, service_state, self._context, monotonic())
        runner = QueryRunner(query, self)
        self._runners.add(runner)
        events = self._node.events
        events.record('query', 'started', request.request_id)
        try:
            answer = await runner.run()
        finally:
            self._runners.discard(runner)
            for sub_query in runner.sub_queries:
                self._runner_by_sub_query.pop(sub_query, None)
        events.record(
            'query',
            'answered',
            request.request_id,
            outcome=answer.outcome.value,
            share=answer.coverage.share,
            total_ms=answer.timing.total_ms,
        )
        self._node.metrics.count(f'entry.answers.{answer.outcome.name}')
        self._node.metrics.time('entry.latency_ms', answer.timing.total_ms)
        return answer

    def send(
        self, runner: QueryRunner, gate: MemberId, sub_query: SubQuery
    ) -> None:
        """Send a sub-query to a gate; its reply goes to the runner."""
        self._runner_by_sub_query[sub_query.id] = runner
        self._node.metrics.count(f'entry.sub_queries.{sub_query.kind.name}')
        self._hub.send(gate, sub_query)

    def cancel(self, action: SendCancel) -> None:
        """Send the cancellation of a sub-query to its gate."""
        self._hub.send(action.gate, action.cancel)

    def _on_message(self, sender: MemberId, message: PeerMessage) -> None:
        if isinstance(message, SubQueryReply):
            self._handle_reply(sender, message)
        elif isinstance(message, ViewReport):
            now = monotonic()
            for view in message.views:
                self._context.table.update_view(view, sender, now)
        elif isinstance(message, ConnectionLossReport):
            self._handle_connection_loss(message)

    def _on_session(self, gate: MemberId) -> None:
        self._context.table.discard_views(gate)

    def _handle_reply(self, sender: MemberId, reply: SubQueryReply) -> None:
        if reply.view is not None:
            self._context.table.update_view(reply.view, sender, monotonic())
        runner = self._runner_by_sub_query.get(reply.id)
        if runner is None:
            self._node.metrics.count('entry.late_replies')
            return
        runner.handle_event(ReplyReceived(reply))

    def _handle_connection_loss(self, message: ConnectionLossReport) -> None:
        quarantine = self._context.quarantine
        is_quarantined = quarantine.record_crash(
            message.fingerprint,
            message.upstream,
            message.in_flight,
            monotonic(),
        )
        if is_quarantined:
            self._node.events.record(
                'quarantine', 'convicted', fingerprint=message.fingerprint
            )
            self._publish_notices(is_urgent=True)

    def _on_unsent(self, peer: MemberId, messages: list[PeerMessage]) -> None:
        for message in messages:
            if isinstance(message, SubQuery):
                runner = self._runner_by_sub_query.get(message.id)
                if runner is not None:
                    runner.handle_event(SendFailed(message.id))

    def _on_link_change(self, peer: MemberId) -> None:
        self._update_replicas()
        if not self._hub.is_up(peer):
            self._node.events.record('link', 'lost', peer=peer)
            self._node.report_lost_link(peer)
            for runner in list(self._runners):
                runner.handle_event(LinkLost(peer))

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._configuration = configuration
        rules = configuration.rules
        self._context.table.configure(configuration.inventory, rules)
        for service in configuration.inventory.service_by_id:
            service_rules = rules.for_service(service)
            state = self._state_by_service.get(service)
            if state is None or state.rules != service_rules:
                self._state_by_service[service] = _create_state(service_rules)
        self._update_placement()

    def _update_placement(self) -> None:
        if self._configuration is None:
            return
        members = self._node.members()
        for member in members:
            if member.role is Role.gate:
                self._hub.connect(member.id, member.peer)
        self._hub.close_unknown_links(self._node.membership.states())
        self._placement = Placement(
            self._configuration.inventory, members, self._placement
        )
        self._update_replicas()

    def _update_replicas(self) -> None:
        if self._placement is not None:
            self._context.table.update_placement(
                self._placement, self._hub.connected_peers()
            )

    def _merge_notices(self, notices: list[QuarantineNotice]) -> None:
        now = monotonic()
        quarantine = self._context.quarantine
        changes = [quarantine.merge_notice(notice, now) for notice in notices]
        if any(changes):
            self._publish_notices(is_urgent=True)

    def _publish_notices(self, *, is_urgent: bool) -> None:
        notices = self._context.quarantine.notices(monotonic(), _MAX_NOTICES)
        self._node.publish_notices(notices, is_urgent=is_urgent)

    async def _run_notice_publishing(self) -> None:
        while True:
            self._publish_notices(is_urgent=False)
            await sleep(_NOTICE_INTERVAL)

    async def _run_stall_checks(self) -> None:
        stalled: set[MemberId] = set()
        while True:
            await sleep(_STALL_CHECK_INTERVAL)
            stalled_now = self._hub.find_stalled()
            if stalled_now == stalled:
                continue
            self._context.table.set_stalled_gates(stalled_now)
            for gate in stalled_now - stalled:
                self._node.events.record('link', 'stalled', peer=gate)
                for runner in list(self._runners):
                    runner.handle_event(GateStalled(gate))
            stalled = stalled_now

    def _describe(self) -> object:
        return {
            'admission': self._admission.describe(),
            'links': self._hub.connected_peers(),
            'sub_queries_sent': self._context.sub_queries_sent,
            'sub_queries_needed': self._context.sub_queries_needed,
            'replicas': {
                replica.upstream.id: {
                    'usable': replica.is_usable,
                    'gate': replica.gate.id if replica.gate else None,
                    'wait_ms': replica.wait_ms(monotonic()),
                    'service_ms': replica.service_ms,
                }
                for replica in self._context.table.replica_by_id.values()
            },
        }


def _create_state(rules: ServiceRules) -> ServiceState:
    return ServiceState(
        rules,
        LatencyQuantile(_HEDGE_PERCENTILE, _INITIAL_HEDGE_DELAY),
        RatioBudget(rules.hedge_budget, _HEDGE_BURST),
        RatioBudget(rules.retry_budget, _RETRY_BURST),
    )


def run() -> None:
    """Run the entry daemon."""
    run_daemon(Entry)
