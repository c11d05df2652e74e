"""Budgets of extra sends in whole fleets, in virtual time and without sockets.

The pattern: a few searchers of one service fail part of their requests, and
each of hundreds of VMs gets such a request only now and then.
"""

from dataclasses import dataclass, field
from random import Random

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from sesametrack.routing.aggregators import ShardGroup
from sesametrack.routing.budget_holders import BudgetHolders
from sesametrack.routing.retry_budget import BudgetRule, RetryBudget
from sesametrack.vms.watchers import FleetVm

_SERVICE = 'card'
_RULE = BudgetRule(0.2, 10, 430)
_STEP_S = 0.05
# Requests of a service with single replies on the large deployment, and of one
# of its shards, per second over all VMs.
_SINGLE_PER_S = 6
_SHARD_PER_S = 24
_FAILING_SHARE = 0.4
_TIGHT_RULE = BudgetRule(0.2, 10, 20)


def make_fleet(size: int, domains: int) -> list[FleetVm]:
    """Return VMs that are evenly distributed over failure domains."""
    return [
        FleetVm(
            f'vm-{number}',
            f'd{number % domains}',
            '',
            '',
            budget_address=f'vm-{number}',
        )
        for number in range(size)
    ]


@dataclass
class VmModel:
    """One process of one VM, with its own view of the fleet."""

    vm: FleetVm
    fleet: list[FleetVm]
    rule: BudgetRule
    started_at: float
    groups: list[ShardGroup] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Learn the fleet."""
        self.holders = BudgetHolders(self.vm.vm, self.vm.failure_domain)
        self.budget = RetryBudget(self.rule, self.started_at)
        self.budget.set_shares(self.holders)
        self.learn(self.fleet)

    def learn(self, fleet: list[FleetVm]) -> None:
        """Replace the view of the fleet."""
        self.holders.apply_fleet(fleet)
        self.holders.apply_groups(self.groups)


@dataclass
class BudgetFleet:
    """A fleet whose VMs lend each other extra sends without delay."""

    size: int
    domains: int = 5
    rule: BudgetRule = _RULE
    seed: int = 1
    groups: list[ShardGroup] = field(default_factory=list)
    now: float = 0
    requests: list[float] = field(default_factory=list)
    extras: list[float] = field(default_factory=list)
    refused: int = 0

    def __post_init__(self) -> None:
        """Start all VMs long ago."""
        self.rng = Random(self.seed)
        self.fleet = make_fleet(self.size, self.domains)
        self.model_by_vm = {one.vm: self.start(one, -60) for one in self.fleet}

    def start(self, vm: FleetVm, at: float) -> VmModel:
        """Return a new process of a VM that knows the whole fleet."""
        return VmModel(vm, self.fleet, self.rule, at, self.groups)

    def send(self, vm: str, *, extra_sends: int) -> None:
        """Send a request at a VM, and extra sends if the budget has them."""
        model = self.model_by_vm[vm]
        model.budget.record_request(_SERVICE, self.now)
        self.requests.append(self.now)
        for _ in range(extra_sends):
            if self.spend(model):
                self.extras.append(self.now)
            else:
                self.refused += 1

    def spend(self, model: VmModel) -> bool:
        """Spend one extra send of a VM, borrowed if it has none itself."""
        if model.budget.spend(_SERVICE, self.now):
            return True
        for lender in model.holders.lenders(_SERVICE):
            holder = self.model_by_vm.get(lender)
            if holder and holder.budget.spend_own(_SERVICE, self.now):
                model.budget.add_borrowed(_SERVICE, self.now)
                return model.budget.spend(_SERVICE, self.now)
        return False

    def extras_allowed(self, window: float) -> bool:
        """Return whether the window that ends now keeps the rule."""
        first = self.now - window
        spent = sum(1 for at in self.extras if at > first)
        sent = sum(1 for at in self.requests if at > first - window)
        return spent <= self.rule.ratio * sent + self.rule.slack


class SharedBudgetTest(TestCase):
    """Failing requests get their retry wherever they arrive."""

    def test_rare_requests(self) -> None:
        """Each VM gets a request of the service once in half a minute.

        Guards against a budget that lies idle: with equal shares each of 195
        VMs had one extra send in ten seconds, none after its start, and the
        large deployment failed hundreds of requests for want of one.
        """
        for size in (67, 195, 1000, 3100):
            fleet = BudgetFleet(size)
            self.play(fleet, _SINGLE_PER_S, list(fleet.model_by_vm))
            self.assertEqual(0, fleet.refused, size)

    def test_one_busy_vm(self) -> None:
        """All failing requests arrive at one VM of a failure domain."""
        fleet = BudgetFleet(195)
        self.play(fleet, _SINGLE_PER_S, ['vm-7'])
        self.assertEqual(0, fleet.refused)

    def test_shards(self) -> None:
        """Each domain's requests for a shard come from its aggregator."""
        ranked = {
            domain: tuple(
                one.vm
                for one in make_fleet(195, 5)
                if one.failure_domain == f'd{domain}'
            )[3:5]
            for domain in range(5)
        }
        fleet = BudgetFleet(195)
        for model in fleet.model_by_vm.values():
            number = int(model.vm.failure_domain.removeprefix('d'))
            model.groups = [ShardGroup((_SERVICE,), ranked[number])]
            model.learn(fleet.fleet)
        self.play(
            fleet, _SHARD_PER_S, [vms[0] for vms in ranked.values()], share=0.9
        )
        self.assertEqual(0, fleet.refused)

    def play(
        self,
        fleet: BudgetFleet,
        per_s: float,
        vms: list[str],
        share: float = _FAILING_SHARE,
    ) -> None:
        """Send requests at these VMs for 30 s; a share needs an extra send."""
        due = 0.0
        while fleet.now < 30:
            fleet.now += _STEP_S
            due += per_s * _STEP_S
            while due >= 1:
                due -= 1
                is_failing = fleet.rng.random() < share
                fleet.send(fleet.rng.choice(vms), extra_sends=int(is_failing))
        self.assertTrue(fleet.extras_allowed(fleet.rule.window))


