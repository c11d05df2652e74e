"""The accepted configuration on the platform, read and changed by operators."""

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

_PART_WRITE_ATTEMPTS = 4
_RESOLVE_ATTEMPTS = 6


class WriteState(Enum):
    """The state of a change, as far as it is known."""

    applied = 'applied'
    not_applied = 'not-applied'
    conflict = 'conflict'
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class AcceptedConfiguration:
    """The accepted configuration and the object version of its head."""

    head: Head
    version: int
    inventory: InventoryModel
    rules: Rules


@dataclass(frozen=True, slots=True)
class ChangeReport:
    """The result of a change.

    `revision` is the revision that an applied change made, otherwise the
    accepted one, or the requested one if the platform did not answer.
    """

    state: WriteState
    change_id: str
    revision: Revision
    detail: str = ''


class ConfigurationStore:
    """Reads and replaces the accepted configuration on the platform."""

    def __init__(self, platform: PlatformClient) -> None:
        """Create a store on a platform."""
        self._platform = platform

    async def read(self) -> AcceptedConfiguration | None:
        """Return the accepted configuration; None if there is none yet.

        Raises PlatformUnavailableError, or InputError if the stored
        configuration is invalid.
        """
        stored = await self._platform.get(HEAD_KEY)
        if stored is None:
            return None
        head = decode(stored.text, type=Head)
        parts = {}
        for name, digest in head.digest_by_part.items():
            part = await self._platform.get(PART_PREFIX + digest)
            if part is None:
                raise PlatformUnavailableError(f'part {name} is missing')
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
        """Replace the configuration unless it has changed since `based_on`.

        Raises InputError before anything is written, and
        PlatformUnavailableError if the head was not written.
        """
        check_rules(rules, 'rules', build_inventory(inventory, 'inventory'))
        change_id = change_id or token_hex(8)
        revision = based_on.head.revision + 1 if based_on else 1
        parts = encode_parts(inventory, rules)
        stored_digests = (
            set(based_on.head.digest_by_part.values()) if based_on else set()
        )
        await gather(
            *(
                self._write_part(part_digest(part), part)
                for part in parts.values()
                if part_digest(part) not in stored_digests
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
        """Determine whether a change to `revision` was applied.

        Reading the previous revision does not prove that a delayed write
        cannot take effect later. So the unchanged head is written again:
        its new object version makes any delayed write fail.
        """
        for _ in range(_RESOLVE_ATTEMPTS):
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
        # Parts are keyed by their digest, so writing one again is idempotent
        # and an existing object already has the same content.
        for _ in range(_PART_WRITE_ATTEMPTS):
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
    accepted_change_id = head.change_id_at(revision)
    if accepted_change_id == change_id:
        return ChangeReport(WriteState.applied, change_id, revision)
    if accepted_change_id is None:
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
        f'change {accepted_change_id} took revision {revision}',
    )
