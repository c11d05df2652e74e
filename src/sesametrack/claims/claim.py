"""Claims that let a request which may not be repeated run at most once."""

from dataclasses import dataclass
from enum import Enum

from msgspec import Struct
from msgspec.json import encode
from xxhash import xxh3_128_hexdigest

from sesametrack.contracts.outcomes import Outcome

CLAIM_PREFIX = 'claims/'


class ClaimState(Enum):
    """State of the claim on a request id."""

    claimed = 'claimed'
    ran = 'ran'
    not_run = 'not_run'
    unknown = 'unknown'


class Claim(Struct, frozen=True):
    """The object stored for a request id.

    `token` names the attempt that holds the claim; `answer` is the JSON
    text of the answer that was given, where one was.
    """

    token: str
    fingerprint: str
    state: ClaimState
    answer: str = ''


@dataclass(frozen=True, slots=True)
class StoredClaim:
    """A claim as read from the platform, with its object version."""

    claim: Claim
    version: int


class ClaimDecision(Enum):
    """What a daemon may do about a request id."""

    run = 'run'
    take_over = 'take_over'
    repeat_answer = 'repeat_answer'
    refuse_mismatch = 'refuse_mismatch'
    refuse_unknown = 'refuse_unknown'


def claim_key(service: str, request_id: str) -> str:
    """Return the platform key of a request id."""
    return CLAIM_PREFIX + xxh3_128_hexdigest(
        f'{service}\n{request_id}'.encode()
    )


def decide_claim(
    stored: StoredClaim, token: str, fingerprint: str
) -> ClaimDecision:
    """Decide from the stored claim what the attempt `token` may do.

    Only the attempt whose token stands in a `claimed` object may send. A
    claim found in another attempt's hands is never run again: whether its
    holder died before or after sending cannot be told.
    """
    claim = stored.claim
    if claim.fingerprint != fingerprint:
        return ClaimDecision.refuse_mismatch
    if claim.state is ClaimState.claimed:
        is_mine = claim.token == token
        return ClaimDecision.run if is_mine else ClaimDecision.refuse_unknown
    if claim.state is ClaimState.not_run:
        return ClaimDecision.take_over
    if claim.state is ClaimState.ran and claim.answer:
        return ClaimDecision.repeat_answer
    return ClaimDecision.refuse_unknown


def with_outcome(claim: Claim, outcome: Outcome, answer: bytes) -> Claim:
    """Return the claim with the outcome that the caller is told."""
    state = {
        Outcome.ran: ClaimState.ran,
        Outcome.not_run: ClaimState.not_run,
        Outcome.unknown: ClaimState.unknown,
    }[outcome]
    text = answer.decode() if state is ClaimState.ran else ''
    return Claim(claim.token, claim.fingerprint, state, text)


def encode_claim(claim: Claim) -> bytes:
    """Encode a claim for the platform."""
    return encode(claim)
