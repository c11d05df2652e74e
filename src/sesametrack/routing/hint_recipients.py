"""Choice of the VMs that get a hint message."""

from collections.abc import Collection, Sequence
from random import Random

from sesametrack.contracts.types import Address

# Each message is sent to at most this many VMs, sampled anew each time.
MAX_RECIPIENTS = 8
# Of these, the VMs of other failure domains. Hints are mostly about upstreams
# that the own domain uses; readiness is needed of a few VMs elsewhere only.
_MAX_REMOTE_RECIPIENTS = 2


def choose_recipients(
    peers: Sequence[Address], remote: Collection[Address], rng: Random
) -> list[Address]:
    """Return who gets a message about this VM and its upstreams.

    In a large fleet most of them are in the own failure domain, as far as it
    has enough VMs.
    """
    if len(peers) <= MAX_RECIPIENTS:
        return list(peers)
    near = [peer for peer in peers if peer not in remote]
    near_count = min(len(near), MAX_RECIPIENTS - _MAX_REMOTE_RECIPIENTS)
    far = [peer for peer in peers if peer in remote]
    far_count = min(len(far), MAX_RECIPIENTS - near_count)
    return rng.sample(near, near_count) + rng.sample(far, far_count)
