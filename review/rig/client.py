"""Clients that keep their connections open."""

from asyncio import (
    StreamReader,
    StreamWriter,
    get_running_loop,
    open_connection,
    wait_for,
)
from dataclasses import dataclass

from rig.wire import encode, read_message


@dataclass
class Outcome:
    """What became of one request; `status` is 0 without an answer."""

    request_id: str
    sent_at: float
    status: int = 0
    # When the answer was there, the connection ended or the client left.
    ended_at: float = 0
    # 'answered', 'closed' by the router, or 'left' by the client.
    end: str = ''
    missing: str = ''
    body: bytes = b''

    @property
    def took_s(self) -> float:
        return self.ended_at - self.sent_at


class Client:
    """One connection to a router, opened again when it has ended."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self._address = (host, int(port))
        self._reader: StreamReader | None = None
        self._writer: StreamWriter | None = None

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def connect(self) -> None:
        """Open the connection unless it is open."""
        if self._writer is None or self._reader.at_eof():
            self.close()
            self._reader, self._writer = await open_connection(*self._address)

    async def ask(
        self,
        request_id: str,
        path: str,
        *,
        host: str,
        limit_s: float,
        method: str = 'GET',
        headers: dict[str, str] | None = None,
        body: bytes = b'',
        leave_after_s: float | None = None,
    ) -> Outcome:
        """Send a request and wait for its answer up to the time limit.

        With `leave_after_s` the client closes its connection then.
        """
        now = get_running_loop().time
        await self.connect()
        outcome = Outcome(request_id, now())
        self._writer.write(
            encode(
                f'{method} {path} HTTP/1.1',
                {
                    'Host': host,
                    'Request-Id': request_id,
                    'Request-Deadline': round(limit_s * 1000),
                    **(headers or {}),
                },
                body,
                has_length=bool(body) or method not in {'GET', 'HEAD'},
            )
        )
        patience = limit_s if leave_after_s is None else leave_after_s
        try:
            answer = await wait_for(
                read_message(self._reader, has_body=method != 'HEAD'), patience
            )
        except TimeoutError:
            outcome.end = 'left'
            self.close()
        except (OSError, EOFError):
            outcome.end = 'closed'
            self.close()
        else:
            outcome.end = 'closed' if answer is None else 'answered'
            if answer is not None:
                outcome.status = answer.status
                outcome.missing = answer.headers.get('missing-parts', '')
                outcome.body = answer.body
            if answer is None or answer.headers.get('connection') == 'close':
                self.close()
        outcome.ended_at = now()
        return outcome
