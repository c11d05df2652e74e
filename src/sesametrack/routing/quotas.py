"""Quotas: the requests that callers of a workspace may send to all VMs.

A quota is divided among failure domains. In each of them one VM, the
coordinator, has the domain's share as a token bucket, and grants requests out
of it one by one or in small blocks, to VMs of any domain.
"""

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import repeat
from math import ceil, floor
from random import Random

from xxhash import xxh3_64_intdigest

from sesametrack.contracts.quotas import QuotaAsk, QuotaGrant
from sesametrack.contracts.types import (
    FailureDomainId,
    Instant,
    Seconds,
    WorkspaceId,
)
from sesametrack.routing.workspaces import RateLimit, Workspace
from sesametrack.vms.coordinator import RENEWAL_INTERVAL

# A reply that took longer may be that of a coordinator that was paused.
MAX_REPLY_TIME: Seconds = 0.1
# Granted requests that are not sent within this time are lost.
_MAX_VALIDITY: Seconds = 0.25
# Requests are granted in advance for this time of a VM's usual rate.
_ADVANCE_TIME: Seconds = 0.1
_MAX_BLOCK = 64
# The part of the slack that buckets may hold. The rest is left for requests
# that searchers count in another window than the coordinators.
_SLACK_FRACTION = 0.5
# The part of the slack that new coordinators may grant at once.
_RESERVE_FRACTION = 0.25
# Refused callers are told to come back after this time at most.
_MAX_RETRY_AFTER: Seconds = 5
# While the own domain's bucket holds less than this part, all domains are asked
# alike: what flows into a full bucket is lost.
_LOW_LEVEL = 0.75
_LEVEL_TTL: Seconds = 0.5
# A coordinator that did not reply is passed over for this long.
_SILENCE_TIME: Seconds = 0.5
_RATE_WINDOW: Seconds = 1


@dataclass(frozen=True, slots=True)
class QuotaRule:
    """Bound on the requests of a workspace that reach upstreams.

    In any `window` these are at most (rate x window + burst) x (1 + overage)
    + slack, from all VMs of all `domains` together.
    """

    window: Seconds
    overage: float
    slack: float
    domains: tuple[FailureDomainId, ...]

    @property
    def holders(self) -> int:
        """Return the number of failure domains that share a quota.

        Each bucket must hold a request, and all that they hold beyond the
        burst is slack.
        """
        most = max(1, floor(self.slack * _SLACK_FRACTION))
        return max(1, min(len(self.domains), most))

    @property
    def validity(self) -> Seconds:
        """Return how long a granted request may wait to be sent."""
        spare = self.window * self.overage - MAX_REPLY_TIME
        return min(_MAX_VALIDITY, max(0, spare))

    def share(self, limit: RateLimit) -> RateLimit:
        """Return the rate and the size of the bucket of one domain.

        A window gets what is granted in it, and what was granted before and
        sent late.
        """
        lateness = self.validity + MAX_REPLY_TIME
        fraction = min(
            1, self.window * (1 + self.overage) / (self.window + lateness)
        )
        extra = max(1, self.slack * _SLACK_FRACTION)
        extra += limit.burst * self.overage * _SLACK_FRACTION
        return RateLimit(
            limit.per_s * fraction / self.holders,
            (limit.burst + extra) / self.holders,
        )

    @property
    def reserve(self) -> float:
        """Return what a domain's bucket may hold when its coordinator starts.

        Only if the former one had held the lease for longer than a window:
        so a window gets the reserve of each domain once at most.
        """
        spare = self.slack - max(1, self.slack * _SLACK_FRACTION)
        reserve = min(spare, self.slack * _RESERVE_FRACTION)
        return max(0, reserve) / self.holders

    @property
    def settled_renewals(self) -> int:
        """Return how often a lease is renewed in more than a window."""
        lateness = self.validity + MAX_REPLY_TIME
        return ceil((self.window + lateness) / RENEWAL_INTERVAL)

    def holding_domains(
        self, workspace: WorkspaceId
    ) -> tuple[FailureDomainId, ...]:
        """Return the domains that share a quota, the same on every VM."""
        ranked = sorted(
            self.domains,
            key=lambda one: xxh3_64_intdigest(f'{workspace}|{one}'.encode()),
        )
        return tuple(ranked[: self.holders])


