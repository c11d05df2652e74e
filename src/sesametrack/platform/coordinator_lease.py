"""Keeps the lease of a coordinator in the store."""

from asyncio import Event, Task, create_task, sleep, wait_for
from collections.abc import Callable
from contextlib import suppress
from logging import getLogger
from random import Random
from typing import Protocol

from msgspec import ValidationError, convert

from sesametrack.contracts.exceptions import (
    ConflictError,
    PlatformError,
    StoreRestoredError,
)
from sesametrack.contracts.rollouts import RolloutSpending
from sesametrack.contracts.types import Address, Instant, Seconds, VmId
from sesametrack.platform.pages import StoreObject
from sesametrack.platform.store import StoreConnection
from sesametrack.telemetry.structured_log import log_event
from sesametrack.vms.coordinator import (
    IDLE_TIME,
    RENEWAL_INTERVAL,
    CoordinatorLease,
    LeaseClaim,
    LeaseStep,
)

_OBJECT_KIND = 'sesametrack-coordinators'
UPSTREAM_RATES = 'upstream-rates'
# VMs may seek the coordinator at the same time, so each waits at random, up to
# this time for each VM of the fleet. The first one that takes the lease tells
# them, some milliseconds later, so few VMs of any fleet call the store. A VM
# that seeks it alone must not wait for long.
_START_DELAY_PER_VM: Seconds = 0.03
_MAX_START_DELAY: Seconds = 1
_RETRY_DELAY: Seconds = 1
_TOKEN_BITS = 62

_log = getLogger('coordinator')


class LeaseListener(Protocol):
    """Callbacks of the lease."""

    def on_lease_taken(self, *, is_first: bool) -> None:
        """Issue permits; `is_first` if no VM has ever held the lease."""

    def on_lease_renewed(self) -> None:
        """Handle that the lease was renewed."""

    def on_coordinator_found(self, address: Address) -> None:
        """Handle that another VM holds the lease."""


