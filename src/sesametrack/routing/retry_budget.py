"""Budget of retries and hedges for each service."""

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from sesametrack.contracts.types import Instant, Seconds, ServiceId

_BUCKETS = 20
# How long a borrowed extra send may be used. The lender counts it from before
# that on, for a twentieth of the window longer than the rule asks.
_BORROWED_VALIDITY: Seconds = 0.4
# Lenders that had nothing left are asked again after this.
_DENIAL_TIME: Seconds = 0.25


class BudgetShares(Protocol):
    """This VM's part of the slack of each service."""

    def fraction(self, service: ServiceId) -> float:
        """Return the fraction of the slack that this VM may spend or lend."""

    def has_lenders(self, service: ServiceId) -> bool:
        """Return whether other VMs hold shares that they may lend."""


class NoShares(BudgetShares):
    """The shares of a VM that does not know the fleet."""

    def fraction(self, service: ServiceId) -> float:
        """Return 0: any other fraction may be too much."""
        return 0

    def has_lenders(self, service: ServiceId) -> bool:
        """Return False, as no other VM is known."""
        return False


@dataclass(frozen=True, slots=True)
class BudgetRule:
    """Limit on the extra sends of all VMs together.

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
    # When each extra send that was borrowed from another VM expires.
    borrowed: deque = field(default_factory=deque)
    denied_until: Instant = float('-inf')


class RetryBudget:
    """This VM's share of the budget.

    Each VM may spend a fraction of the requests that it forwarded itself,
    plus its share of the slack, so that all VMs together stay within the
    rule. What it needs beyond that it borrows from the VMs that hold a
    share; what it lends counts as spent. A process may have replaced one
    that had spent its share of the slack, so in its first window it has only
    the fraction that the previous process could not spend.
    """

    # The rest allows for requests that the service counts in a different
    # window than this VM.
    ratio_fraction = 0.95
    # These add up to at most 1, since a process and the one that replaces it
    # may both spend in the same window.
    slack_fraction = 0.7
    initial_slack_fraction = 0.3

    def __init__(self, rule: BudgetRule, started_at: Instant) -> None:
        """Apply a rule to a process that started at `started_at`."""
        self._rule = rule
        self._initial_until = started_at + rule.window
        self._shares: BudgetShares = NoShares()
        self._usage_by_service: dict[ServiceId, _Usage] = {}

    def set_shares(self, shares: BudgetShares) -> None:
        """Set the shares by which VMs divide the slack."""
        self._shares = shares

    def record_request(self, service: ServiceId, now: Instant) -> None:
        """Record the first send of a request."""
        usage = self._current_usage(service, now)
        usage.buckets[-1][1] += 1
        usage.requests += 1

    def available(self, service: ServiceId, now: Instant) -> float:
        """Return the number of extra sends left."""
        usage = self._current_usage(service, now)
        is_initial = now < self._initial_until
        fraction = (
            self.initial_slack_fraction if is_initial else self.slack_fraction
        )
        slack = self._rule.slack * self._shares.fraction(service) * fraction
        ratio = self._rule.ratio * self.ratio_fraction
        return ratio * usage.requests + slack - usage.extras

    def spend(
        self, service: ServiceId, now: Instant, reserve: float = 0
    ) -> bool:
        """Use one extra send; return False if under 1 + reserve are left.

        Borrowed ones are used last, as the lender counts them anyway.
        """
        if self.spend_own(service, now, reserve):
            return True
        usage = self._usage_by_service[service]
        while usage.borrowed and usage.borrowed[0] <= now:
            usage.borrowed.popleft()
        if not usage.borrowed:
            return False
        usage.borrowed.popleft()
        return True

    def spend_own(
        self, service: ServiceId, now: Instant, reserve: float = 0
    ) -> bool:
        """Use one extra send of this VM's share, for itself or to lend it."""
        if self.available(service, now) < 1 + reserve:
            return False
        usage = self._usage_by_service[service]
        usage.buckets[-1][2] += 1
        usage.extras += 1
        return True

    def may_borrow(self, service: ServiceId, now: Instant) -> bool:
        """Return whether other VMs may have an extra send left."""
        return (
            self._shares.has_lenders(service)
            and now >= self._current_usage(service, now).denied_until
        )

    def add_borrowed(self, service: ServiceId, now: Instant) -> None:
        """Add one extra send that another VM has lent."""
        usage = self._current_usage(service, now)
        usage.borrowed.append(now + _BORROWED_VALIDITY)

    def record_denied(self, service: ServiceId, now: Instant) -> None:
        """Record that no other VM lends an extra send."""
        usage = self._current_usage(service, now)
        usage.denied_until = now + _DENIAL_TIME

    def _current_usage(self, service: ServiceId, now: Instant) -> _Usage:
        usage = self._usage_by_service.get(service)
        if usage is None:
            usage = _Usage()
            self._usage_by_service[service] = usage
        buckets = usage.buckets
        # One more bucket than the window has, so that each send counts for
        # at least the full window.
        oldest = now - self._rule.window * (1 + 1 / _BUCKETS)
        while buckets and buckets[0][0] < oldest:
            _, requests, extras = buckets.popleft()
            usage.requests -= requests
            usage.extras -= extras
        if not buckets or now - buckets[-1][0] > self._rule.window / _BUCKETS:
            buckets.append([now, 0, 0])
        return usage
