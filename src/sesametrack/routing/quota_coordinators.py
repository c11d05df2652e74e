"""What this VM knows of the coordinators of quotas."""

from collections import Counter
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from sesametrack.contracts.quotas import QuotaNotice
from sesametrack.contracts.types import (
    Address,
    FailureDomainId,
    Instant,
    Seconds,
    VmId,
)

# Unanswered requests in a row after which a coordinator is given up.
_MAX_SILENT_REQUESTS = 3
# A coordinator tells its domain of itself at each renewal of its lease.
_MAX_NOTICE_AGE: Seconds = 6
# VMs of each domain that look for a coordinator before any request needs it.
_CANDIDATES = 2


class QuotaCoordinators:
    """Addresses of the coordinators by failure domain."""

    def __init__(self, domain: FailureDomainId, now: Instant) -> None:
        """Know none yet; `domain` is that of this VM."""
        self.address_by_domain: dict[FailureDomainId, Address] = {}
        self._domain = domain
        self._heard_at = now
        self._silences: Counter[FailureDomainId] = Counter()

    @property
    def is_own_known(self) -> bool:
        """Return whether the coordinator of the own domain is known."""
        return self._domain in self.address_by_domain

    def needs_search(self, now: Instant) -> bool:
        """Return whether the own domain may have no coordinator."""
        return not self.is_own_known or now > self._heard_at + _MAX_NOTICE_AGE

    def record_own(self, address: Address, now: Instant) -> bool:
        """Record the own domain's coordinator; return whether it is new."""
        is_new = self.address_by_domain.get(self._domain) != address
        self.address_by_domain[self._domain] = address
        self._heard_at = now
        self._silences.pop(self._domain, None)
        return is_new

    def record_reply(self, domain: FailureDomainId) -> None:
        """Record that a coordinator has replied."""
        self._silences.pop(domain, None)

    def record_silence(self, domain: FailureDomainId) -> bool:
        """Record a request without reply; return whether to give it up."""
        self._silences[domain] += 1
        return self._silences[domain] >= _MAX_SILENT_REQUESTS

    def forget(self, domain: FailureDomainId) -> Address | None:
        """Give a coordinator up; return its address if it was known."""
        self._silences.pop(domain, None)
        return self.address_by_domain.pop(domain, None)

    def record_notice(
        self, notice: QuotaNotice, sender: Address
    ) -> Address | None:
        """Record what a coordinator tells of itself and of others.

        Return its address if it is that of the own domain. What it tells of
        others may be old, so it counts only for those that are unknown.
        """
        told = dict(notice.address_by_domain)
        sender_domain = next(iter(told), None)
        if sender_domain is None or told.pop(sender_domain) != sender:
            return None
        told.pop(self._domain, None)
        for domain, address in told.items():
            self.address_by_domain.setdefault(domain, address)
        if sender_domain == self._domain:
            return sender
        self.address_by_domain[sender_domain] = sender
        return None


def is_lease_candidate(vm: VmId, neighbors: Iterable[VmId]) -> bool:
    """Return whether a VM looks for its domain's coordinator unasked.

    `neighbors` are the other VMs of its failure domain.
    """
    ranked = sorted(
        (vm, *neighbors),
        key=lambda one: xxh3_64_intdigest(f'quotas|{one}'.encode()),
    )
    return vm in ranked[:_CANDIDATES]
