"""Membership, fleet count, store watchers and lifecycle of the daemons."""
