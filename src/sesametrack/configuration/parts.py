"""The accepted configuration, stored in parts by failure domain."""

from dataclasses import dataclass

from msgspec import Struct, to_builtins
from msgspec.json import decode, encode
from xxhash import xxh3_128_hexdigest

from sesametrack.contracts.decoding import convert_decoded
from sesametrack.contracts.exceptions import (
    InputError,
    InventoryError,
    RulesError,
)
from sesametrack.contracts.inventory import (
    Inventory,
    InventoryModel,
    build_inventory,
)
from sesametrack.contracts.rules import Rules, check_rules
from sesametrack.contracts.types import Digest, Revision

HEAD_KEY = 'configuration/head'
PART_PREFIX = 'configuration/parts/'
LEAVING_PREFIX = 'status/leaving/'
_MAX_HISTORY = 64
_RULES_PART = 'rules'
_BASE_PART = 'base'
_SEARCHERS_PREFIX = 'searchers/'


class Head(Struct, frozen=True):
    """The parts that make up a revision; writing it commits the revision.

    `change_id` identifies the operator's change that made the revision, so
    that the outcome of a write whose reply was lost can be determined.
    `history` holds the change ids of the previous revisions, latest first.
    """

    revision: Revision
    change_id: str
    digest_by_part: dict[str, Digest]
    history: list[str] = []

    def change_id_at(self, revision: Revision) -> str | None:
        """Return the change id of a revision; None if it is not known."""
        changes = [self.change_id, *self.history]
        age = self.revision - revision
        return changes[age] if 0 <= age < len(changes) else None


@dataclass(frozen=True, slots=True)
class Configuration:
    """An accepted configuration, validated and indexed."""

    head: Head
    inventory: Inventory
    rules: Rules


def encode_parts(inventory: InventoryModel, rules: Rules) -> dict[str, bytes]:
    """Encode a configuration in parts, with searchers by failure domain.

    This limits the size of a single part in a large fleet.
    """
    plain = to_builtins(inventory)
    searchers = plain.pop('searchers')
    parts = {
        _BASE_PART: _encode_deterministically(plain),
        _RULES_PART: _encode_deterministically(to_builtins(rules)),
    }
    for domain in inventory.failure_domains:
        domain_searchers = [
            searcher
            for searcher in searchers
            if searcher['failure_domain'] == domain.id
        ]
        parts[_SEARCHERS_PREFIX + domain.id] = _encode_deterministically(
            domain_searchers
        )
    return parts


def part_digest(part: bytes) -> Digest:
    """Return the digest under which a part is stored."""
    return xxh3_128_hexdigest(part)


def next_head(
    previous: Head | None, change_id: str, parts: dict[str, bytes]
) -> Head:
    """Return the head of the revision that follows the previous one."""
    digests = {name: part_digest(part) for name, part in parts.items()}
    if previous is None:
        return Head(1, change_id, digests)
    history = [previous.change_id, *previous.history][:_MAX_HISTORY]
    return Head(previous.revision + 1, change_id, digests, history)


def decode_inventory(parts: dict[str, bytes], source: str) -> InventoryModel:
    """Decode the inventory from its parts; raises InventoryError."""
    plain = decode(parts[_BASE_PART])
    plain['searchers'] = [
        searcher
        for name in sorted(parts)
        if name.startswith(_SEARCHERS_PREFIX)
        for searcher in decode(parts[name])
    ]
    return convert_decoded(plain, InventoryModel, source, InventoryError)


def decode_rules(parts: dict[str, bytes], source: str) -> Rules:
    """Decode the rules of a configuration; raises RulesError."""
    return convert_decoded(
        decode(parts[_RULES_PART]), Rules, source, RulesError
    )


def build_configuration(
    head: Head,
    parts_by_digest: dict[Digest, bytes],
    previous: Configuration | None = None,
) -> Configuration:
    """Decode and validate a configuration; raises InputError.

    The inventory of the previous configuration is reused if only the rules
    changed.
    """
    source = f'revision {head.revision}'
    parts = {}
    for name, digest in head.digest_by_part.items():
        if digest not in parts_by_digest:
            raise InputError(source, f'$.{name}', 'is missing', digest)
        parts[name] = parts_by_digest[digest]
        if part_digest(parts[name]) != digest:
            raise InputError(
                source, f'$.{name}', 'does not match its digest', digest
            )
    if previous is not None and _has_same_inventory(head, previous.head):
        inventory = previous.inventory
    else:
        inventory = build_inventory(decode_inventory(parts, source), source)
    rules = decode_rules(parts, source)
    check_rules(rules, source, inventory)
    return Configuration(head, inventory, rules)


def _has_same_inventory(head: Head, previous: Head) -> bool:
    parts = {**head.digest_by_part, _RULES_PART: ''}
    return parts == {**previous.digest_by_part, _RULES_PART: ''}


def _encode_deterministically(plain: object) -> bytes:
    return encode(plain, order='deterministic')
