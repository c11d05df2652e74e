"""Small stand-ins for upstreams and the platform, for tests and the bench."""
