"""State shared by the queries of one entry."""

from dataclasses import dataclass
from random import Random

from sesametrack.callers.budget import RatioBudget
from sesametrack.callers.latency import LatencyQuantile
from sesametrack.callers.replicas import ReplicaTable
from sesametrack.contracts.rules import ServiceRules
from sesametrack.upstreams.quarantine import Quarantine


@dataclass(slots=True)
class ServiceState:
    """State shared by the queries of one service."""

    rules: ServiceRules
    hedge_delay: LatencyQuantile
    hedge_budget: RatioBudget
    retry_budget: RatioBudget


@dataclass(slots=True)
class QueryContext:
    """State shared by the queries of all services."""

    table: ReplicaTable
    quarantine: Quarantine
    rng: Random
    is_adaptive: bool = True
    sub_queries_sent: int = 0
    sub_queries_needed: int = 0
    id_prefix: str = ''

    def next_id(self) -> str:
        """Return a new sub-query id, unique across processes and restarts."""
        self.sub_queries_sent += 1
        return f'{self.id_prefix}-{self.sub_queries_sent:x}'
