"""Runs simulators: `python -m standins --kind=platform|upstreams`."""

from asyncio import Event, get_running_loop
from asyncio import run as run_loop
from pathlib import Path
from signal import SIGINT, SIGTERM

from absl import app, flags

from sesametrack.contracts.inventory import read_inventory
from sesametrack.telemetry.logging_setup import configure_logging
from standins.host import UpstreamHost
from standins.platform import PlatformStandin

_KIND = flags.DEFINE_enum(
    'kind', None, ['platform', 'upstreams'], 'which simulator to run'
)
_HOST = flags.DEFINE_string('host', '127.0.0.1', 'IP address to listen on')
_PORT = flags.DEFINE_integer(
    'port', 8500, 'port to listen on; the control port for kind upstreams'
)
_INVENTORY = flags.DEFINE_string(
    'inventory', None, 'path of the inventory file'
)
_DOMAINS = flags.DEFINE_list(
    'domains', [], 'failure domains whose upstreams to run'
)
_SEED = flags.DEFINE_integer('seed', 1, 'seed of the random number generators')


def _make_standin() -> PlatformStandin | UpstreamHost:
    if _KIND.value == 'platform':
        return PlatformStandin(_HOST.value, _PORT.value, _SEED.value)
    path = Path(_INVENTORY.value)
    inventory = read_inventory(path.read_bytes(), str(path))
    return UpstreamHost(
        inventory, _DOMAINS.value, _HOST.value, _PORT.value, _SEED.value
    )


async def _serve() -> None:
    standin = _make_standin()
    await standin.start()
    stopped = Event()
    for signal in (SIGTERM, SIGINT):
        get_running_loop().add_signal_handler(signal, stopped.set)
    await stopped.wait()
    await standin.close()


def _main(argv: list[str]) -> None:
    configure_logging(f'standin-{_KIND.value}', 'plain', 'WARNING')
    run_loop(_serve())


if __name__ == '__main__':
    flags.mark_flag_as_required('kind')
    app.run(_main)
