"""Which daemons hold a watch on the platform's objects."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from sesametrack.contracts.members import Member
from sesametrack.contracts.types import FailureDomainId, MemberId

WATCHERS_PER_DOMAIN = 2


def choose_watchers(
    failure_domain: FailureDomainId, members: Iterable[Member]
) -> set[MemberId]:
    """Return the daemons of a failure domain that watch for the others."""
    near = sorted(
        (
            member.id
            for member in members
            if member.failure_domain == failure_domain
        ),
        key=lambda member: (xxh3_64_intdigest(member.encode()), member),
    )
    return set(near[:WATCHERS_PER_DOMAIN])
