"""Exception hierarchy of the package."""

from typing import Any

from sesametrack.contracts.outcomes import Outcome


class SesametrackError(Exception):
    """Base class of all errors that the package defines."""


class InputError(SesametrackError):
    """External input is invalid; names the source, path and value."""

    def __init__(
        self, source: str, path: str, problem: str, found: Any = None
    ) -> None:
        """Store each part of the message for programs that handle it."""
        self.source = source
        self.path = path
        self.problem = problem
        self.found = found
        super().__init__(f'{source}: {path}: {problem} (found {found!r})')


class SettingsError(InputError):
    """A settings file is invalid."""


class InventoryError(InputError):
    """An inventory is invalid."""


class RulesError(InputError):
    """A set of rules is invalid."""


class RequestError(InputError):
    """A caller's request is invalid; nothing was run."""


class ProtocolError(SesametrackError):
    """A peer, upstream or caller violated the protocol."""


class LinkDownError(SesametrackError):
    """A message was not sent because the link is not connected."""


class PlatformError(SesametrackError):
    """Base class of failures of the platform's object API."""


class PlatformUnavailableError(PlatformError):
    """The platform did not accept the call; nothing was written."""


class PlatformLostReplyError(PlatformError):
    """The reply was lost; the call may have taken effect."""


class RevisionExpiredError(PlatformError):
    """A watch starts at a revision that the platform no longer keeps."""


class StoreRestoredError(RevisionExpiredError):
    """The store came back from an older copy since the last listing."""


class ConflictError(PlatformError):
    """A conditional write found a different version than it expected."""


class ObjectMissingError(PlatformError):
    """The object to be replaced does not exist."""


class RefusalError(SesametrackError):
    """A caller's request ends without an answer."""

    def __init__(
        self, outcome: Outcome, reason: str, retry_after: float | None = None
    ) -> None:
        """Store the outcome, the reason and the retry delay in seconds."""
        self.outcome = outcome
        self.reason = reason
        self.retry_after = retry_after
        super().__init__(f'{outcome.value}: {reason}')
