"""Entry point of the router's process.

The router's modules take up to a second to import on a small VM. A signal in
that time would end the process by its default action, also a SIGHUP, which
asks for a reload. So signals are held back until the router handles them.
"""

from importlib import import_module
from signal import SIG_BLOCK, SIGHUP, SIGINT, SIGTERM, pthread_sigmask

_ROUTER_MODULE = 'sesametrack.programs.router'


def run_program() -> None:
    """Hold signals back and run the router until it shuts down."""
    pthread_sigmask(SIG_BLOCK, (SIGHUP, SIGINT, SIGTERM))
    import_module(_ROUTER_MODULE).run_program()


if __name__ == '__main__':
    run_program()
