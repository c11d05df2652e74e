"""Messages with which a VM hands a caller's request on to another one."""

from msgspec import Struct

from sesametrack.contracts.types import Seconds, WorkspaceId


class HandoverRequest(Struct, frozen=True, array_like=True):
    """A caller's request that its VM can't serve.

    `left` is the time until the caller's deadline, `age` the time since the
    request arrived; both are relative to the sending of the message. It may
    go to `max_attempts` further upstreams of each service. Older versions send
    no `workspace`.
    """

    id: str
    method: str
    path: str
    host: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    left: Seconds
    age: Seconds
    max_attempts: int
    workspace: WorkspaceId = ''


class HandoverReply(Struct, frozen=True, array_like=True):
    """The answer for the caller, as the VM that made it would write it.

    `has_not_run` is true if no upstream got the request from that VM.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    has_not_run: bool
