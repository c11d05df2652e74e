"""Lease of the coordinator, the one VM that issues permits for upstreams.

The lease is an object in the store, written only under the condition that it
has not changed. Its holder renews it, and others take it only after it has
not changed for the lease time, so no two VMs hold it at the same time,
whatever they see of each other. No clock is shared: each VM measures the
lease time from its own observations, the holder from before its write.

If the store comes back from an older copy, the lease goes back too. The holder
writes it again; others wait until any lease that the copy lacks has ended.
"""

from dataclasses import dataclass
from enum import Enum

from msgspec import Struct
from msgspec.structs import replace

from sesametrack.contracts.rollouts import RolloutSpending
from sesametrack.contracts.types import Address, Instant, Seconds, VmId

# A store that is unavailable for less than this doesn't end the lease, but a
# VM that is lost holds it for as long.
LEASE_TIME: Seconds = 8
RENEWAL_INTERVAL: Seconds = 2.5
# The holder gives up a lease that nobody needs.
IDLE_TIME: Seconds = 10
# Others measure the lease time on their own clocks.
_CLOCK_MARGIN: Seconds = 0.25


class LeaseClaim(Struct, frozen=True, omit_defaults=True):
    """The lease as stored: who holds it, and how often it was renewed.

    `token` differs between processes and each time that the lease is taken.
    `rollouts` has what may be spent on each order until the next write.
    """

    vm: VmId
    address: Address
    token: int
    renewals: int = 0
    is_released: bool = False
    # Of the store when it was written.
    era: int = 0
    rollouts: dict[str, RolloutSpending] = {}


class LeaseStep(Enum):
    """What to do about the lease that was read."""

    take = 'take'
    follow = 'follow'
    # It may be held by a VM that the store doesn't know of.
    wait = 'wait'


@dataclass(slots=True)
class _Observation:
    # The claim, and the era of the store in which it was seen.
    key: tuple[LeaseClaim, int]
    since: Instant


class CoordinatorLease:
    """One VM's view of the lease, and whether it holds it."""

    def __init__(self, vm: VmId, address: Address) -> None:
        """Start without the lease."""
        self._vm = vm
        self._address = address
        self._held: LeaseClaim | None = None
        self._held_until: Instant = float('-inf')
        self._observed: _Observation | None = None

    def is_held(self, now: Instant) -> bool:
        """Return whether this VM may issue permits."""
        return self._held is not None and now < self._held_until

    @property
    def is_claimed(self) -> bool:
        """Return whether this VM has taken the lease and not given it up."""
        return self._held is not None

    def observe(
        self,
        claim: LeaseClaim | None,
        era: int,
        era_since: Instant,
        now: Instant,
    ) -> LeaseStep:
        """Decide on the stored lease, None if there is none.

        The store is in its `era` since `era_since` at the latest, as far as
        this VM has seen. After a restore it may not know of a claim that is
        still held. A claim of this VM in the same era is that of an earlier
        process, or of a write whose reply was lost, so no other process holds
        the lease.
        """
        if claim is None:
            is_settled = now - era_since >= LEASE_TIME + _CLOCK_MARGIN
            return LeaseStep.take if is_settled else LeaseStep.wait
        if claim.era == era and (claim.is_released or claim.vm == self._vm):
            return LeaseStep.take
        if self._observed is None or self._observed.key != (claim, era):
            self._observed = _Observation((claim, era), now)
        if now - self._observed.since >= LEASE_TIME + _CLOCK_MARGIN:
            return LeaseStep.take
        return LeaseStep.wait if claim.is_released else LeaseStep.follow

    def is_of_era(self, era: int) -> bool:
        """Return whether the claim was written in this era of the store."""
        return self._held is not None and self._held.era == era

    @property
    def rollouts(self) -> dict[str, RolloutSpending]:
        """Return what the last claim that was written says of orders."""
        return {} if self._held is None else self._held.rollouts

    def make_claim(
        self,
        token: int,
        era: int,
        rollouts: dict[str, RolloutSpending] | None = None,
    ) -> LeaseClaim:
        """Return the claim to write in order to take the lease.

        `rollouts` is what the claim that it replaces says of orders.
        """
        return LeaseClaim(
            self._vm, self._address, token, era=era, rollouts=rollouts or {}
        )

    def make_renewal(
        self, era: int, rollouts: dict[str, RolloutSpending] | None = None
    ) -> LeaseClaim:
        """Return the claim to write in order to keep the lease."""
        renewals = self._held.renewals + 1
        return replace(
            self._held,
            renewals=renewals,
            era=era,
            rollouts=self._held.rollouts if rollouts is None else rollouts,
        )

    def make_release(self, era: int) -> LeaseClaim:
        """Return the claim to write in order to give the lease up."""
        return replace(self._held, is_released=True, era=era)

    def record_written(self, claim: LeaseClaim, started_at: Instant) -> None:
        """Hold the lease; the write of the claim began at `started_at`."""
        self._held = claim
        self._held_until = started_at + LEASE_TIME

    def record_lost(self) -> None:
        """Stop issuing permits: the lease was given up or taken."""
        self._held = None
        self._held_until = float('-inf')
