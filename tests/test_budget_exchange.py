"""Borrowing and lending of extra sends between VMs, on loopback."""

from asyncio import get_running_loop, run, sleep
from time import monotonic

from testtools import TestCase

from sesametrack.programs.budget_exchange import BudgetExchange
from sesametrack.routing.budget_holders import BudgetHolders
from sesametrack.routing.retry_budget import BudgetRule, RetryBudget
from sesametrack.telemetry.metrics import Metrics
from sesametrack.vms.watchers import FleetVm

_HOST = '127.1.4.3'
_FIRST_PORT = 9440
_VMS = 5
_SERVICE = 'card'
_RULE = BudgetRule(0, 10, 10)
# Longer than two holders take to be found silent.
_ANSWERED_S = 0.04


class Vm:
    """One VM that borrows and lends."""

    def __init__(self, own: FleetVm, fleet: list[FleetVm]) -> None:
        """Create the budget of a process that has run for long."""
        self.address = own.budget_address
        self.holders = BudgetHolders(own.vm, own.failure_domain)
        self.holders.apply_fleet(fleet)
        self.budget = RetryBudget(_RULE, monotonic() - 60)
        self.budget.set_shares(self.holders)
        self.exchange = BudgetExchange(
            own.budget_address,
            self.budget,
            self.holders,
            Metrics(None, ''),
            get_running_loop(),
            monotonic,
        )

    async def obtain(self) -> bool:
        """Return whether an extra send can be had from anywhere."""
        if self.budget.spend(_SERVICE, monotonic()):
            return True
        if not self.budget.may_borrow(_SERVICE, monotonic()):
            return False
        self.exchange.borrow(_SERVICE)
        await sleep(_ANSWERED_S)
        return self.budget.spend(_SERVICE, monotonic())


class BudgetExchangeTest(TestCase):
    """A VM without a share borrows from the holders until they have none."""

    def test_borrow(self) -> None:
        """Both holders lend what they have, and no more."""
        run(self.check_borrowing(lost=0, expected=6))

    def test_lost_holder(self) -> None:
        """A silent holder is passed over."""
        run(self.check_borrowing(lost=1, expected=1))

    async def check_borrowing(self, *, lost: int, expected: int) -> None:
        """Borrow until nothing is left; the first holders don't reply.

        The first holder has 0.75 of the slack of 10, the second one the rest,
        and a process uses 0.7 of that: 5 and 1 extra sends.
        """
        fleet = [
            FleetVm(
                f'vm-{number}',
                'north',
                '',
                '',
                budget_address=f'{_HOST}:{_FIRST_PORT + number}',
            )
            for number in range(_VMS)
        ]
        vms = [Vm(one, fleet) for one in fleet]
        holders = sorted(
            (vm for vm in vms if vm.holders.fraction(_SERVICE)),
            key=lambda vm: -vm.holders.fraction(_SERVICE),
        )
        borrower = next(vm for vm in vms if vm not in holders)
        silent = holders[:lost]
        running = [vm for vm in vms if vm not in silent]
        for vm in running:
            await vm.exchange.start()
        obtained = 0
        while await borrower.obtain():
            obtained += 1
        self.assertFalse(borrower.budget.may_borrow(_SERVICE, monotonic()))
        for vm in running:
            await vm.exchange.close()
        self.assertEqual(2, len(holders))
        self.assertEqual(expected, obtained)
