"""Tests of sesametrack; `python -m tests` runs them all."""
