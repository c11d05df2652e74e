"""Workspaces: groups of callers that share keys, a priority and a limit."""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import sha256

from sesametrack.contracts.types import KeyDigest, WorkspaceId


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Requests per second of all callers of a workspace, at all VMs.

    `burst` requests more may come at once. No limit if `per_s` is 0.
    """

    per_s: float = 0
    burst: float = 0


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace as one version of the desired state declares it.

    Priority 0 is the highest; it goes before that of routes.
    """

    id: WorkspaceId
    key_digests: tuple[KeyDigest, ...] = ()
    priority: int = 0
    limit: RateLimit = RateLimit()


def digest_key(key: bytes) -> KeyDigest:
    """Return what stands for a key, so that the key itself is kept nowhere."""
    return sha256(key).hexdigest()


class Workspaces:
    """Index of the workspaces of the version in force by their keys."""

    def __init__(self) -> None:
        """Start without workspaces: no request needs a key."""
        self.by_id: dict[WorkspaceId, Workspace] = {}
        self._by_digest: dict[KeyDigest, Workspace] = {}

    def apply(self, workspaces: Iterable[Workspace]) -> None:
        """Replace all workspaces and their keys."""
        self.by_id = {one.id: one for one in workspaces}
        self._by_digest = {
            digest: one
            for one in self.by_id.values()
            for digest in one.key_digests
        }

    @property
    def are_declared(self) -> bool:
        """Return whether requests need a key."""
        return bool(self.by_id)

    def identify(self, key: bytes | None) -> Workspace | None:
        """Return the workspace of a key, None if it is unknown."""
        if key is None:
            return None
        return self._by_digest.get(digest_key(key))
