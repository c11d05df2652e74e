"""How many VMs share the limits, from their heartbeats."""

from sesametrack.contracts.types import Instant, Seconds, VmId

# Heartbeats of a small fleet; in a large one they are rarer, so that the
# fleet's writes to the store grow slowly.
_INTERVAL: Seconds = 10
_INTERVAL_A_VM: Seconds = 0.6
# A VM whose heartbeat stands still for so many intervals does not count. One
# that is cut off from the store may go on serving for longer, which the
# reserves of the shares cover.
_SILENT_INTERVALS = 4
_REMOVED_INTERVALS = 12


class FleetCount:
    """Counts the VMs whose heartbeat has changed lately.

    An entry counts from when it is first seen, so a VM that starts counts
    all entries there are.
    """

    def __init__(self, vm: VmId) -> None:
        """Count this VM itself in any case."""
        self._vm = vm
        self._seen_by_vm: dict[VmId, tuple[int, Instant]] = {}
        self.live: set[VmId] = {vm}
        self.has_heartbeats = False

    @property
    def count(self) -> int:
        """Number of VMs that share the limits, this one included."""
        return len(self.live)

    @property
    def interval(self) -> Seconds:
        """Return the time between two heartbeats of a VM."""
        return max(_INTERVAL, _INTERVAL_A_VM * len(self._seen_by_vm))

    def observe(
        self, heartbeat_by_vm: dict[VmId, int], now: Instant
    ) -> list[VmId]:
        """Take over the heartbeats; return entries to remove."""
        self.has_heartbeats = True
        seen: dict[VmId, tuple[int, Instant]] = {}
        for vm, heartbeat in heartbeat_by_vm.items():
            known = self._seen_by_vm.get(vm)
            is_same = known is not None and known[0] == heartbeat
            seen[vm] = known if is_same else (heartbeat, now)
        self._seen_by_vm = seen
        self.live = {self._vm} | {
            vm
            for vm, (_, changed_at) in seen.items()
            if now - changed_at < self.interval * _SILENT_INTERVALS
        }
        return [
            vm
            for vm, (_, changed_at) in seen.items()
            if vm != self._vm
            and now - changed_at >= self.interval * _REMOVED_INTERVALS
        ]
