"""Rules that operators apply to the inventory."""

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct

from sesametrack.contracts.decoding import decode_json
from sesametrack.contracts.exceptions import RulesError
from sesametrack.contracts.inventory import Inventory
from sesametrack.contracts.types import (
    FailureDomainId,
    Seconds,
    ServiceId,
    VmId,
)

_Share = Annotated[float, Meta(ge=0, le=1)]
_DurationMs = Annotated[int, Meta(ge=1, le=600_000)]
_Weight = Annotated[int, Meta(ge=1, le=100)]
_MS_PER_SECOND = 1000


class Preference(Enum):
    """What a service prefers to keep: coverage or its target latency."""

    coverage = 'coverage'
    latency = 'latency'


class ServiceRules(Struct, forbid_unknown_fields=True, frozen=True):
    """Rules of one service.

    `deadline_ms` bounds the time to every answer. A service that prefers
    latency returns a partial answer after `target_ms`, provided that it
    covers at least `least_coverage` of the key space. Budgets are fractions
    of the number of primary sub-queries.
    """

    prefers: Preference = Preference.coverage
    deadline_ms: _DurationMs = 1000
    target_ms: _DurationMs = 180
    least_coverage: _Share = 0
    hedge_budget: _Share = 0.05
    retry_budget: _Share = 0.1
    weight: _Weight = 1

    @property
    def deadline(self) -> Seconds:
        """Maximum time to an answer."""
        return self.deadline_ms / _MS_PER_SECOND

    @property
    def target(self) -> Seconds:
        """Time after which a partial answer is preferred to waiting."""
        return self.target_ms / _MS_PER_SECOND


class Rules(Struct, forbid_unknown_fields=True, frozen=True):
    """Rules of all services, and what operators took out of service."""

    default: ServiceRules = ServiceRules()
    services: dict[ServiceId, ServiceRules] = {}
    failure_domains_out: list[FailureDomainId] = []
    vms_out: list[VmId] = []

    def for_service(self, service: ServiceId) -> ServiceRules:
        """Return the rules of a service, or the default rules."""
        return self.services.get(service, self.default)


def read_rules(text: bytes | str, source: str, inventory: Inventory) -> Rules:
    """Return rules validated against an inventory; raises RulesError."""
    rules = decode_json(text, Rules, source, RulesError)
    check_rules(rules, source, inventory)
    return rules


def check_rules(rules: Rules, source: str, inventory: Inventory) -> None:
    """Validate rules against an inventory.

    Raises RulesError for a service or failure domain that is not in the
    inventory, and for a target time above the deadline.
    """
    for service, service_rules in rules.services.items():
        path = f'$.services.{service}'
        if service not in inventory.service_by_id:
            raise RulesError(
                source, path, 'is not a service of the inventory', service
            )
        if service_rules.target_ms > service_rules.deadline_ms:
            raise RulesError(
                source,
                f'{path}.target_ms',
                'is greater than `deadline_ms`',
                service_rules.target_ms,
            )
    for index, domain in enumerate(rules.failure_domains_out):
        if domain not in inventory.region_by_failure_domain:
            raise RulesError(
                source,
                f'$.failure_domains_out[{index}]',
                'is not a failure domain of the inventory',
                domain,
            )
