"""How often actions are repeated: the one place that decides it.

What fails for one VM mostly fails for all of them, so each wait grows with the
failures of one target and is spread at random. Where a VM has many targets,
all of them together have a bound as well. It falls with the number of VMs, so
that the sum over the fleet stays the same, down to a least rate for each VM.
"""

from dataclasses import dataclass
from enum import Enum, unique
from random import Random

from sesametrack.contracts.types import Instant, Seconds

_MAX_DOUBLINGS = 10
_UNBOUNDED = float('inf')


@dataclass(frozen=True, slots=True)
class RepeatRule:
    """How an action may be repeated.

    `first` and `longest` limit the wait for one target. All targets of a VM
    together get `most_per_s`, or the VM's part of `fleet_per_s` if that is
    less, but at least `least_per_s`; after a pause up to `burst` at once.
    """

    first: Seconds
    longest: Seconds
    most_per_s: float = _UNBOUNDED
    fleet_per_s: float = _UNBOUNDED
    least_per_s: float = 0
    burst: int = 1

    def rate(self, vm_count: int) -> float:
        """Return the bound of one VM, in actions a second."""
        share = self.fleet_per_s / max(1, vm_count)
        return max(self.least_per_s, min(self.most_per_s, share))

    def worst_rate(self, targets: int, vm_count: int) -> float:
        """Return the most that a VM does while all of its targets fail.

        In actions a second, once the waits have grown and the burst is spent.
        """
        by_wait = _UNBOUNDED
        if self.longest:
            by_wait = 2 * targets / self.longest
        return min(by_wait, self.rate(vm_count))


@unique
class Repeated(Enum):
    """Actions that are repeated while something fails."""

    # Connecting to a peer that could not be connected to.
    probe = RepeatRule(0.25, 4, 20, 600, 0.5, 20)
    # Connecting to other unreachable peers of a domain of which one is back.
    reconnect = RepeatRule(0, 0, 300, 6000, 2, 300)
    # Trying a failed relay; the store, by a VM without relays and by others.
    relay = RepeatRule(0.25, 1)
    store = RepeatRule(0.1, 0.8)
    store_of_follower = RepeatRule(2, 8)
    # Listing a kind of object anew, as its history or its source is gone.
    relist = RepeatRule(0.1, 1)
    # Calls of a VM's registration.
    register = RepeatRule(0.5, 8)
    # Telling hints that are known already.
    hint = RepeatRule(0.2, 1)
    # Telling new hints, and changed news of crashing requests.
    news = RepeatRule(0, 0, 1.5, burst=10)
    # Answering VMs that start, each message of which asks.
    answer = RepeatRule(0, 0, 8, 600, 1, 16)


def grown_wait(rule: RepeatRule, failures: int, rng: Random) -> Seconds:
    """Return the wait after a number of failures in a row of one target.

    It is spread over its upper half, so that VMs that failed together do not
    return together.
    """
    doublings = min(max(0, failures - 1), _MAX_DOUBLINGS)
    wait = min(rule.longest, rule.first * 2**doublings)
    return wait * (0.5 + rng.random() / 2)


class RepeatBound:
    """Bounds one kind of action over all of its targets in this process."""

    def __init__(self, rule: RepeatRule, vm_count: int) -> None:
        """Start with the full burst."""
        self._rule = rule
        self._per_s = rule.rate(vm_count)
        self._left = float(rule.burst)
        self._filled_at: Instant | None = None

    def set_vm_count(self, vm_count: int) -> None:
        """Apply the number of VMs that share the fleet's rate."""
        self._per_s = self._rule.rate(vm_count)

    def take(self, now: Instant) -> bool:
        """Return whether the action may be repeated now, and count it."""
        if self._filled_at is not None:
            elapsed = max(0, now - self._filled_at)
            self._left = min(
                self._rule.burst, self._left + elapsed * self._per_s
            )
        self._filled_at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True
