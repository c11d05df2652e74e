"""A daemon's replica of the accepted configuration."""

from sesametrack.configuration.parts import (
    Configuration,
    Head,
    build_configuration,
)
from sesametrack.contracts.types import Digest, Revision


class ConfigurationReplica:
    """Holds the highest revision seen and moves to higher ones only."""

    def __init__(self) -> None:
        """Start without a configuration, at revision zero."""
        self.current: Configuration | None = None
        self.part_by_digest: dict[Digest, bytes] = {}

    @property
    def revision(self) -> Revision:
        """The revision in force, zero for none."""
        return self.current.head.revision if self.current else 0

    def is_newer(self, revision: Revision) -> bool:
        """Tell whether a revision is above the one in force."""
        return revision > self.revision

    def missing_digests(self, head: Head) -> list[Digest]:
        """Return the digests of the parts that must be fetched."""
        return sorted(
            set(head.digest_by_part.values()) - set(self.part_by_digest)
        )

    def accept(self, head: Head, fetched: dict[Digest, bytes]) -> bool:
        """Move to a higher revision; False for an old or equal one.

        Raises InputError and stays as it was if parts are missing or are
        refused.
        """
        if not self.is_newer(head.revision):
            return False
        known = {**self.part_by_digest, **fetched}
        self.current = build_configuration(head, known, self.current)
        used = set(head.digest_by_part.values())
        self.part_by_digest = {digest: known[digest] for digest in used}
        return True
