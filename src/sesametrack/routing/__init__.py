"""Decisions of a router: routes, replicas, limits, gathers and answers."""