@dataclass(slots=True)
class _Bucket:
    version: int
    share: RateLimit
    tokens: float
    updated_at: Instant
    # Until when tokens are expected by callers that were refused.
    promised_until: Instant = float('-inf')

    def refill(self, now: Instant) -> None:
        """Add the tokens of the time since the last update."""
        added = max(0, now - self.updated_at) * self.share.per_s
        self.tokens = min(self.share.burst, self.tokens + added)
        self.updated_at = now


class QuotaIssuer:
    """Grants requests out of one failure domain's shares.

    It knows nothing of what a coordinator before it has granted, so its
    buckets are empty at its start, or have the reserve: at no time have both
    granted more than one would have, and the reserve.
    """

    def __init__(
        self,
        rule: QuotaRule,
        domain: FailureDomainId,
        started_at: Instant,
        *,
        has_reserve: bool = False,
    ) -> None:
        """Start with empty buckets, or with the reserve."""
        self._rule = rule
        self._first_tokens = rule.reserve if has_reserve else 0
        self._domain = domain
        self._started_at = started_at
        self._bucket_by_workspace: dict[WorkspaceId, _Bucket] = {}

    def apply_limits(
        self, version: int, workspaces: Iterable[Workspace], now: Instant
    ) -> None:
        """Apply the limits of a version; those of an older one are ignored."""
        for workspace in workspaces:
            if workspace.limit.per_s > 0:
                self._bucket(workspace.id, version, workspace.limit, now)

    def issue(self, ask: QuotaAsk, now: Instant) -> QuotaGrant:
        """Return what is granted; advance requests only from half a bucket."""
        limit = RateLimit(ask.per_s, ask.burst)
        if limit.per_s <= 0:
            return QuotaGrant(1)
        if self._domain not in self._rule.holding_domains(ask.workspace):
            return QuotaGrant(0, _MAX_RETRY_AFTER, _MAX_RETRY_AFTER)
        bucket = self._bucket(ask.workspace, ask.version, limit, now)
        if bucket.tokens < 1:
            return self._refuse(bucket, now)
        spare = floor(bucket.tokens - bucket.share.burst / 2)
        granted = max(1, min(ask.count, _MAX_BLOCK, spare))
        bucket.tokens -= granted
        level = bucket.tokens / bucket.share.burst
        return QuotaGrant(granted, level=level)

    def _refuse(self, bucket: _Bucket, now: Instant) -> QuotaGrant:
        interval = 1 / bucket.share.per_s
        wait = (1 - bucket.tokens) * interval
        promised = max(now + wait, bucket.promised_until + interval)
        bucket.promised_until = min(promised, now + _MAX_RETRY_AFTER)
        return QuotaGrant(
            0,
            min(wait, _MAX_RETRY_AFTER),
            bucket.promised_until - now,
        )

    def _bucket(
        self,
        workspace: WorkspaceId,
        version: int,
        limit: RateLimit,
        now: Instant,
    ) -> _Bucket:
        bucket = self._bucket_by_workspace.get(workspace)
        if bucket is None:
            share = self._rule.share(limit)
            tokens = min(share.burst, self._first_tokens)
            bucket = _Bucket(version, share, tokens, self._started_at)
            self._bucket_by_workspace[workspace] = bucket
        bucket.refill(now)
        if version > bucket.version:
            bucket.version = version
            bucket.share = self._rule.share(limit)
            bucket.tokens = min(bucket.tokens, bucket.share.burst)
        return bucket


@dataclass(slots=True)
class _Allowance:
    """Requests of one workspace that were granted to this VM in advance."""

    expiries: deque[Instant] = field(default_factory=deque)
    # When each coordinator that refused may grant again, and when the callers
    # that were refused then have been served.
    denied_until: dict[FailureDomainId, Instant] = field(default_factory=dict)
    retry_at: dict[FailureDomainId, Instant] = field(default_factory=dict)
    requests: deque[Instant] = field(default_factory=deque)
    # Until when the own domain's bucket counts as low.
    low_until: Instant = float('-inf')


