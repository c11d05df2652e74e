"""The exception tree of the package."""

from typing import Any

from sesametrack.contracts.outcomes import Outcome


class SesametrackError(Exception):
    """Base class of every error that the package raises on purpose."""


class InputError(SesametrackError):
    """Input from outside was refused; names the source, path and value."""

    def __init__(
        self, source: str, path: str, problem: str, found: Any = None
    ) -> None:
        """Keep the parts of the message apart for programs that read them."""
        self.source = source
        self.path = path
        self.problem = problem
        self.found = found
        super().__init__(f'{source}: {path}: {problem} (found {found!r})')


class SettingsError(InputError):
    """A settings file was refused."""


class InventoryError(InputError):
    """An inventory was refused."""


class RulesError(InputError):
    """A set of rules was refused."""


class RequestError(InputError):
    """A caller's request was refused before anything ran."""


class ProtocolError(SesametrackError):
    """A peer, upstream or caller broke the protocol."""


class LinkDownError(SesametrackError):
    """A message was not handed to the peer: the link is not connected."""


class PlatformError(SesametrackError):
    """Base class of failures of the platform's object API."""


class PlatformUnavailableError(PlatformError):
    """The platform did not take the call; nothing was written."""


class PlatformLostReplyError(PlatformError):
    """The call may have taken effect: its reply was lost."""


class RevisionExpiredError(PlatformError):
    """A watch names a revision that the platform no longer remembers."""


class ConflictError(PlatformError):
    """A conditional write found another version than the one it named."""


class RefusalError(SesametrackError):
    """A caller's request ends without an answer."""

    def __init__(
        self, outcome: Outcome, reason: str, retry_after: float | None = None
    ) -> None:
        """Store the outcome, a reason and a pause in seconds."""
        self.outcome = outcome
        self.reason = reason
        self.retry_after = retry_after
        super().__init__(f'{outcome.value}: {reason}')