_ACTION = st.tuples(
    st.integers(0, 11),
    st.sampled_from(('send', 'send', 'send', 'restart', 'forget', 'learn')),
    st.floats(0, 1),
)


class BoundTest(TestCase):
    """The budget holds whatever the VMs ask for."""

    @given(st.lists(_ACTION, max_size=150))
    def test_restarts(self, actions: list) -> None:
        """VMs restart, and some don't know the fleet for a while.

        A VM without a view of the fleet has no share of the slack.
        """
        fleet = BudgetFleet(12, domains=3, rule=_TIGHT_RULE)
        started_at = dict.fromkeys(fleet.model_by_vm, -60.0)
        for number, kind, pause in actions:
            fleet.now += pause
            vm = f'vm-{number}'
            model = fleet.model_by_vm[vm]
            if kind == 'send':
                fleet.send(vm, extra_sends=6)
            elif kind == 'learn':
                model.learn(fleet.fleet)
            elif kind == 'forget' or fleet.now - started_at[vm] > 10:
                started_at[vm] = fleet.now
                fleet.model_by_vm[vm] = fleet.start(model.vm, fleet.now)
                if kind == 'forget':
                    fleet.model_by_vm[vm].learn([])
            self.assertTrue(fleet.extras_allowed(_TIGHT_RULE.window))

    @given(st.lists(st.integers(1, 24), min_size=1, max_size=6))
    def test_fractions(self, sizes: list[int]) -> None:
        """The fractions of all VMs add up to at most one."""
        fleet = [
            FleetVm(f'vm-{domain}-{number}', f'd{domain}', '', '')
            for domain, size in enumerate(sizes)
            for number in range(size)
        ]
        total = 0.0
        for one in fleet:
            holders = BudgetHolders(one.vm, one.failure_domain)
            holders.apply_fleet(fleet)
            total += holders.fraction(_SERVICE)
        self.assertLessEqual(total, 1 + 1e-9)
        self.assertGreater(total, 0.99 if max(sizes) > 1 else 0.7)
