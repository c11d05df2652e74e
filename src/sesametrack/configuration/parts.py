"""The accepted configuration, cut into parts by failure domain."""

from dataclasses import dataclass

from msgspec import Struct, to_builtins
from msgspec.json import decode, encode
from xxhash import xxh3_128_hexdigest

from sesametrack.contracts.decoding import convert_plain
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
_KEPT_CHANGES = 64
_RULES = 'rules'
_BASE = 'base'
_SEARCHERS = 'searchers/'


class Head(Struct, frozen=True):
    """The commit point: which parts make up a revision.

    `change_id` names the operator's change that made it, so that a write
    whose reply was lost can be recognised; `history` has the change ids of
    the revisions before, the latest first.
    """

    revision: Revision
    change_id: str
    digest_by_part: dict[str, Digest]
    history: list[str] = []

    def change_id_at(self, revision: Revision) -> str | None:
        """Return the change that made a revision; None if not known."""
        changes = [self.change_id, *self.history]
        age = self.revision - revision
        return changes[age] if 0 <= age < len(changes) else None


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted configuration, validated and indexed."""

    head: Head
    inventory: Inventory
    rules: Rules


def encode_parts(inventory: InventoryModel, rules: Rules) -> dict[str, bytes]:
    """Encode a configuration as parts that each stay small at any size."""
    plain = to_builtins(inventory)
    searchers = plain.pop('searchers')
    parts = {_BASE: _encode(plain), _RULES: _encode(to_builtins(rules))}
    for domain in inventory.failure_domains:
        near = [
            searcher
            for searcher in searchers
            if searcher['failure_domain'] == domain.id
        ]
        parts[_SEARCHERS + domain.id] = _encode(near)
    return parts


def part_digest(part: bytes) -> Digest:
    """Return the name under which a part is stored."""
    return xxh3_128_hexdigest(part)


def next_head(
    former: Head | None, change_id: str, parts: dict[str, bytes]
) -> Head:
    """Return the head that commits these parts after a former one."""
    digests = {name: part_digest(part) for name, part in parts.items()}
    if former is None:
        return Head(1, change_id, digests)
    history = [former.change_id, *former.history][:_KEPT_CHANGES]
    return Head(former.revision + 1, change_id, digests, history)


def decode_inventory(parts: dict[str, bytes], source: str) -> InventoryModel:
    """Put the inventory together again; raises InventoryError."""
    plain = decode(parts[_BASE])
    plain['searchers'] = [
        searcher
        for name in sorted(parts)
        if name.startswith(_SEARCHERS)
        for searcher in decode(parts[name])
    ]
    return convert_plain(plain, InventoryModel, source, InventoryError)


def decode_rules(parts: dict[str, bytes], source: str) -> Rules:
    """Decode the rules of a configuration; raises RulesError."""
    return convert_plain(decode(parts[_RULES]), Rules, source, RulesError)


def build_configuration(
    head: Head,
    parts_by_digest: dict[Digest, bytes],
    former: Configuration | None = None,
) -> Configuration:
    """Validate a configuration from its parts; raises InputError.

    The inventory of a former configuration is kept if just rules changed.
    """
    source = f'revision {head.revision}'
    parts = {}
    for name, digest in head.digest_by_part.items():
        if digest not in parts_by_digest:
            raise InputError(source, f'$.{name}', 'is missing', digest)
        parts[name] = parts_by_digest[digest]
        if part_digest(parts[name]) != digest:
            raise InputError(source, f'$.{name}', 'is damaged', digest)
    if former is not None and _is_same_inventory(head, former.head):
        inventory = former.inventory
    else:
        inventory = build_inventory(decode_inventory(parts, source), source)
    rules = decode_rules(parts, source)
    check_rules(rules, source, inventory)
    return Configuration(head, inventory, rules)


def _is_same_inventory(head: Head, former: Head) -> bool:
    parts = {**head.digest_by_part, _RULES: ''}
    return parts == {**former.digest_by_part, _RULES: ''}


def _encode(plain: object) -> bytes:
    return encode(plain, order='deterministic')
