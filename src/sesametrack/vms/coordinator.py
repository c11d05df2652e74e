"""Lease of the coordinator, the one VM that issues permits for upstreams.

The lease is an object in the store, written only under the condition that it
has not changed. Its holder renews it, and others take it only after it has
not changed for the lease time, so no two VMs hold it at the same time,
whatever they see of each other. No clock is shared: each VM measures the
lease time from its own observations, the holder from before its write.
"""

from dataclasses import dataclass
from enum import Enum

from msgspec import Struct
from msgspec.structs import replace

from sesametrack.contracts.types import Address, Instant, Seconds, VmId

# A store that is unavailable for less than this doesn't end the lease, but a
# VM that is lost holds it for as long.
LEASE_TIME: Seconds = 8
RENEWAL_INTERVAL: Seconds = 2.5
# The holder gives up a lease that nobody needs.
IDLE_TIME: Seconds = 10
# Others measure the lease time on their own clocks.
_CLOCK_MARGIN: Seconds = 0.25


class LeaseClaim(Struct, frozen=True):
    """The lease as stored: who holds it, and how often it was renewed.

    `token` differs between processes and each time that the lease is taken.
    """

    vm: VmId
    address: Address
    token: int
    renewals: int = 0
    is_released: bool = False


class LeaseStep(Enum):
    """What to do about the lease that was read."""

    take = 'take'
    follow = 'follow'


@dataclass(slots=True)
class _Observation:
    claim: LeaseClaim
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

    def observe(self, claim: LeaseClaim | None, now: Instant) -> LeaseStep:
        """Decide on the stored lease, None if there is none.

        A claim of this VM is that of an earlier process, or of a write whose
        reply was lost, so no other process holds the lease.
        """
        if claim is None or claim.is_released or claim.vm == self._vm:
            return LeaseStep.take
        if self._observed is None or self._observed.claim != claim:
            self._observed = _Observation(claim, now)
        if now - self._observed.since >= LEASE_TIME + _CLOCK_MARGIN:
            return LeaseStep.take
        return LeaseStep.follow

    def make_claim(self, token: int) -> LeaseClaim:
        """Return the claim to write in order to take the lease."""
        return LeaseClaim(self._vm, self._address, token)

    def make_renewal(self) -> LeaseClaim:
        """Return the claim to write in order to keep the lease."""
        return replace(self._held, renewals=self._held.renewals + 1)

    def make_release(self) -> LeaseClaim:
        """Return the claim to write in order to give the lease up."""
        return replace(self._held, is_released=True)

    def record_written(self, claim: LeaseClaim, started_at: Instant) -> None:
        """Hold the lease; the write of the claim began at `started_at`."""
        self._held = claim
        self._held_until = started_at + LEASE_TIME

    def record_lost(self) -> None:
        """Stop issuing permits: the lease was given up or taken."""
        self._held = None
        self._held_until = float('-inf')
