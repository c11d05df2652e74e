"""A daemon's local copy of the accepted configuration."""

from sesametrack.configuration.parts import (
    Configuration,
    Head,
    build_configuration,
)
from sesametrack.contracts.types import Digest, Revision


class ConfigurationReplica:
    """Holds the highest revision seen; it never goes back to a lower one."""

    def __init__(self) -> None:
        """Start without a configuration, at revision 0."""
        self.current: Configuration | None = None
        self.part_by_digest: dict[Digest, bytes] = {}

    @property
    def revision(self) -> Revision:
        """The current revision, 0 without a configuration."""
        return self.current.head.revision if self.current else 0

    def is_newer(self, revision: Revision) -> bool:
        """Return whether a revision is higher than the current one."""
        return revision > self.revision

    def missing_digests(self, head: Head) -> list[Digest]:
        """Return the digests of the parts that must be fetched, sorted."""
        return sorted(
            set(head.digest_by_part.values()) - set(self.part_by_digest)
        )

    def accept(self, head: Head, fetched: dict[Digest, bytes]) -> bool:
        """Apply a higher revision; return False for any other.

        Raises InputError and keeps the current revision if a part is missing
        or invalid.
        """
        if not self.is_newer(head.revision):
            return False
        available = {**self.part_by_digest, **fetched}
        self.current = build_configuration(head, available, self.current)
        used = set(head.digest_by_part.values())
        self.part_by_digest = {digest: available[digest] for digest in used}
        return True
