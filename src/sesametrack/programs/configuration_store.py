"""Changes that operators make to the configuration in the platform."""

from asyncio import gather
from dataclasses import dataclass
from enum import Enum
from secrets import token_hex

from msgspec.json import decode, encode

from sesametrack.configuration.parts import (
    HEAD_KEY,
    PART_PREFIX,
    Head,
    decode_inventory,
    decode_rules,
    encode_parts,
    next_head,
    part_digest,
)
from sesametrack.contracts.exceptions import (
    ConflictError,
    PlatformLostReplyError,
    PlatformUnavailableError,
)
from sesametrack.contracts.inventory import InventoryModel, build_inventory
from sesametrack.contracts.rules import Rules, check_rules
from sesametrack.contracts.types import Digest, Revision
from sesametrack.links.platform import PlatformClient

_PART_TRIES = 4
_RESOLVE_TRIES = 6


class WriteState(Enum):
    """What is known of a write."""

    applied = 'applied'
    not_applied = 'not-applied'
    conflict = 'conflict'
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class AcceptedConfiguration:
    """The configuration as read from the platform."""

    head: Head
    version: int
    inventory: InventoryModel
    rules: Rules


@dataclass(frozen=True, slots=True)
class ChangeReport:
    """What became of a change; `revision` is set when it was applied."""

    state: WriteState
    change_id: str
    revision: Revision
    detail: str = ''


class ConfigurationStore:
    """Reads and changes the accepted configuration."""

    def __init__(self, platform: PlatformClient) -> None:
        """Bind the platform."""
        self._platform = platform

    async def read(self) -> AcceptedConfiguration | None:
        """Read the accepted configuration; None before the first one.

        Raises PlatformUnavailableError or InputError.
        """
        stored = await self._platform.get(HEAD_KEY)
        if stored is None:
            return None
        head = decode(stored.text, type=Head)
        parts = {}
        for name, digest in head.digest_by_part.items():
            part = await self._platform.get(PART_PREFIX + digest)
            if part is None:
                raise PlatformUnavailableError(f'part {name} is not there')
            parts[name] = part.text.encode()
        source = f'revision {head.revision}'
        return AcceptedConfiguration(
            head,
            stored.version,
            decode_inventory(parts, source),
            decode_rules(parts, source),
        )

    async def apply(
        self,
        inventory: InventoryModel,
        rules: Rules,
        based_on: AcceptedConfiguration | None,
        change_id: str = '',
    ) -> ChangeReport:
        """Write a configuration if the one it is based on still stands.

        Raises InputError before anything is written, and
        PlatformUnavailableError if nothing was.
        """
        check_rules(rules, 'rules', build_inventory(inventory, 'inventory'))
        change_id = change_id or token_hex(8)
        revision = based_on.head.revision + 1 if based_on else 1
        parts = encode_parts(inventory, rules)
        known = (
            set(based_on.head.digest_by_part.values()) if based_on else set()
        )
        await gather(
            *(
                self._write_part(part_digest(part), part)
                for part in parts.values()
                if part_digest(part) not in known
            )
        )
        head = next_head(based_on.head if based_on else None, change_id, parts)
        try:
            if based_on is None:
                await self._platform.create(HEAD_KEY, encode(head))
            else:
                await self._platform.update(
                    HEAD_KEY, encode(head), based_on.version
                )
        except ConflictError:
            return await self.resolve(change_id, revision)
        except PlatformLostReplyError:
            return await self.resolve(change_id, revision)
        return ChangeReport(WriteState.applied, change_id, revision)

    async def resolve(self, change_id: str, revision: Revision) -> ChangeReport:
        """Find out whether the change that was to make a revision did.

        Reading the former revision does not prove that a delayed write will
        not take effect later. So the head is written again as it is, which
        changes its version and makes any such write fail.
        """
        for _ in range(_RESOLVE_TRIES):
            try:
                report = await self._resolve_once(change_id, revision)
            except PlatformUnavailableError:
                continue
            if report is not None:
                return report
        return ChangeReport(
            WriteState.unknown,
            change_id,
            revision,
            'the platform does not answer, or has no configuration yet; '
            'run `resolve` again later',
        )

    async def _resolve_once(
        self, change_id: str, revision: Revision
    ) -> ChangeReport | None:
        stored = await self._platform.get(HEAD_KEY)
        if stored is None:
            return None
        head = decode(stored.text, type=Head)
        report = _report_from_head(head, change_id, revision)
        if report.state is not WriteState.not_applied:
            return report
        try:
            await self._platform.update(
                HEAD_KEY, stored.text.encode(), stored.version
            )
        except (ConflictError, PlatformLostReplyError):
            return None
        return report

    async def _write_part(self, digest: Digest, part: bytes) -> None:
        # Parts are named by their content, so that writing one again, or
        # finding it there, is the same as having written it.
        for _ in range(_PART_TRIES):
            try:
                await self._platform.create(PART_PREFIX + digest, part)
            except ConflictError:
                return
            except PlatformLostReplyError:
                continue
            return
        raise PlatformUnavailableError(f'part {digest} could not be written')


def _report_from_head(
    head: Head, change_id: str, revision: Revision
) -> ChangeReport:
    if head.revision < revision:
        return ChangeReport(
            WriteState.not_applied,
            change_id,
            head.revision,
            'the platform still has the former revision',
        )
    maker = head.change_id_at(revision)
    if maker == change_id:
        return ChangeReport(WriteState.applied, change_id, revision)
    if maker is None:
        return ChangeReport(
            WriteState.unknown,
            change_id,
            head.revision,
            f'revision {revision} is too old to be known',
        )
    return ChangeReport(
        WriteState.conflict,
        change_id,
        head.revision,
        f'change {maker} took revision {revision}',
    )
