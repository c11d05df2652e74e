"""Placement of upstreams on gates, by failure domain."""
