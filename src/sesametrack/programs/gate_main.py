"""Runs the gate daemon as a module."""

from sesametrack.programs.gate import run

if __name__ == '__main__':
    run()