class Allowances:
    """What this VM may send, and which coordinator it asks for more."""

    def __init__(
        self, rule: QuotaRule, domain: FailureDomainId, rng: Random
    ) -> None:
        """Start without any granted requests."""
        self._rule = rule
        self._domain = domain
        self._rng = rng
        self._allowance_by_workspace: dict[WorkspaceId, _Allowance] = (
            defaultdict(_Allowance)
        )
        self._silent_until: dict[FailureDomainId, Instant] = {}

    def retain(self, workspaces: Iterable[WorkspaceId]) -> None:
        """Drop what is known of workspaces that are no longer declared."""
        kept = set(workspaces)
        for workspace in list(self._allowance_by_workspace):
            if workspace not in kept:
                self._allowance_by_workspace.pop(workspace)

    def spend(self, workspace: WorkspaceId, now: Instant) -> bool:
        """Use one granted request; return False if there is none."""
        allowance = self._allowance_by_workspace[workspace]
        while allowance.expiries and allowance.expiries[0] <= now:
            allowance.expiries.popleft()
        if not allowance.expiries:
            return False
        allowance.expiries.popleft()
        return True

    def record_request(self, workspace: WorkspaceId, now: Instant) -> None:
        """Record the arrival of a request, for the size of blocks."""
        requests = self._allowance_by_workspace[workspace].requests
        requests.append(now)
        while requests[0] < now - _RATE_WINDOW:
            requests.popleft()

    def block_size(self, workspace: WorkspaceId) -> int:
        """Return for how many requests to ask: one, and some in advance."""
        recent = len(self._allowance_by_workspace[workspace].requests)
        if not self._rule.validity:
            return 1
        return min(_MAX_BLOCK, 1 + floor(recent * _ADVANCE_TIME / _RATE_WINDOW))

    def choose_domain(
        self,
        workspace: WorkspaceId,
        known: Iterable[FailureDomainId],
        asked: Iterable[FailureDomainId],
        now: Instant,
    ) -> FailureDomainId | None:
        """Return whose coordinator to ask next.

        That of the own domain is nearest, and asked while its bucket isn't low.
        """
        allowance = self._allowance_by_workspace[workspace]
        denied_until = allowance.denied_until
        open_domains = [
            domain
            for domain in self._rule.holding_domains(workspace)
            if domain in known
            and domain not in asked
            and now >= denied_until.get(domain, now)
            and now >= self._silent_until.get(domain, now)
        ]
        if self._domain in open_domains and now >= allowance.low_until:
            return self._domain
        return self._rng.choice(open_domains) if open_domains else None

    def record_grant(
        self,
        workspace: WorkspaceId,
        domain: FailureDomainId,
        grant: QuotaGrant,
        now: Instant,
    ) -> None:
        """Add what a coordinator has granted, or record that it refused."""
        self._silent_until.pop(domain, None)
        allowance = self._allowance_by_workspace[workspace]
        if not grant.count:
            allowance.denied_until[domain] = now + grant.wait
            allowance.retry_at[domain] = now + grant.retry_after
            return
        if domain == self._domain and grant.level < _LOW_LEVEL:
            allowance.low_until = now + _LEVEL_TTL
        # The first is sent at once.
        expires_at = now + max(self._rule.validity, 1e-6)
        allowance.expiries.extend(repeat(expires_at, grant.count))

    def record_silence(self, domain: FailureDomainId, now: Instant) -> None:
        """Pass a coordinator over that did not reply."""
        self._silent_until[domain] = now + _SILENCE_TIME

    def retry_after(
        self, workspace: WorkspaceId, now: Instant
    ) -> Seconds | None:
        """Return when a refused request may come back.

        It is None if no coordinator has refused, so that the quota may not be
        used up at all.
        """
        allowance = self._allowance_by_workspace[workspace]
        waits = [
            max(until, allowance.retry_at.get(domain, until)) - now
            for domain, until in allowance.denied_until.items()
            if until > now
        ]
        return min(waits) if waits else None
