"""Fleets that lose the store: how often they call it, in virtual time.

The pattern: the store is away for seconds, and all relays of all failure
domains lose it at the same moment.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from testtools import TestCase

from sesametrack.vms.watchers import (
    WATCHERS_PER_DOMAIN,
    FleetVm,
    StoreSources,
    choose_watchers,
)

_DOMAINS = 5
_STORE = 'store'
_OUTAGE_S = 4.5
_RESTART_S = 1.5
_MS_PER_S = 1000
# Time between two tries when a source is ready for use.
_SWITCH_S = 0.02
# How long all VMs may take to follow the store again.
_RETURN_S = 3
# Calls of a VM with relays, in the whole outage, and of one without.
_MAX_FOLLOWER_CALLS = 3
_MAX_WATCHER_CALLS = 12


@dataclass
class FleetModel:
    """VMs that try their sources until one of them has the store's objects."""

    size: int
    store_returns_at: float
    # Relays that reply to nobody before this time.
    dead_relays: frozenset[str] = frozenset()
    relays_return_at: float = 0
    calls_by_vm: dict[str, int] = field(default_factory=dict)
    settled_at_by_vm: dict[str, float] = field(default_factory=dict)
    current_by_vm: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Distribute the VMs over the failure domains."""
        rng = Random(7)
        domains = [f'd{number}' for number in range(_DOMAINS)]
        fleet = [
            FleetVm(
                f'vm-{number}', domains[number % _DOMAINS], f'r{number}', ''
            )
            for number in range(self.size)
        ]
        self.sources_by_vm: dict[str, StoreSources] = {}
        self.watcher_by_relay: dict[str, str] = {}
        for domain in domains:
            watchers = choose_watchers(fleet, domain)
            members = [one for one in fleet if one.failure_domain == domain]
            for one in watchers:
                self.watcher_by_relay[one.relay_address] = one.vm
            for one in members:
                sources = StoreSources(_STORE, one.vm, rng)
                sources.set_watchers(watchers, len(members))
                self.sources_by_vm[one.vm] = sources
        self.watchers = set(self.watcher_by_relay.values())

    def play(self) -> None:
        """Let each VM try from time 0 on until it has a source."""
        due = [
            (number / _MS_PER_S, vm)
            for number, vm in enumerate(self.sources_by_vm)
        ]
        while due:
            now, vm = heappop(due)
            if self._try(vm, now):
                self.settled_at_by_vm[vm] = now
                continue
            wait = self.sources_by_vm[vm].wait_time(now)
            heappush(due, (now + wait + _SWITCH_S, vm))

    def _try(self, vm: str, now: float) -> bool:
        """Call a VM's current source; return whether it replied."""
        sources = self.sources_by_vm[vm]
        source = sources.current(now)
        if source == _STORE:
            self.calls_by_vm[vm] = self.calls_by_vm.get(vm, 0) + 1
            has_replied = now >= self.store_returns_at
        elif source in self.dead_relays and now < self.relays_return_at:
            has_replied = False
        else:
            has_replied = self.watcher_by_relay[source] in self.settled_at_by_vm
        if has_replied:
            sources.record_success(source)
            self.current_by_vm[vm] = source
        else:
            sources.record_failure(source, now)
        return has_replied

    def calls_of(self, vms: Iterable[str]) -> list[int]:
        """Return the number of calls of each of these VMs."""
        return [self.calls_by_vm.get(vm, 0) for vm in vms]


class StoreAwayTest(TestCase):
    """All VMs lose the store at once, and its return is noticed soon."""

    def check(self, size: int) -> FleetModel:
        """Play an outage and check the calls and the return of each VM."""
        model = FleetModel(size, _OUTAGE_S)
        model.play()
        followers = model.sources_by_vm.keys() - model.watchers
        self.assertLessEqual(
            max(model.calls_of(model.watchers)), _MAX_WATCHER_CALLS
        )
        self.assertLessEqual(
            max(model.calls_of(followers)), _MAX_FOLLOWER_CALLS
        )
        latest = max(model.settled_at_by_vm.values())
        self.assertLessEqual(latest, _OUTAGE_S + _RETURN_S)
        return model

    def test_sizes(self) -> None:
        """Small fleets of today, the large one and one of the target."""
        for size in (30, 72, 195, 1000, 3100):
            model = self.check(size)
            total = sum(model.calls_by_vm.values())
            self.assertLessEqual(
                total,
                size * _MAX_FOLLOWER_CALLS
                + _DOMAINS * WATCHERS_PER_DOMAIN * _MAX_WATCHER_CALLS,
            )

    def test_return_to_relays(self) -> None:
        """Followers that found the store first soon use a relay again."""
        model = self.check(195)
        self.check_relays_used(model, max(model.settled_at_by_vm.values()))

    def check_relays_used(self, model: FleetModel, since: float) -> None:
        """Check that all VMs but the watchers try a relay in time."""
        for vm in model.sources_by_vm.keys() - model.watchers:
            sources = model.sources_by_vm[vm]
            self.assertNotEqual(_STORE, sources.current(since + 1), vm)

    def test_lost_relays(self) -> None:
        """While both relays of a domain restart, its VMs use the store.

        They try the relays again within a second of their return.
        """
        model = FleetModel(195, 0)
        dead = frozenset(
            relay
            for relay, vm in model.watcher_by_relay.items()
            if int(vm.removeprefix('vm-')) % _DOMAINS == 0
        )
        self.assertEqual(WATCHERS_PER_DOMAIN, len(dead))
        model.dead_relays = dead
        model.relays_return_at = _RESTART_S
        model.play()
        self.assertLess(max(model.settled_at_by_vm.values()), 1)
        self.check_relays_used(model, _RESTART_S)
