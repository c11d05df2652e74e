"""Runs sesametrack-timeline as a module."""

from sesametrack.programs.timeline import run

if __name__ == '__main__':
    run()
