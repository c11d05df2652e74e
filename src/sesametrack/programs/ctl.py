"""The operators' command line: `sesametrack-ctl COMMAND [ARGUMENT]`."""

from asyncio import run as run_loop
from asyncio import sleep
from collections.abc import Awaitable, Callable
from difflib import unified_diff
from enum import IntEnum
from pathlib import Path
from sys import exit as exit_process
from sys import stderr, stdout
from time import monotonic

from absl import app, flags
from msgspec import to_builtins
from msgspec.json import encode
from msgspec.json import format as format_json
from msgspec.structs import replace

from sesametrack.contracts.decoding import decode_json
from sesametrack.contracts.exceptions import (
    InputError,
    InventoryError,
    PlatformError,
    RulesError,
)
from sesametrack.contracts.inventory import (
    Inventory,
    InventoryModel,
    build_inventory,
)
from sesametrack.contracts.rules import Rules, check_rules
from sesametrack.contracts.settings import split_address
from sesametrack.contracts.types import Revision, Seconds
from sesametrack.links.platform import PlatformClient
from sesametrack.programs.admin_client import fetch_all, find_admin_addresses
from sesametrack.programs.configuration_store import (
    AcceptedConfiguration,
    ChangeReport,
    ConfigurationStore,
    WriteState,
)

_PLATFORM = flags.DEFINE_list(
    'platform', ['127.0.0.1:8500'], 'addresses of the platform API'
)
_INVENTORY = flags.DEFINE_string('inventory', None, 'path of an inventory')
_RULES = flags.DEFINE_string('rules', None, 'path of a rules file')
_JSON = flags.DEFINE_bool('json', False, 'print JSON for scripts')
_WAIT = flags.DEFINE_float(
    'wait', 0, 'seconds to wait until a change is in force everywhere'
)
_BASED_ON = flags.DEFINE_integer(
    'based_on', None, 'refuse the change unless this revision is accepted'
)
_REVISION = flags.DEFINE_integer(
    'revision', None, 'revision that the change to resolve was to make'
)
_ADMINS = flags.DEFINE_list(
    'admins', [], 'admin addresses; the VM list is used if there are none'
)
_ADMIN_PORTS = flags.DEFINE_list(
    'admin_ports', ['7302', '7312'], 'admin ports of the daemons of a VM'
)
_WAIT_PAUSE: Seconds = 0.1


class ExitCode(IntEnum):
    """Exit codes for scripts."""

    done = 0
    differs = 1
    refused = 2
    conflict = 3
    unknown = 4
    unavailable = 5
    behind = 6


_EXIT_BY_STATE = {
    WriteState.applied: ExitCode.done,
    WriteState.not_applied: ExitCode.unavailable,
    WriteState.conflict: ExitCode.conflict,
    WriteState.unknown: ExitCode.unknown,
}

_USAGE = """usage: sesametrack-ctl [flags] COMMAND [ARGUMENT]

  check        validate --inventory and --rules; nothing is sent
  diff         show what --inventory and --rules would change
  apply        make --inventory and --rules the accepted configuration
  show         print the accepted configuration
  status       show each daemon's stage, revision and members
  take-out X   take a failure domain or VM out of service
  bring-back X bring it back
  resolve ID   find out what became of a change whose reply was lost
"""


