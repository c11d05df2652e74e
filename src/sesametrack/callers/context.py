"""What queries share at one entry."""

from dataclasses import dataclass
from random import Random

from sesametrack.callers.budget import RatioBudget
from sesametrack.callers.latency import LatencyQuantile
from sesametrack.callers.replicas import ReplicaTable
from sesametrack.contracts.rules import ServiceRules
from sesametrack.upstreams.quarantine import Quarantine


@dataclass(slots=True)
class ServiceState:
    """What the queries of one service share at one entry."""

    rules: ServiceRules
    hedge_delay: LatencyQuantile
    hedges: RatioBudget
    retries: RatioBudget


@dataclass(slots=True)
class QueryContext:
    """What all queries share at one entry."""

    table: ReplicaTable
    quarantine: Quarantine
    rng: Random
    is_adaptive: bool = True
    sub_queries_sent: int = 0
    sub_queries_needed: int = 0
    id_prefix: str = ''

    def next_id(self) -> str:
        """Return a new sub-query id, unique over processes and restarts."""
        self.sub_queries_sent += 1
        return f'{self.id_prefix}-{self.sub_queries_sent:x}'
