"""This VM's share of limits that the whole fleet keeps together."""

# Connections above the sum of all shares that an upstream is left for
# connections that are closing while others open.
_CONNECTION_RESERVE = 0.1
# A VM that has not yet learned how many there are assumes so many.
UNKNOWN_FLEET = 16


def connection_share(max_connections: int, vm_count: int) -> int:
    """Return how many connections to one upstream this VM may hold.

    At least one: beyond as many VMs as connections, placement must keep
    the number of VMs that use an upstream below its limit.
    """
    usable = int(max_connections * (1 - _CONNECTION_RESERVE))
    return max(1, usable // max(1, vm_count))
