"""Start-up code shared by the entry and gate daemons."""

from asyncio import run as run_loop
from collections.abc import Callable
from pathlib import Path
from sys import exit as exit_process
from sys import stderr
from typing import Protocol

from absl import app, flags

from sesametrack.contracts.exceptions import SesametrackError, SettingsError
from sesametrack.contracts.settings import Settings, read_settings
from sesametrack.telemetry.logging_setup import configure_logging

_EXIT_INVALID_SETTINGS = 2
_SETTINGS = flags.DEFINE_string('settings', None, 'path of the settings file')
_LOG_LEVEL = flags.DEFINE_enum(
    'log_level',
    'INFO',
    ['DEBUG', 'INFO', 'WARNING', 'ERROR'],
    'minimum level of the log lines',
)


class Daemon(Protocol):
    """Interface of a daemon that `run_daemon` can run."""

    async def start(self) -> None:
        """Open the sockets."""

    async def serve(self) -> None:
        """Return when a graceful shutdown has finished."""

    async def close(self) -> None:
        """Close the sockets."""


def run_daemon(make_daemon: Callable[[Settings], Daemon]) -> None:
    """Parse the command line and run a daemon until its shutdown."""
    flags.mark_flag_as_required('settings')
    app.run(lambda argv: _run(make_daemon, argv))


def load_settings(path: str) -> Settings:
    """Return the settings in a file; raises SettingsError if invalid."""
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(path, '$', str(error)) from error
    return read_settings(text, path)


def _run(make_daemon: Callable[[Settings], Daemon], argv: list[str]) -> None:
    try:
        settings = load_settings(_SETTINGS.value)
    except SesametrackError as error:
        stderr.write(f'{error}\n')
        exit_process(_EXIT_INVALID_SETTINGS)
    process = f'{settings.vm}/{Path(argv[0]).name}'
    configure_logging(process, settings.log_format, _LOG_LEVEL.value)
    run_loop(_serve(make_daemon(settings)))


async def _serve(daemon: Daemon) -> None:
    try:
        await daemon.start()
        await daemon.serve()
    finally:
        await daemon.close()
