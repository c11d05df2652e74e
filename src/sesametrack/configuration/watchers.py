"""Selection of the daemons that watch the platform's objects."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from sesametrack.contracts.members import Member
from sesametrack.contracts.types import FailureDomainId, MemberId

WATCHERS_PER_DOMAIN = 2


def choose_watchers(
    failure_domain: FailureDomainId, members: Iterable[Member]
) -> set[MemberId]:
    """Return the daemons that watch for their whole failure domain."""
    member_ids = sorted(
        (
            member.id
            for member in members
            if member.failure_domain == failure_domain
        ),
        key=lambda member_id: (
            xxh3_64_intdigest(member_id.encode()),
            member_id,
        ),
    )
    return set(member_ids[:WATCHERS_PER_DOMAIN])
