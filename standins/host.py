"""Runs many simulated upstreams in one process, with one control port."""

from msgspec import UNSET
from msgspec.json import decode

from sesametrack.contracts.inventory import Inventory
from sesametrack.contracts.snapshots import Holding, Snapshot
from sesametrack.links.http import HttpRequest, HttpResponse, json_response
from sesametrack.links.http_server import HttpServer
from standins.faults import Change, Counts, ProcessReport
from standins.upstream import RunLog, UpstreamStandin

_FIRST_SNAPSHOT_VERSION = 1


class UpstreamHost:
    """The simulated upstreams of some failure domains, with one run log."""

    def __init__(
        self,
        inventory: Inventory,
        failure_domains: list[str],
        host: str,
        control_port: int,
        seed: int,
    ) -> None:
        """Create the upstreams of the failure domains; `start` listens."""
        self._run_log = RunLog()
        self._control = HttpServer(host, control_port, self._handle)
        selected = [
            upstream
            for upstream in inventory.upstream_by_id.values()
            if upstream.failure_domain in failure_domains
        ]
        self.standin_by_id: dict[str, UpstreamStandin] = {}
        for number, upstream in enumerate(selected):
            service = inventory.service_by_id[upstream.service]
            snapshot = Snapshot(_FIRST_SNAPSHOT_VERSION, service.partitioning)
            self.standin_by_id[upstream.id] = UpstreamStandin(
                upstream,
                [Holding(snapshot, upstream.key_range)],
                self._run_log,
                seed * 100_003 + number,
            )

    async def start(self) -> None:
        """Listen on the control port and on the address of each upstream."""
        await self._control.start()
        for standin in self.standin_by_id.values():
            await standin.start()

    async def close(self) -> None:
        """Close the control port and all upstreams."""
        await self._control.close()
        for standin in self.standin_by_id.values():
            await standin.close()

    def apply(self, change: Change) -> None:
        """Apply a change to the listed upstreams that run in this process."""
        for upstream_id in change.upstreams or self.standin_by_id:
            standin = self.standin_by_id.get(upstream_id)
            if standin is not None:
                _apply_change(standin, change)

    def report(self) -> ProcessReport:
        """Return the counters of all upstreams."""
        return ProcessReport(
            {
                key: standin.counts
                for key, standin in self.standin_by_id.items()
            },
            self._run_log.runs_by_request,
            self._run_log.action_runs,
        )

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.path == '/change':
            self.apply(decode(request.body, type=Change))
            return json_response(200, {})
        if request.path == '/reset':
            self._run_log.reset()
            for standin in self.standin_by_id.values():
                standin.counts = Counts()
        return json_response(200, self.report())


def _apply_change(standin: UpstreamStandin, change: Change) -> None:
    for name, setting in change.behaviour.items():
        if name == 'is_draining':
            standin.set_draining(is_draining=bool(setting))
        else:
            setattr(standin.behaviour, name, setting)
    if change.holdings is not UNSET:
        standin.holdings = list(change.holdings)
    if change.turn == 'cold':
        standin.begin_cold_start()
    elif change.turn == 'warm':
        standin.end_cold_start()
    elif change.turn == 'crash':
        standin.crash()
    elif change.turn == 'silent':
        standin.silence_connections(change.silent_share)
