"""Claims on request ids, stored on the platform, for at-most-once requests."""

from asyncio import Task, create_task, sleep, wait
from collections.abc import Awaitable, Callable
from logging import getLogger
from secrets import token_hex

from msgspec.json import decode

from sesametrack.claims.claim import (
    Claim,
    ClaimDecision,
    ClaimState,
    StoredClaim,
    claim_key,
    decide_claim,
    encode_claim,
    with_outcome,
)
from sesametrack.contracts.exceptions import (
    ConflictError,
    PlatformLostReplyError,
    PlatformUnavailableError,
    RefusalError,
)
from sesametrack.contracts.outcomes import Outcome
from sesametrack.contracts.requests import QueryRequest
from sesametrack.contracts.types import Seconds
from sesametrack.links.platform import PlatformClient, PlatformObject

_CLAIM_ATTEMPTS = 3
_RECORD_ATTEMPTS = 60
_RECORD_RETRY_DELAY: Seconds = 1
# The answer to the caller is delayed by at most this time while its outcome is
# recorded.
_RECORD_TIMEOUT: Seconds = 1
_RETRY_AFTER: Seconds = 1
_log = getLogger('claims')

Pause = Callable[[Seconds], Awaitable[None]]


class RecordedAnswerError(RefusalError):
    """The request has run before; its recorded answer is returned."""

    def __init__(self, answer: str) -> None:
        """Store the JSON text of the recorded answer."""
        self.answer = answer
        super().__init__(Outcome.ran, 'already ran')


class ClaimStore:
    """Creates claims and records the outcomes of the claimed requests."""

    def __init__(self, platform: PlatformClient, pause: Pause = sleep) -> None:
        """Create a store; `pause` sleeps between attempts to record."""
        self._platform = platform
        self._pause = pause
        self._record_tasks: set[Task] = set()

    async def close(self) -> None:
        """Wait briefly for outcomes being recorded, then cancel the rest."""
        if self._record_tasks:
            await wait(self._record_tasks, timeout=_RECORD_TIMEOUT)
        for task in self._record_tasks:
            task.cancel()

    async def claim(self, request: QueryRequest) -> StoredClaim:
        """Claim the request id and return the claim.

        Only the holder of the claim may send the request. Raises
        RefusalError, with the outcome to report, if the request may not run,
        and RecordedAnswerError if it has run before and its answer is
        recorded.
        """
        key = claim_key(request.service, request.request_id)
        claim = Claim(token_hex(16), request.fingerprint, ClaimState.claimed)
        for _ in range(_CLAIM_ATTEMPTS):
            try:
                stored = await self._try_claim(key, claim)
            except PlatformUnavailableError as error:
                # The write may have taken effect, but a request is sent only
                # once its claim is confirmed, so it has not run.
                raise RefusalError(
                    Outcome.not_run, f'no claim: {error}', _RETRY_AFTER
                ) from error
            if stored is not None:
                return stored
        raise RefusalError(
            Outcome.not_run, 'the claim could not be settled', _RETRY_AFTER
        )

    async def record_outcome(
        self,
        request: QueryRequest,
        stored_claim: StoredClaim,
        outcome: Outcome,
        answer: bytes,
    ) -> None:
        """Record the outcome of a claimed request.

        Returns after `_RECORD_TIMEOUT` at the latest; recording continues in
        the background.
        """
        key = claim_key(request.service, request.request_id)
        claim = with_outcome(stored_claim.claim, outcome, answer)
        task = create_task(
            self._write_outcome(key, claim, stored_claim.version)
        )
        self._record_tasks.add(task)
        task.add_done_callback(self._record_tasks.discard)
        await wait((task,), timeout=_RECORD_TIMEOUT)

    async def _try_claim(self, key: str, claim: Claim) -> StoredClaim | None:
        """Return the claim that is held; None if the attempt must be repeated.

        Raises RefusalError if the request may not run.
        """
        stored = await self._create_or_read(key, claim)
        if stored is None:
            return None
        decision = decide_claim(stored, claim.token, claim.fingerprint)
        if decision is ClaimDecision.run:
            return stored
        if decision is ClaimDecision.take_over:
            return await self._take_over(key, claim, stored)
        raise _refusal(decision, stored)

    async def _create_or_read(
        self, key: str, claim: Claim
    ) -> StoredClaim | None:
        try:
            created = await self._platform.create(key, encode_claim(claim))
        except ConflictError:
            return await self._read(key)
        except PlatformLostReplyError:
            # The write may have taken effect; read the object to find out.
            return await self._read(key)
        return _decode(created)

    async def _take_over(
        self, key: str, claim: Claim, stored: StoredClaim
    ) -> StoredClaim | None:
        try:
            updated = await self._platform.update(
                key, encode_claim(claim), stored.version
            )
        except ConflictError:
            return None
        except PlatformLostReplyError:
            current = await self._read(key)
            is_own = current is not None and current.claim.token == claim.token
            return current if is_own else None
        return _decode(updated)

    async def _read(self, key: str) -> StoredClaim | None:
        current = await self._platform.get(key)
        return None if current is None else _decode(current)

    async def _write_outcome(
        self, key: str, claim: Claim, version: int
    ) -> None:
        for _ in range(_RECORD_ATTEMPTS):
            try:
                await self._platform.update(key, encode_claim(claim), version)
            except ConflictError:
                # An earlier attempt took effect, or another attempt took the
                # claim over after that; nothing else writes a held claim.
                return
            except (PlatformLostReplyError, PlatformUnavailableError):
                await self._pause(_RECORD_RETRY_DELAY)
                continue
            return
        _log.error('could not record the outcome of claim %s', key)


def _decode(stored: PlatformObject) -> StoredClaim:
    return StoredClaim(decode(stored.text, type=Claim), stored.version)


def _refusal(decision: ClaimDecision, stored: StoredClaim) -> RefusalError:
    if decision is ClaimDecision.repeat_answer:
        return RecordedAnswerError(stored.claim.answer)
    if decision is ClaimDecision.refuse_mismatch:
        return RefusalError(
            Outcome.not_run, 'the request id was used for another request'
        )
    return RefusalError(
        Outcome.unknown, 'another attempt with this request id was under way'
    )
