"""Open-loop load generator with a client-side load balancer."""

from asyncio import Task, create_task, gather, sleep
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from time import monotonic

from msgspec.json import decode, encode

from bench.processes import ask
from sesametrack.contracts.exceptions import ProtocolError
from sesametrack.links.http import HttpRequest
from sesametrack.links.http_client import HttpConnection

_READY_POLL_INTERVAL_S = 0.25
_READY_TIMEOUT_S = 0.5
# Wait past the deadline, so that a late response is still recorded.
_RESPONSE_GRACE_S = 1.5
_CONNECT_TIMEOUT_S = 0.5
_REQUEST_ERRORS = (OSError, EOFError, TimeoutError, ProtocolError)


@dataclass(frozen=True, slots=True)
class Question:
    """A request to send; `deadline_s` is the time allowed for its response."""

    service: str
    request_id: str
    query: dict
    deadline_s: float
    is_repeatable: bool = True
    key: str | None = None
    entry: int | None = None

    def encode(self) -> bytes:
        """Return the HTTP request body as JSON."""
        content = {
            'service': self.service,
            'request_id': self.request_id,
            'query': self.query,
            'deadline_ms': int(self.deadline_s * 1000),
            'repeatable': self.is_repeatable,
        }
        if self.key is not None:
            content['key'] = self.key
        return encode(content)


@dataclass(slots=True)
class Result:
    """Outcome of a request; `status` is 0 if no response was received."""

    question: Question
    scheduled_at: float
    finished_at: float = 0
    status: int = 0
    content: dict = field(default_factory=dict)

    @property
    def elapsed(self) -> float:
        """Return the latency in seconds, from the scheduled time of sending."""
        return self.finished_at - self.scheduled_at


class Balancer:
    """Distributes requests round-robin over the entries that are ready."""

    def __init__(self, entries: list[str]) -> None:
        """Store the entry addresses; `start` begins the readiness checks."""
        self._entries = entries
        self._ready = list(entries)
        self._choice_count = 0
        self._idle_connections_by_entry: dict[str, list[HttpConnection]] = {
            entry: [] for entry in entries
        }
        self._poll_task: Task | None = None

    def start(self) -> None:
        """Start polling the readiness of the entries until `close`."""
        self._poll_task = create_task(self._poll_readiness())

    async def close(self) -> None:
        """Stop polling and abort the idle connections."""
        if self._poll_task is not None:
            self._poll_task.cancel()
        for idle in self._idle_connections_by_entry.values():
            for connection in idle:
                connection.abort()

    async def send(self, question: Question, scheduled_at: float) -> Result:
        """Send a request and return its result.

        If no connection can be opened, an entry is chosen again, at most
        once for each entry. A failed exchange is not retried.
        """
        result = Result(question, scheduled_at)
        request = HttpRequest('POST', '/v1/query', {}, question.encode())
        for _ in range(len(self._entries)):
            entry = self._choose_entry(question)
            connection = await self._connect(entry)
            if connection is None:
                continue
            with suppress(*_REQUEST_ERRORS):
                response = await connection.exchange(
                    request, question.deadline_s + _RESPONSE_GRACE_S
                )
                result.status = response.status
                result.content = decode(response.body)
            break
        result.finished_at = monotonic()
        if result.status and connection.is_reusable:
            self._idle_connections_by_entry[entry].append(connection)
        elif connection is not None:
            connection.abort()
        return result

    def _choose_entry(self, question: Question) -> str:
        if question.entry is not None:
            return self._entries[question.entry % len(self._entries)]
        candidates = self._ready or self._entries
        self._choice_count += 1
        return candidates[self._choice_count % len(candidates)]

    async def _connect(self, entry: str) -> HttpConnection | None:
        idle = self._idle_connections_by_entry[entry]
        while idle:
            connection = idle.pop()
            if not connection.is_closed:
                return connection
        connection = HttpConnection(entry)
        try:
            await connection.start(_CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            self._ready = [other for other in self._ready if other != entry]
            return None
        return connection

    async def _poll_readiness(self) -> None:
        while True:
            readiness = await gather(
                *(self._is_ready(entry) for entry in self._entries)
            )
            self._ready = [
                entry
                for entry, is_ready in zip(
                    self._entries, readiness, strict=True
                )
                if is_ready
            ]
            await sleep(_READY_POLL_INTERVAL_S)

    async def _is_ready(self, entry: str) -> bool:
        try:
            response = await ask(
                entry, 'GET', '/ready', timeout=_READY_TIMEOUT_S
            )
        except _REQUEST_ERRORS:
            return False
        return response.status == 200


QuestionSource = Callable[[int], Question]


async def run_load(
    balancer: Balancer,
    source: QuestionSource,
    rate_per_s: float,
    duration_s: float,
    seed: int,
) -> list[Result]:
    """Send requests as a Poisson process and return all results.

    The load is open-loop: requests are sent without waiting for earlier
    responses. Latency is measured from the scheduled time of sending, so
    that it includes the time requests wait while the system stalls
    (no coordinated omission).
    """
    rng = Random(seed)
    started_at = monotonic()
    scheduled_at = started_at
    tasks: list[Task[Result]] = []
    while True:
        scheduled_at += rng.expovariate(rate_per_s)
        if scheduled_at > started_at + duration_s:
            break
        delay_s = scheduled_at - monotonic()
        if delay_s > 0:
            await sleep(delay_s)
        question = source(len(tasks))
        tasks.append(create_task(balancer.send(question, scheduled_at)))
    return list(await gather(*tasks))
