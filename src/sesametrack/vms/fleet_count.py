"""Count of the VMs that share the fleet's limits, from their heartbeats."""

from sesametrack.contracts.types import Instant, Seconds, VmId

# Heartbeats of a large fleet are less frequent, to limit the rate of writes
# to the store.
_MIN_HEARTBEAT_INTERVAL: Seconds = 10
_HEARTBEAT_INTERVAL_PER_VM: Seconds = 0.6
# Heartbeat intervals without a change after which a VM is not counted any
# more, and after which its entry is removed. A VM that is cut off from the
# store may serve for longer; the reserve of the shares covers that.
_LIVE_INTERVALS = 4
_REMOVAL_INTERVALS = 12
# Observations are up to 1.25 intervals apart. After a longer gap this VM was
# paused, or the store was unavailable, probably for other VMs too.
_MAX_GAP_INTERVALS = 1.5


class FleetCount:
    """Counts the VMs whose heartbeat has changed recently.

    The age of an entry starts when it is first observed, so a new VM counts
    all existing entries at first. Time in which this VM observed nothing does
    not count.
    """

    def __init__(self, vm: VmId) -> None:
        """Count only this VM, which is always included."""
        self._vm = vm
        self._heartbeat_by_vm: dict[VmId, tuple[int, Instant]] = {}
        self._observed_at: Instant | None = None
        self.live: set[VmId] = {vm}
        self.has_heartbeats = False

    @property
    def count(self) -> int:
        """Return the number of VMs that share the limits, with this one."""
        return len(self.live)

    @property
    def interval(self) -> Seconds:
        """Return the interval of a VM's heartbeats."""
        return max(
            _MIN_HEARTBEAT_INTERVAL,
            _HEARTBEAT_INTERVAL_PER_VM * len(self._heartbeat_by_vm),
        )

    def observe(
        self,
        heartbeat_by_vm: dict[VmId, int],
        now: Instant,
        *,
        is_restored: bool = False,
    ) -> list[VmId]:
        """Apply all heartbeats; return the VMs whose entries to remove.

        If the store `is_restored` since the last observation, heartbeats may
        be older or missing, which says nothing about their VMs.
        """
        self.has_heartbeats = True
        unobserved_time = self._unobserved_time(now)
        updated: dict[VmId, tuple[int, Instant]] = {}
        for vm, heartbeat in heartbeat_by_vm.items():
            changed_at = now
            if vm in self._heartbeat_by_vm:
                previous, previous_change = self._heartbeat_by_vm[vm]
                if previous == heartbeat or is_restored:
                    changed_at = previous_change + unobserved_time
            updated[vm] = (heartbeat, changed_at)
        if is_restored:
            updated = {**self._heartbeat_by_vm, **updated}
        self._heartbeat_by_vm = updated
        self.live = {self._vm} | {
            vm
            for vm, (_, changed_at) in updated.items()
            if now - changed_at < self.interval * _LIVE_INTERVALS
        }
        return [
            vm
            for vm, (_, changed_at) in updated.items()
            if vm != self._vm
            and now - changed_at >= self.interval * _REMOVAL_INTERVALS
        ]

    def _unobserved_time(self, now: Instant) -> Seconds:
        """Return the time without observations since the last one."""
        previous, self._observed_at = self._observed_at, now
        if previous is None:
            return 0
        gap = now - previous
        if gap <= self.interval * _MAX_GAP_INTERVALS:
            return 0
        return gap - self.interval
