"""Runs the gate daemon with `python -m`."""

from sesametrack.programs.gate import run

if __name__ == '__main__':
    run()