class Controller:
    """One command against one platform."""

    def __init__(self, platform: PlatformClient) -> None:
        """Bind the platform."""
        self._platform = platform
        self._store = ConfigurationStore(platform)

    async def check(self, _: str) -> ExitCode:
        """Validate the files."""
        inventory, rules = _read_files(None)
        built = _build(inventory, rules)
        _print(
            {
                'searchers': len(built.upstream_by_id),
                'services': len(built.service_by_id),
                'failure_domains': len(built.region_by_failure_domain),
            },
            'the files are valid',
        )
        return ExitCode.done

    async def diff(self, _: str) -> ExitCode:
        """Show what would change."""
        accepted = await self._store.read()
        inventory, rules = _read_files(accepted)
        _build(inventory, rules)
        lines = _diff(accepted, inventory, rules)
        _print({'diff': lines}, '\n'.join(lines) or 'no difference')
        return ExitCode.differs if lines else ExitCode.done

    async def apply(self, _: str) -> ExitCode:
        """Make the files the accepted configuration."""
        accepted = await self._store.read()
        if not _is_expected(accepted):
            return _refuse_revision(accepted)
        inventory, rules = _read_files(accepted)
        return await self._write(accepted, inventory, rules)

    async def show(self, _: str) -> ExitCode:
        """Print the accepted configuration."""
        accepted = await self._store.read()
        if accepted is None:
            _print({'revision': 0}, 'there is no configuration')
            return ExitCode.differs
        content = {
            'revision': accepted.head.revision,
            'change_id': accepted.head.change_id,
            'rules': to_builtins(accepted.rules),
            'inventory': to_builtins(accepted.inventory),
        }
        stdout.write(_format(content))
        return ExitCode.done

    async def status(self, _: str) -> ExitCode:
        """Show the daemons."""
        admins = await self._find_admins()
        replies = await fetch_all(admins, '/status')
        rows = [
            {'admin': reply.address, 'problem': reply.error}
            if reply.content is None
            else {'admin': reply.address, **reply.content}
            for reply in replies
        ]
        _print(rows, '\n'.join(_describe_daemon(row) for row in rows))
        is_whole = bool(rows) and all('stage' in row for row in rows)
        return ExitCode.done if is_whole else ExitCode.behind

    async def take_out(self, name: str) -> ExitCode:
        """Take a failure domain or VM out of service."""
        return await self._change_service(name, is_out=True)

    async def bring_back(self, name: str) -> ExitCode:
        """Bring a failure domain or VM back."""
        return await self._change_service(name, is_out=False)

    async def resolve(self, change_id: str) -> ExitCode:
        """Find out what became of a change."""
        if _REVISION.value is None:
            stderr.write('resolve needs --revision, as apply printed it\n')
            return ExitCode.refused
        report = await self._store.resolve(change_id, _REVISION.value)
        return _report_change(report)

    async def _change_service(self, name: str, *, is_out: bool) -> ExitCode:
        accepted = await self._store.read()
        if accepted is None:
            stderr.write('there is no configuration to change\n')
            return ExitCode.refused
        if not _is_expected(accepted):
            return _refuse_revision(accepted)
        domains = {known.id for known in accepted.inventory.failure_domains}
        field = 'failure_domains_out' if name in domains else 'vms_out'
        if field == 'vms_out' and is_out and not await self._is_vm(name):
            stderr.write(f'{name} is no failure domain and no listed VM\n')
            return ExitCode.refused
        out = set(getattr(accepted.rules, field))
        wanted = out | {name} if is_out else out - {name}
        if wanted == out:
            _print({'revision': accepted.head.revision}, 'already so')
            return ExitCode.done
        rules = replace(accepted.rules, **{field: sorted(wanted)})
        return await self._write(accepted, accepted.inventory, rules)

    async def _is_vm(self, name: str) -> bool:
        return any(vm.id == name for vm in await self._platform.list_vms())

    async def _write(
        self,
        accepted: AcceptedConfiguration | None,
        inventory: InventoryModel,
        rules: Rules,
    ) -> ExitCode:
        report = await self._store.apply(inventory, rules, accepted)
        code = _report_change(report)
        if report.state is WriteState.conflict:
            newest = await self._store.read()
            lines = _diff(newest, inventory, rules)
            stderr.write('\n'.join([*lines, '']))
        if report.state is WriteState.applied and _WAIT.value:
            return await self._wait(report.revision)
        return code

    async def _wait(self, revision: Revision) -> ExitCode:
        deadline = monotonic() + _WAIT.value
        behind = ['no daemon was found']
        while True:
            admins = await self._find_admins()
            replies = await fetch_all(admins, '/status')
            behind = [
                f'{reply.address}: {_revision_of(reply.content)}'
                for reply in replies
                if _revision_of(reply.content) < revision
            ]
            if replies and not behind:
                _print({'in_force': len(replies)}, 'in force everywhere')
                return ExitCode.done
            if monotonic() >= deadline:
                break
            await sleep(_WAIT_PAUSE)
        _print({'behind': behind}, 'behind:\n' + '\n'.join(behind))
        return ExitCode.behind

    async def _find_admins(self) -> list[str]:
        ports = [int(port) for port in _ADMIN_PORTS.value]
        return await find_admin_addresses(self._platform, ports, _ADMINS.value)


_Command = Callable[[Controller, str], Awaitable[ExitCode]]
_COMMAND_BY_NAME: dict[str, _Command] = {
    'check': Controller.check,
    'diff': Controller.diff,
    'apply': Controller.apply,
    'show': Controller.show,
    'status': Controller.status,
    'take-out': Controller.take_out,
    'bring-back': Controller.bring_back,
    'resolve': Controller.resolve,
}
_WITH_ARGUMENT = frozenset(('take-out', 'bring-back', 'resolve'))


