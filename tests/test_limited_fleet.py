"""Tests of limits on the request rate, over all VMs of a fleet."""

from dataclasses import replace
from functools import partial

from testtools import TestCase

from sesametrack.routing.events import ForwardReply, MergedAnswer, Refusal
from tests.limited_fleet import LimitedFleet
from tests.router_builders import make_gather_route

_SEEDS = 12
# When one limit ends, and the other is lowered.
_ENDED_AT = 12
_LOWERED_AT = 20


class LimitedFleetTest(TestCase):
    """All VMs together keep to the limit that an upstream states."""

    # Guards against VMs that send to an upstream as if it had named no limit.
    def test_limit_over_all_vms(self) -> None:
        """One of two copies states a limit, in fleets of several sizes."""
        for vms, per_s, load in (
            (1, 5, 40),
            (6, 15.2, 60),
            (6, 3, 60),
            (67, 1.4, 30),
            (67, 0.1, 30),
        ):
            fleet = LimitedFleet(vms, vms, 2, {'s0-0': per_s})
            fleet.play(20, load)
            excess = fleet.excess('s0-0', per_s)
            self.assertLessEqual(excess, 0, (vms, per_s))
            # The other copy takes what this one does not.
            self.assertEqual({ForwardReply}, answer_types(fleet))

    def test_all_copies_limited(self) -> None:
        """The copies get nearly what they take, and the rest is refused."""
        for vms, per_s in ((6, 8), (67, 8), (67, 2)):
            limits = {'s0-0': per_s, 's0-1': per_s}
            fleet = LimitedFleet(vms, vms, 2, limits)
            fleet.play(30, 40)
            for upstream_id in limits:
                self.assertLessEqual(fleet.excess(upstream_id, per_s), 0)
            served = sum(
                isinstance(answer, ForwardReply)
                for at, answer in fleet.answers
                if at > 5
            )
            self.assertGreater(served, 0.7 * 2 * per_s * 25, (vms, per_s))
            refused = [
                answer
                for _, answer in fleet.answers
                if isinstance(answer, Refusal)
            ]
            self.assertEqual(
                {'rate-limit'}, {answer.reason for answer in refused}
            )
            self.assertGreater(min(one.retry_after for one in refused), 0)

    def test_gathers_use_permits_as_a_whole(self) -> None:
        """With all shards limited, some gathers are whole, others refused.

        Otherwise each would get some of its shards, and too few.
        """
        services = tuple(f's{number}' for number in range(20))
        limits = {
            f'{service}-{copy}': 10.0 for service in services for copy in (0, 1)
        }
        fleet = LimitedFleet(3, 6, 2, limits, services)
        fleet.route = replace(make_gather_route(20, 0.9), target=0.09)
        fleet.play(20, 45)
        for upstream_id, per_s in limits.items():
            self.assertLessEqual(fleet.excess(upstream_id, per_s), 0)
        late_answers = [answer for at, answer in fleet.answers if at > 5]
        merged = [one for one in late_answers if isinstance(one, MergedAnswer)]
        self.assertGreater(len(merged), 0.6 * 20 * 15)
        self.assertEqual({MergedAnswer, Refusal}, answer_types(fleet))

    def test_limit_under_faults(self) -> None:
        """VMs lag, pause, restart and are cut off; messages are lost."""
        for seed in range(_SEEDS):
            fleet = LimitedFleet(seed, 5 + seed, 2, {'s0-0': 6.0})
            if seed % 2:
                fleet.per_s_by_upstream['s0-1'] = 4.0
            fleet.loss_rate = fleet.rng.choice((0, 0.02, 0.2))
            for _ in range(14):
                at = fleet.rng.random() * 30
                name = fleet.rng.choice(sorted(fleet.vm_by_name))
                fault = fleet.rng.choice(
                    (pause_vm, restart_vm, cut_vm, cut_from_store)
                )
                fleet.schedule(at, partial(fault, fleet, name))
            end_limit = partial(fleet.per_s_by_upstream.pop, 's0-1', 0)
            fleet.schedule(_ENDED_AT, end_limit)
            lower_limit = partial(fleet.per_s_by_upstream.update, {'s0-0': 3.0})
            fleet.schedule(_LOWERED_AT, lower_limit)
            for tenth in range(300):
                fleet.schedule(
                    tenth / 10, partial(self.check_holders, fleet, seed)
                )
            fleet.play(35, 50)
            excesses = (
                fleet.excess('s0-0', 6),
                fleet.excess('s0-0', 3, since=_LOWERED_AT + 4),
                fleet.excess('s0-1', 4, until=_ENDED_AT),
            )
            self.assertLessEqual(max(excesses), 0, (seed, excesses))

    # Guards against a lease that is free, or another VM's, in an older copy of
    # the store, while its holder still issues permits.
    def test_restored_store(self) -> None:
        """The store comes back from copies that are up to 10 s old."""
        for seed in range(2 * _SEEDS):
            fleet = LimitedFleet(seed, 6, 1, {'s0-0': 6.0})
            fleet.loss_rate = fleet.rng.choice((0, 0.05))
            for _ in range(4):
                fleet.schedule(
                    fleet.rng.random() * 30,
                    partial(fleet.restore_store, fleet.rng.random() * 10),
                )
            for _ in range(6):
                name = fleet.rng.choice(sorted(fleet.vm_by_name))
                fault = fleet.rng.choice((pause_vm, restart_vm))
                fleet.schedule(
                    fleet.rng.random() * 30, partial(fault, fleet, name)
                )
            for tenth in range(400):
                fleet.schedule(
                    tenth / 10, partial(self.check_holders, fleet, seed)
                )
            fleet.play(40, 30)
            self.assertLessEqual(fleet.excess('s0-0', 6), 0, seed)

    def check_holders(self, fleet: LimitedFleet, seed: int) -> None:
        """Check that at most one VM may issue permits."""
        self.assertLessEqual(len(fleet.holders), 1, seed)

    def test_end_of_limit(self) -> None:
        """After the limit has ended, the upstream gets its full rate again."""
        fleet = LimitedFleet(4, 6, 1, {'s0-0': 3.0})
        fleet.schedule(10, partial(fleet.per_s_by_upstream.pop, 's0-0'))
        fleet.play(20, 40)
        served = sum(
            isinstance(answer, ForwardReply)
            for at, answer in fleet.answers
            if at > 14
        )
        self.assertGreater(served, 0.95 * 40 * 6)


def answer_types(fleet: LimitedFleet) -> set[type]:
    """Return the types of the answers that callers got."""
    return {type(answer) for _, answer in fleet.answers}


def pause_vm(fleet: LimitedFleet, name: str) -> None:
    """Pause a VM for up to 12 s, longer than the lease."""
    fleet.vm_by_name[name].paused_until = fleet.now + fleet.rng.random() * 12


def restart_vm(fleet: LimitedFleet, name: str) -> None:
    """Replace the process of a VM."""
    fleet.start_vm(name)


def cut_vm(fleet: LimitedFleet, name: str) -> None:
    """Cut a VM off from the others for a while."""
    fleet.vm_by_name[name].cut_until = fleet.now + fleet.rng.random() * 15


def cut_from_store(fleet: LimitedFleet, name: str) -> None:
    """Cut a VM off from the store for a while."""
    fleet.vm_by_name[name].store_cut_until = fleet.now + fleet.rng.random() * 15
