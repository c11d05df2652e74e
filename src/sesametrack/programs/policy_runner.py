"""One upstream of a gate: its policy, connections and control connection."""

from functools import singledispatchmethod
from time import monotonic

from sesametrack.contracts.inventory import Upstream
from sesametrack.contracts.messages import Suspicion, ViewReport
from sesametrack.contracts.types import Instant, Seconds
from sesametrack.links.gate_upstream import (
    ControlConnection,
    SubQueryConnection,
    remaining_time,
)
from sesametrack.links.peer_hub import PeerHub
from sesametrack.programs.node import Node
from sesametrack.upstreams.actions import (
    BroadcastSuspicion,
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

_CHANGES = frozenset((ResponseKind.snapshot_gone, ResponseKind.draining))


class PolicyRunner:
    """Drives the policy of one upstream and carries out its actions."""

    def __init__(
        self,
        upstream: Upstream,
        quarantine: Quarantine,
        node: Node,
        hub: PeerHub,
        *,
        is_learned: bool,
        handover_due: Instant,
        references: ReferenceServiceTimes,
        settle_time: Seconds,
    ) -> None:
        """Bind the parts; `start` opens connections."""
        self._node = node
        self._hub = hub
        self.policy = UpstreamPolicy(
            upstream,
            quarantine,
            monotonic(),
            is_adaptive=is_learned,
            handover_deadline=handover_due,
            reference_times=references,
            takeover_delay=settle_time,
        )
        self._control = ControlConnection(upstream.address, self.step)
        self._connection_by_number: dict[int, SubQueryConnection] = {}
        self._is_closed = False
        # Bound once: each access to a singledispatchmethod makes a wrapper.
        self._act_on = self._act

    def start(self) -> None:
        """Open the control connection and the pool."""
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
        """Let the policy see that time has passed."""
        self.step(Ticked())

    def poll(self) -> None:
        """Ask the upstream for its load report."""
        self._control.poll()

    def step(self, event: UpstreamEvent) -> None:
        """Drive the policy with an event."""
        if self._is_closed:
            return
        if _shows_change(event):
            self._control.poll()
        for action in self.policy.handle(event, monotonic()):
            self._act_on(action)

    @singledispatchmethod
    def _act(self, action: UpstreamAction) -> None:
        raise NotImplementedError(type(action).__name__)

    @_act.register
    def _open(self, action: OpenConnection) -> None:
        connection = SubQueryConnection(
            action.connection, self.policy.upstream.address, self.step
        )
        self._connection_by_number[action.connection] = connection
        connection.start()

    @_act.register
    def _close(self, action: CloseConnection) -> None:
        connection = self._connection_by_number.pop(action.connection, None)
        if connection is not None:
            connection.close()

    @_act.register
    def _probe(self, action: ProbeConnection) -> None:
        self._connection_by_number[action.connection].probe()

    @_act.register
    def _send(self, action: SendRequest) -> None:
        remaining = remaining_time(action.deadline, monotonic())
        connection = self._connection_by_number[action.connection]
        connection.search(action.sub_query, remaining)
        self._node.metrics.count('gate.requests')

    @_act.register
    def _cancel(self, action: SendCancel) -> None:
        self._control.cancel(action.id)
        self._node.metrics.count('gate.cancels')

    @_act.register
    def _reply(self, action: SendReply) -> None:
        self._hub.send(action.receiver, action.reply)
        self._node.metrics.count(f'gate.replies.{action.reply.state.name}')

    @_act.register
    def _suspect(self, action: BroadcastSuspicion) -> None:
        self._node.events.record(
            'quarantine',
            'upstream_died',
            upstream=action.upstream,
            fingerprint=action.fingerprint,
            in_flight=action.in_flight,
        )
        self._hub.broadcast(
            Suspicion(action.upstream, action.fingerprint, action.in_flight)
        )

    @_act.register
    def _publish(self, action: PublishView) -> None:
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


def _shows_change(event: UpstreamEvent) -> bool:
    """Tell whether a response says that the last load report is outdated."""
    if not isinstance(event, ResponseReceived):
        return False
    return event.response.kind in _CHANGES
