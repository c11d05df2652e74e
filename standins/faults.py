"""Fault settings and counters of the simulated upstreams."""

from msgspec import UNSET, Struct, UnsetType

from sesametrack.contracts.snapshots import Holding


class Behaviour(Struct, forbid_unknown_fields=True):
    """Latency and faults of one upstream; shares are from 0 to 1.

    A cold upstream crashes once it has run more than `cold_capacity`
    concurrent requests for a total of `cold_tolerance_s`.
    """

    service_s: float = 0.006
    straggler_share: float = 0
    straggler_factor: float = 25
    slow_factor: float = 1
    connect_s: float = 0.006
    queue: int = 0
    cold_factor: float = 4
    cold_capacity: int = 1
    cold_tolerance_s: float = 0.2
    cold_requests: int = 60
    cold_s: float = 1.5
    restart_s: float = 2
    report_lag_s: float = 0
    report_lies: bool = False
    is_draining: bool = False
    is_unreachable: bool = False


class Change(Struct, forbid_unknown_fields=True):
    """A change to the listed upstreams, or to all if the list is empty.

    `turn` is empty or one of cold, crash, silent and warm; `silent_share` is
    the share of the open connections that stop carrying traffic.
    """

    upstreams: list[str] = []
    behaviour: dict[str, float | int | bool] = {}
    holdings: list[Holding] | UnsetType = UNSET
    turn: str = ''
    silent_share: float = 1


class Counts(Struct):
    """Counters of one upstream."""

    ran: int = 0
    cancelled: int = 0
    shed: int = 0
    over_slots: int = 0
    over_connections: int = 0
    fell_over: int = 0
    crashes: int = 0
    poisoned: int = 0
    after_leaving: int = 0
    most_running: int = 0


class ProcessReport(Struct):
    """Counters of all upstreams in one simulator process.

    `runs_by_request` maps a caller's request id to the number of its
    sub-queries that were run, `action_runs` an action to its number of runs.
    """

    counts: dict[str, Counts]
    runs_by_request: dict[str, int]
    action_runs: dict[str, int]
