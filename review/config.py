"""Desired states as the operator writes them."""


def make_config(version, service, services, *, timeout_ms=2500):
    """Return a desired state whose only route leads to one of the services."""
    route = {
        'name': 'member-card',
        'host': 'desk.example',
        'path_prefix': '/card/',
        'route_kind': 'idempotent',
        'timeout_ms': timeout_ms,
        'target_latency_ms': 288,
        'priority': 2,
        'service': service,
        'max_attempts': 2,
    }
    return _make_state(version, route, services, 0.0)


def make_gather_config(version, shards, cold_per_s):
    """Return a desired state whose only route leads to all shards."""
    route = {
        'name': 'heir-sweep',
        'host': 'desk.example',
        'path_prefix': '/desk/',
        'route_kind': 'idempotent',
        'timeout_ms': 800,
        'target_latency_ms': 93,
        'priority': 1,
        'gather': list(shards),
        'max_attempts': 2,
        'top_k': 20,
        'min_share': 0.89,
    }
    return _make_state(version, route, shards, cold_per_s)


def _make_state(version, route, services, cold_per_s):
    return {
        'config_version': version,
        'routes': [route],
        'services': [
            {
                'name': name,
                'health_path': '/health',
                'max_conns': 96,
                'protocol': 'h1',
                'tls': False,
                'cold_s': 3.0,
                'cold_per_s': cold_per_s,
            }
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }
