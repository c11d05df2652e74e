"""The budget of extra sends, kept for each service."""

from collections import deque
from dataclasses import dataclass, field

from sesametrack.contracts.types import Instant, Seconds, ServiceId
from sesametrack.routing.shares import LimitShares

_BUCKETS = 20


@dataclass(frozen=True, slots=True)
class BudgetRule:
    """How many extra sends all VMs together may make.

    In any `window`, a service may get `ratio` times its requests plus
    `slack` sends beyond the first of each request.
    """

    ratio: float
    window: Seconds
    slack: float


@dataclass(slots=True)
class _Usage:
    # Each bucket is [start, requests, extras].
    buckets: deque = field(default_factory=deque)
    requests: int = 0
    extras: int = 0


class RetryBudget:
    """This VM's part of the budget.

    Each VM spends a part of what it has itself forwarded, plus its share
    of the slack, so that the sum over all VMs keeps the rule without a
    message between them. A process that has just started may follow one
    that spent its share of the slack, so for the first window it has only
    the part that the former one left.
    """

    # The rest covers requests that the service counts into another window
    # than this VM does.
    ratio_part = 0.95
    # Together at most one: a process and the one that follows it within a
    # window may both spend.
    slack_part = 0.7
    first_slack_part = 0.3

    def __init__(self, rule: BudgetRule, started_at: Instant) -> None:
        """Bind the rule; `started_at` is the start of this process."""
        self._rule = rule
        self._slack_from = started_at + rule.window
        self._shares = LimitShares()
        self._usage_by_service: dict[ServiceId, _Usage] = {}

    def set_shares(self, shares: LimitShares) -> None:
        """Share the slack with the other VMs."""
        self._shares = shares

    def record_request(self, service: ServiceId, now: Instant) -> None:
        """Count the first send of a request."""
        usage = self._roll(service, now)
        usage.buckets[-1][1] += 1
        usage.requests += 1

    def available(self, service: ServiceId, now: Instant) -> float:
        """Return how many extra sends are left now."""
        usage = self._roll(service, now)
        is_first = now < self._slack_from
        part = self.first_slack_part if is_first else self.slack_part
        slack = self._rule.slack * self._shares.fraction(service) * part
        ratio = self._rule.ratio * self.ratio_part
        return ratio * usage.requests + slack - usage.extras

    def spend(
        self, service: ServiceId, now: Instant, reserve: float = 0
    ) -> bool:
        """Take one extra send; False if fewer than 1 + reserve are left."""
        if self.available(service, now) < 1 + reserve:
            return False
        usage = self._usage_by_service[service]
        usage.buckets[-1][2] += 1
        usage.extras += 1
        return True

    def _roll(self, service: ServiceId, now: Instant) -> _Usage:
        usage = self._usage_by_service.get(service)
        if usage is None:
            usage = _Usage()
            self._usage_by_service[service] = usage
        buckets = usage.buckets
        # One bucket more than the window holds, so that a send is counted
        # for at least the whole window.
        oldest = now - self._rule.window * (1 + 1 / _BUCKETS)
        while buckets and buckets[0][0] < oldest:
            _, requests, extras = buckets.popleft()
            usage.requests -= requests
            usage.extras -= extras
        if not buckets or now - buckets[-1][0] > self._rule.window / _BUCKETS:
            buckets.append([now, 0, 0])
        return usage
