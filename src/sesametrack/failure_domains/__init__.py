"""Placement of gates and state of failure domains."""