class LeaseKeeper:
    """Takes the lease when it is sought, and renews it while it is used."""

    def __init__(
        self,
        store: Address,
        vm: VmId,
        address: Address,
        listener: LeaseListener,
        now: Callable[[], Instant],
        rng: Random,
        name: str = UPSTREAM_RATES,
    ) -> None:
        """Set the store and what to write into the lease of this name."""
        self._name = name
        self.lease = CoordinatorLease(vm, address)
        self._connection = StoreConnection(store)
        self._listener = listener
        self._now = now
        self._rng = rng
        self.fleet_size = 1
        # Returns what to write of orders; None keeps what is written.
        self.get_rollouts: Callable[[], dict[str, RolloutSpending] | None] = (
            lambda: None
        )
        # Whether the claim that was replaced told what was spent on orders.
        self.is_spending_known = True
        # Of the claim that was replaced, 0 if there was none.
        self.replaced_renewals = 0
        self._revision = 0
        self._may_read_stale = True
        # The latest era of the store, and since when this VM knows it.
        self._era = 0
        self._era_since = now()
        self._used_at: Instant = float('-inf')
        self._sought = Event()
        self._is_stopping = False
        self._task: Task | None = None

    @property
    def calls(self) -> int:
        """Number of calls made to the store."""
        return self._connection.calls

    async def start(self) -> None:
        """Wait until the coordinator is sought."""
        self._task = create_task(self._run())

    async def close(self) -> None:
        """Stop without a call to the store."""
        if self._task is not None:
            self._task.cancel()
        self._connection.close()

    @property
    def is_held(self) -> bool:
        """Return whether this VM may issue permits now."""
        return self.lease.is_held(self._now())

    def observe_era(self, era: int) -> None:
        """Record the era of the store that a reply has shown."""
        if era > self._era:
            self._era = era
            self._era_since = self._now()

    def record_use(self) -> None:
        """Keep the lease: permits are being requested."""
        self._used_at = self._now()

    def seek(self) -> None:
        """Find the coordinator, or become it."""
        if not self._is_stopping and not self.is_held:
            self._sought.set()

    def renew_soon(self) -> None:
        """Write the claim without waiting for the next renewal."""
        if self.is_held:
            self._sought.set()

    def stop_seeking(self) -> None:
        """Handle that another VM is known to be the coordinator."""
        self._sought.clear()

    def stop(self) -> None:
        """Give up the lease, since this VM shuts down."""
        self._is_stopping = True
        self._sought.set()

    async def _run(self) -> None:
        while self.lease.is_claimed or not self._is_stopping:
            try:
                await self._step()
            except PlatformError as error:
                log_event(_log, 'lease-call-failed', problem=str(error))
                await sleep(_RETRY_DELAY)

    async def _step(self) -> None:
        if self.lease.is_claimed:
            await self._hold()
            return
        await self._sought.wait()
        longest = min(_MAX_START_DELAY, _START_DELAY_PER_VM * self.fleet_size)
        await sleep(self._rng.random() * longest)
        if self._sought.is_set() and not self._is_stopping:
            self._sought.clear()
            await self._look_up()

    async def _hold(self) -> None:
        """Renew the lease after a while, or release it."""
        with suppress(TimeoutError):
            await wait_for(self._sought.wait(), RENEWAL_INTERVAL)
        self._sought.clear()
        if not self.lease.is_of_era(self._era):
            await self._read_after_restore()
        if not self.lease.is_claimed:
            return
        if self._is_stopping or self._now() > self._used_at + IDLE_TIME:
            await self._release()
            return
        try:
            await self._write(
                self.lease.make_renewal(self._era, self.get_rollouts())
            )
        except StoreRestoredError:
            # The next round reads what the store has now.
            self._sought.set()
            return
        except ConflictError:
            self.lease.record_lost()
            log_event(_log, 'lease-lost', 30)
            return
        self._listener.on_lease_renewed()

    async def _release(self) -> None:
        claim = self.lease.make_release(self._era)
        self.lease.record_lost()
        log_event(_log, 'lease-released', is_stopping=self._is_stopping)
        await self._connection.replace_unchanged(
            _OBJECT_KIND, self._name, claim, self._revision
        )

    async def _read_after_restore(self) -> None:
        """Get the revision at which to write the lease again.

        No other VM takes the lease while this one holds it, so it may replace
        what the copy has.
        """
        found = await self._read(allow_stale=False)
        self._revision = 0 if found is None else found.meta.rev
        if not self.is_held:
            self.lease.record_lost()
        log_event(
            _log, 'lease-restored', 30, era=self._era, is_held=self.is_held
        )

    async def _look_up(self) -> None:
        """Read the lease; take it, or follow its holder."""
        # A stale copy costs less. It can't lead to a second holder, as the
        # write is refused if the lease has changed.
        found = await self._read(allow_stale=self._may_read_stale)
        self._may_read_stale = True
        claim = None if found is None else _decode_claim(found)
        step = self.lease.observe(
            claim, self._era, self._era_since, self._now()
        )
        if step is LeaseStep.follow:
            log_event(_log, 'lease-found', vm=claim.vm, renewals=claim.renewals)
            self._listener.on_coordinator_found(claim.address)
        if step is not LeaseStep.take:
            await sleep(_RETRY_DELAY * (0.5 + self._rng.random()))
            return
        self._revision = 0 if found is None else found.meta.rev
        token = self._rng.getrandbits(_TOKEN_BITS)
        spent = {} if claim is None else claim.rollouts
        is_known = claim is not None and claim.era == self._era
        self.replaced_renewals = claim.renewals if is_known else 0
        self.is_spending_known = found is None or is_known
        try:
            await self._write(self.lease.make_claim(token, self._era, spent))
        except ConflictError:
            # Another VM was faster, or the copy was stale.
            self._may_read_stale = False
            self._sought.set()
            return
        log_event(_log, 'lease-taken', before=claim.vm if claim else '')
        self._listener.on_lease_taken(is_first=found is None)

    async def _read(self, *, allow_stale: bool) -> StoreObject | None:
        objects, _ = await self._connection.list_objects(
            _OBJECT_KIND, allow_stale=allow_stale
        )
        self._note_era()
        return next(
            (one for one in objects if one.meta.name == self._name), None
        )

    async def _write(self, claim: LeaseClaim) -> None:
        started_at = self._now()
        if self._revision:
            self._revision = await self._connection.replace_unchanged(
                _OBJECT_KIND, self._name, claim, self._revision
            )
        else:
            self._revision = await self._connection.create(
                _OBJECT_KIND, self._name, claim
            )
        self._note_era()
        if claim.era != self._era:
            # A revision of the former history may have been given out again.
            raise StoreRestoredError('the write was made in another era')
        self.lease.record_written(claim, started_at)

    def _note_era(self) -> None:
        if self._connection.era is not None:
            self.observe_era(self._connection.era)


def _decode_claim(store_object: StoreObject) -> LeaseClaim | None:
    try:
        return convert(store_object.spec, LeaseClaim)
    except ValidationError as error:
        log_event(_log, 'lease-unreadable', 30, problem=str(error))
        return None
