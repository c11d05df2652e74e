"""Decisions about a caller's request, from admission to the answer."""
