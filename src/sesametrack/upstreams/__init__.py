"""Decisions that a gate makes about one upstream, free of I/O."""
