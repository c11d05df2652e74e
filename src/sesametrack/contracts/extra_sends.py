"""Messages by which VMs borrow extra sends from each other."""

from msgspec import Struct

from sesametrack.contracts.types import ServiceId


class BorrowRequest(Struct, frozen=True, array_like=True, tag='borrow'):
    """Asks for one extra send for each of these services.

    A service may be named more than once.
    """

    request_id: int
    services: list[ServiceId]


class BorrowReply(Struct, frozen=True, array_like=True, tag='lend'):
    """The services of a request that got an extra send, as often as given."""

    request_id: int
    lent: list[ServiceId]


BorrowMessage = BorrowRequest | BorrowReply
