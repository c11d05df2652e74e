"""Runs the policy of one upstream of a gate over its connections."""

from functools import singledispatchmethod
from time import monotonic

from sesametrack.contracts.inventory import Upstream
from sesametrack.contracts.messages import ConnectionLossReport, ViewReport
from sesametrack.contracts.types import Instant, Seconds
from sesametrack.links.gate_upstream import (
    ControlConnection,
    SubQueryConnection,
    remaining_time,
)
from sesametrack.links.peer_hub import PeerHub
from sesametrack.programs.node import Node
from sesametrack.upstreams.actions import (
    BroadcastConnectionLoss,
    CloseConnection,
    OpenConnection,
    ProbeConnection,
    PublishView,
    SendCancel,
    SendReply,
    SendRequest,
    UpstreamAction,
)
from sesametrack.upstreams.events import (
    ResponseKind,
    ResponseReceived,
    Ticked,
    UpstreamEvent,
)
from sesametrack.upstreams.latency import ReferenceServiceTimes
from sesametrack.upstreams.policy import UpstreamPolicy
from sesametrack.upstreams.quarantine import Quarantine

_REPORT_OUTDATING_KINDS = frozenset(
    (ResponseKind.snapshot_gone, ResponseKind.draining)
)


class PolicyRunner:
    """Passes events to the policy of one upstream and runs its actions."""

    def __init__(
        self,
        upstream: Upstream,
        quarantine: Quarantine,
        node: Node,
        hub: PeerHub,
        *,
        is_adaptive: bool,
        handover_deadline: Instant,
        reference_times: ReferenceServiceTimes,
        takeover_delay: Seconds,
    ) -> None:
        """Create the policy; `start` opens the connections."""
        self._node = node
        self._hub = hub
        self.policy = UpstreamPolicy(
            upstream,
            quarantine,
            monotonic(),
            is_adaptive=is_adaptive,
            handover_deadline=handover_deadline,
            reference_times=reference_times,
            takeover_delay=takeover_delay,
        )
        self._control = ControlConnection(upstream.address, self.step)
        self._connection_by_number: dict[int, SubQueryConnection] = {}
        self._is_closed = False
        # Bound once: each access to a singledispatchmethod creates a wrapper.
        self._execute_action = self._execute

    def start(self) -> None:
        """Open the control connection and the pooled connections."""
        self._control.start()
        self._control.poll()
        self.step(Ticked())

    def close(self) -> None:
        """Close all connections."""
        self._is_closed = True
        self._control.close()
        for connection in self._connection_by_number.values():
            connection.close()
        self._connection_by_number.clear()

    def tick(self) -> None:
        """Let the policy check its timeouts and refill its pool."""
        self.step(Ticked())

    def poll(self) -> None:
        """Request a load report from the upstream."""
        self._control.poll()

    def step(self, event: UpstreamEvent) -> None:
        """Pass an event to the policy and run the resulting actions."""
        if self._is_closed:
            return
        if _outdates_report(event):
            self._control.poll()
        for action in self.policy.handle(event, monotonic()):
            self._execute_action(action)

    @singledispatchmethod
    def _execute(self, action: UpstreamAction) -> None:
        raise NotImplementedError(type(action).__name__)

    @_execute.register
    def _open_connection(self, action: OpenConnection) -> None:
        connection = SubQueryConnection(
            action.connection, self.policy.upstream.address, self.step
        )
        self._connection_by_number[action.connection] = connection
        connection.start()

    @_execute.register
    def _close_connection(self, action: CloseConnection) -> None:
        connection = self._connection_by_number.pop(action.connection, None)
        if connection is not None:
            connection.close()

    @_execute.register
    def _probe_connection(self, action: ProbeConnection) -> None:
        self._connection_by_number[action.connection].probe()

    @_execute.register
    def _send_request(self, action: SendRequest) -> None:
        remaining = remaining_time(action.deadline, monotonic())
        connection = self._connection_by_number[action.connection]
        connection.search(action.sub_query, remaining)
        self._node.metrics.count('gate.requests')

    @_execute.register
    def _send_cancel(self, action: SendCancel) -> None:
        self._control.cancel(action.id)
        self._node.metrics.count('gate.cancels')

    @_execute.register
    def _send_reply(self, action: SendReply) -> None:
        self._hub.send(action.receiver, action.reply)
        self._node.metrics.count(f'gate.replies.{action.reply.state.name}')

    @_execute.register
    def _broadcast_connection_loss(
        self, action: BroadcastConnectionLoss
    ) -> None:
        self._node.events.record(
            'quarantine',
            'upstream_died',
            upstream=action.upstream,
            fingerprint=action.fingerprint,
            in_flight=action.in_flight,
        )
        self._hub.broadcast(
            ConnectionLossReport(
                action.upstream, action.fingerprint, action.in_flight
            )
        )

    @_execute.register
    def _publish_view(self, action: PublishView) -> None:
        view = self.policy.view(monotonic(), with_holdings=True)
        self._hub.broadcast(ViewReport([view]))
        self._node.events.record(
            'upstream',
            'view_changed',
            upstream=view.upstream,
            accepting=view.accepting,
            proven=self.policy.is_responsive,
            refusal=self.policy.health.refusal(monotonic()).value,
            connections=self.policy.connections,
        )


def _outdates_report(event: UpstreamEvent) -> bool:
    """Return whether an event shows that the last load report is outdated."""
    if not isinstance(event, ResponseReceived):
        return False
    return event.response.kind in _REPORT_OUTDATING_KINDS
