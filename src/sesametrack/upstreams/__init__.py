"""Decisions a gate makes about one upstream."""
