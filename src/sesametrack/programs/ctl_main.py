"""Runs sesametrack-ctl as a module."""

from sesametrack.programs.ctl import run

if __name__ == '__main__':
    run()
