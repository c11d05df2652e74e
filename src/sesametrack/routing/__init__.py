"""Routing decisions without I/O: routes, replicas, limits and gathers."""
