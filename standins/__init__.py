"""Simulated upstreams, platform and stores, for tests and benchmarks."""
