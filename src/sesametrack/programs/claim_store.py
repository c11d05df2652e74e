"""Claims request ids in the platform for requests that run at most once."""

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

_TRIES = 3
_RECORD_TRIES = 60
_RECORD_PAUSE: Seconds = 1
# The caller's answer waits this long for its outcome to be recorded.
_RECORD_WAIT: Seconds = 1
_RETRY_AFTER: Seconds = 1
_log = getLogger('claims')

Pause = Callable[[Seconds], Awaitable[None]]


class RecordedAnswerError(RefusalError):
    """The request ran before; its recorded answer is given again."""

    def __init__(self, answer: str) -> None:
        """Keep the JSON text of the recorded answer."""
        self.answer = answer
        super().__init__(Outcome.ran, 'already ran')


class ClaimStore:
    """Takes claims and records what became of them."""

    def __init__(self, platform: PlatformClient, pause: Pause = sleep) -> None:
        """Bind the platform, and how to pause between tries."""
        self._platform = platform
        self._pause = pause
        self._recording: set[Task] = set()

    async def close(self) -> None:
        """Wait a moment for outcomes that are still being recorded."""
        if self._recording:
            await wait(self._recording, timeout=_RECORD_WAIT)
        for task in self._recording:
            task.cancel()

    async def claim(self, request: QueryRequest) -> StoredClaim:
        """Take the claim; only its holder may send the request.

        Raises RefusalError if it may not run, with the outcome that is
        true, and RecordedAnswerError if it ran before.
        """
        key = claim_key(request.service, request.request_id)
        claim = Claim(token_hex(16), request.fingerprint, ClaimState.claimed)
        for _ in range(_TRIES):
            try:
                held = await self._try_claim(key, claim)
            except PlatformUnavailableError as failed:
                # Nothing was sent to an upstream, whatever became of the
                # write: without a claim that is known to be held, none is.
                raise RefusalError(
                    Outcome.not_run, f'no claim: {failed}', _RETRY_AFTER
                ) from failed
            if held is not None:
                return held
        raise RefusalError(
            Outcome.not_run, 'the claim could not be settled', _RETRY_AFTER
        )

    async def record(
        self,
        request: QueryRequest,
        held: StoredClaim,
        outcome: Outcome,
        answer: bytes,
    ) -> None:
        """Record the outcome; goes on in the background if it takes long."""
        key = claim_key(request.service, request.request_id)
        claim = with_outcome(held.claim, outcome, answer)
        task = create_task(self._record(key, claim, held.version))
        self._recording.add(task)
        task.add_done_callback(self._recording.discard)
        await wait((task,), timeout=_RECORD_WAIT)

    async def _try_claim(self, key: str, claim: Claim) -> StoredClaim | None:
        """Try once; None if it must be tried again."""
        stored = await self._create_or_read(key, claim)
        if stored is None:
            return None
        verdict = decide_claim(stored, claim.token, claim.fingerprint)
        if verdict is ClaimDecision.run:
            return stored
        if verdict is ClaimDecision.take_over:
            return await self._take_over(key, claim, stored)
        raise _refuse(verdict, stored)

    async def _create_or_read(
        self, key: str, claim: Claim
    ) -> StoredClaim | None:
        try:
            created = await self._platform.create(key, encode_claim(claim))
        except ConflictError:
            return await self._read(key)
        except PlatformLostReplyError:
            # The write may have taken effect: only reading back can tell.
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
            found = await self._read(key)
            is_mine = found is not None and found.claim.token == claim.token
            return found if is_mine else None
        return _decode(updated)

    async def _read(self, key: str) -> StoredClaim | None:
        found = await self._platform.get(key)
        return None if found is None else _decode(found)

    async def _record(self, key: str, claim: Claim, version: int) -> None:
        for _ in range(_RECORD_TRIES):
            try:
                await self._platform.update(key, encode_claim(claim), version)
            except ConflictError:
                # An earlier try took effect, or the claim was taken over
                # after that; nothing else writes a claim that is held.
                return
            except (PlatformLostReplyError, PlatformUnavailableError):
                await self._pause(_RECORD_PAUSE)
                continue
            return
        _log.error('the outcome of %s was not recorded', key)


def _decode(stored: PlatformObject) -> StoredClaim:
    return StoredClaim(decode(stored.text, type=Claim), stored.version)


def _refuse(verdict: ClaimDecision, stored: StoredClaim) -> RefusalError:
    if verdict is ClaimDecision.repeat_answer:
        return RecordedAnswerError(stored.claim.answer)
    if verdict is ClaimDecision.refuse_mismatch:
        return RefusalError(
            Outcome.not_run, 'the request id was used for another request'
        )
    return RefusalError(
        Outcome.unknown, 'another attempt with this request id was under way'
    )