def run() -> None:
    """Run the program."""
    app.run(_main)


def _main(argv: list[str]) -> None:
    exit_process(run_command(argv[1:]))


def run_command(words: list[str]) -> ExitCode:
    """Run one command; errors become messages and exit codes."""
    name = words[0] if words else ''
    needed = 2 if name in _WITH_ARGUMENT else 1
    if name not in _COMMAND_BY_NAME or len(words) != needed:
        stderr.write(_USAGE)
        return ExitCode.refused
    argument = words[1] if needed > 1 else ''
    try:
        return run_loop(_run(_COMMAND_BY_NAME[name], argument))
    except InputError as refused:
        stderr.write(f'refused: {refused}\n')
        return ExitCode.refused
    except PlatformError as failed:
        stderr.write(f'nothing was changed: {failed}\n')
        return ExitCode.unavailable


async def _run(command: _Command, argument: str) -> ExitCode:
    for address in _PLATFORM.value:
        split_address(address)
    platform = PlatformClient(_PLATFORM.value)
    try:
        return await command(Controller(platform), argument)
    finally:
        await platform.close()


def _read_files(
    accepted: AcceptedConfiguration | None,
) -> tuple[InventoryModel, Rules]:
    if accepted is None and _INVENTORY.value is None:
        raise InventoryError('--inventory', '$', 'is needed')
    inventory = accepted.inventory if accepted else None
    rules = accepted.rules if accepted else Rules()
    if _INVENTORY.value is not None:
        inventory = decode_json(
            _read(_INVENTORY.value, InventoryError),
            InventoryModel,
            _INVENTORY.value,
            InventoryError,
        )
    if _RULES.value is not None:
        rules = decode_json(
            _read(_RULES.value, RulesError), Rules, _RULES.value, RulesError
        )
    return inventory, rules


def _read(path: str, error: type[InputError]) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as failed:
        raise error(path, '$', str(failed)) from failed


def _build(inventory: InventoryModel, rules: Rules) -> Inventory:
    built = build_inventory(inventory, _INVENTORY.value or 'accepted inventory')
    check_rules(rules, _RULES.value or 'accepted rules', built)
    return built


def _is_expected(accepted: AcceptedConfiguration | None) -> bool:
    revision = accepted.head.revision if accepted else 0
    return _BASED_ON.value is None or _BASED_ON.value == revision


def _refuse_revision(accepted: AcceptedConfiguration | None) -> ExitCode:
    revision = accepted.head.revision if accepted else 0
    stderr.write(
        f'revision {revision} is accepted, not {_BASED_ON.value}; '
        'nothing was changed\n'
    )
    return ExitCode.conflict


def _diff(
    accepted: AcceptedConfiguration | None,
    inventory: InventoryModel,
    rules: Rules,
) -> list[str]:
    former: dict[str, object] = {}
    if accepted is not None:
        former = {'inventory': accepted.inventory, 'rules': accepted.rules}
    wanted = {'inventory': inventory, 'rules': rules}
    return list(
        unified_diff(
            _format(former).splitlines(),
            _format(wanted).splitlines(),
            'accepted',
            'wanted',
            lineterm='',
            n=2,
        )
    )


def _report_change(report: ChangeReport) -> ExitCode:
    content = {
        'state': report.state,
        'change_id': report.change_id,
        'revision': report.revision,
        'detail': report.detail,
    }
    text = (
        f'{report.state.value}: change {report.change_id}, '
        f'revision {report.revision} {report.detail}'
    )
    _print(content, text.rstrip())
    return _EXIT_BY_STATE[report.state]


def _describe_daemon(row: dict) -> str:
    if 'stage' not in row:
        return f'{row["admin"]}: no answer ({row["problem"]})'
    states = list(row['members'].values())
    return (
        f'{row["member"][0]}: {row["stage"]}, revision {row["revision"]}, '
        f'{states.count("alive")} of {len(states)} members alive'
        + (f', unready: {row["unready"]}' if row['unready'] else '')
    )


def _revision_of(content: object) -> Revision:
    return content['revision'] if isinstance(content, dict) else -1


def _format(content: object) -> str:
    encoded = encode(content, order='deterministic')
    return format_json(encoded, indent=2).decode() + '\n'


def _print(content: object, text: str) -> None:
    stdout.write(_format(content) if _JSON.value else f'{text}\n')
