"""Open-loop load at a fixed rate, through a stand-in for the balancer."""

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

_READY_INTERVAL = 0.25
_READY_TIMEOUT = 0.5
_ANSWER_GRACE = 1.5
_CONNECT_TIMEOUT = 0.5
_FAILURES = (OSError, EOFError, TimeoutError, ProtocolError)


@dataclass(frozen=True, slots=True)
class Question:
    """One request of the load; `deadline_s` bounds its answer."""

    service: str
    request_id: str
    query: dict
    deadline_s: float
    is_repeatable: bool = True
    key: str | None = None
    entry: int | None = None

    def encode(self) -> bytes:
        """Return the HTTP body."""
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
    """What became of a question; `status` is 0 for a cut request."""

    question: Question
    scheduled_at: float
    finished_at: float = 0
    status: int = 0
    content: dict = field(default_factory=dict)

    @property
    def elapsed(self) -> float:
        """Seconds since the question was due, not since it was sent."""
        return self.finished_at - self.scheduled_at


class Balancer:
    """Sends each question to the next entry that reports itself ready."""

    def __init__(self, entries: list[str]) -> None:
        """Name the entries; `start` begins to ask for readiness."""
        self._entries = entries
        self._ready = list(entries)
        self._turn = 0
        self._idle_by_entry: dict[str, list[HttpConnection]] = {
            entry: [] for entry in entries
        }
        self._polling: Task | None = None

    def start(self) -> None:
        """Poll readiness until `close`."""
        self._polling = create_task(self._poll())

    async def close(self) -> None:
        """Close all connections."""
        if self._polling is not None:
            self._polling.cancel()
        for idle in self._idle_by_entry.values():
            for connection in idle:
                connection.abort()

    async def send(self, question: Question, scheduled_at: float) -> Result:
        """Send a question and wait for what becomes of it."""
        result = Result(question, scheduled_at)
        request = HttpRequest('POST', '/v1/query', {}, question.encode())
        for _ in range(len(self._entries)):
            entry = self._choose(question)
            connection = await self._connect(entry)
            if connection is None:
                continue
            with suppress(*_FAILURES):
                reply = await connection.exchange(
                    request, question.deadline_s + _ANSWER_GRACE
                )
                result.status = reply.status
                result.content = decode(reply.body)
            break
        result.finished_at = monotonic()
        if result.status and connection.is_reusable:
            self._idle_by_entry[entry].append(connection)
        elif connection is not None:
            connection.abort()
        return result

    def _choose(self, question: Question) -> str:
        if question.entry is not None:
            return self._entries[question.entry % len(self._entries)]
        candidates = self._ready or self._entries
        self._turn += 1
        return candidates[self._turn % len(candidates)]

    async def _connect(self, entry: str) -> HttpConnection | None:
        idle = self._idle_by_entry[entry]
        while idle:
            connection = idle.pop()
            if not connection.is_closed:
                return connection
        connection = HttpConnection(entry)
        try:
            await connection.start(_CONNECT_TIMEOUT)
        except (OSError, TimeoutError):
            self._ready = [known for known in self._ready if known != entry]
            return None
        return connection

    async def _poll(self) -> None:
        while True:
            states = await gather(
                *(self._is_ready(entry) for entry in self._entries)
            )
            self._ready = [
                entry
                for entry, is_ready in zip(self._entries, states, strict=True)
                if is_ready
            ]
            await sleep(_READY_INTERVAL)

    async def _is_ready(self, entry: str) -> bool:
        try:
            reply = await ask(entry, 'GET', '/ready', timeout=_READY_TIMEOUT)
        except _FAILURES:
            return False
        return reply.status == 200


Source = Callable[[int], Question]


async def run_load(
    balancer: Balancer, source: Source, rate: float, duration: float, seed: int
) -> list[Result]:
    """Send questions at random times of a fixed rate, whatever comes back.

    Latency counts from when a question was due, so that a system that
    stalls is charged for the questions that had to wait.
    """
    rng = Random(seed)
    start = monotonic()
    scheduled_at = start
    tasks: list[Task[Result]] = []
    while True:
        scheduled_at += rng.expovariate(rate)
        if scheduled_at > start + duration:
            break
        pause = scheduled_at - monotonic()
        if pause > 0:
            await sleep(pause)
        question = source(len(tasks))
        tasks.append(create_task(balancer.send(question, scheduled_at)))
    return list(await gather(*tasks))
