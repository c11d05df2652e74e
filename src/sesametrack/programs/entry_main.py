"""Runs the entry daemon as a module."""

from sesametrack.programs.entry import run

if __name__ == '__main__':
    run()
