"""Chooses whether this VM enforces the quotas of workspaces."""

from asyncio import AbstractEventLoop
from collections.abc import Callable, Iterable
from logging import getLogger
from random import Random

from sesametrack.contracts.router_settings import RouterSettings
from sesametrack.contracts.types import Instant
from sesametrack.programs.quota_exchange import QuotaExchange
from sesametrack.programs.quota_pursuits import QuotaCallback
from sesametrack.routing.quotas import QuotaRule
from sesametrack.routing.workspaces import Workspace
from sesametrack.telemetry.metrics import Metrics
from sesametrack.telemetry.structured_log import log_event
from sesametrack.vms.watchers import FleetVm

_log = getLogger('quotas')


class NoQuotas:
    """Stands in for the exchange where the settings have no quotas."""

    waiting_count = 0
    store_calls = 0
    is_coordinator = False

    async def start(self) -> None:
        """Open no socket."""

    async def close(self) -> None:
        """Close no socket."""

    def stop(self) -> None:
        """Give up no lease."""

    def observe_era(self, era: int) -> None:
        """Ignore the store's era, as there is no lease."""

    def set_fleet(self, fleet: list[FleetVm]) -> None:
        """Ignore the other VMs."""

    def apply_limits(
        self, version: int, workspaces: Iterable[Workspace]
    ) -> None:
        """Log that limits are not enforced."""
        limited = [one.id for one in workspaces if one.limit.per_s > 0]
        if limited:
            log_event(
                _log,
                'quotas-not-enforced',
                30,
                version=version,
                workspaces=len(limited),
            )

    def request(self, workspace: Workspace, callback: QuotaCallback) -> None:
        """Let the request be sent."""
        callback(None)


def create_quotas(
    settings: RouterSettings,
    own_vm: FleetVm,
    metrics: Metrics,
    loop: AbstractEventLoop,
    now: Callable[[], Instant],
    rng: Random,
) -> QuotaExchange | NoQuotas:
    """Return the exchange that the settings call for."""
    quotas = settings.quotas
    if quotas is None:
        return NoQuotas()
    rule = QuotaRule(
        quotas.window_s,
        quotas.overage,
        quotas.slack,
        tuple(quotas.failure_domains),
    )
    return QuotaExchange(
        settings.platform, own_vm, rule, metrics, loop, now, rng
    )
