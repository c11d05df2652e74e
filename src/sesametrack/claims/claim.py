"""Claims that make a non-repeatable request run at most once."""

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
    """The object stored on the platform for a request id.

    `token` identifies the attempt that holds the claim. `answer` is the JSON
    text of the answer once the request has run, otherwise empty.
    """

    token: str
    fingerprint: str
    state: ClaimState
    answer: str = ''


@dataclass(frozen=True, slots=True)
class StoredClaim:
    """A claim read from the platform, with its object version."""

    claim: Claim
    version: int


class ClaimDecision(Enum):
    """What an attempt may do with the claim on its request id."""

    run = 'run'
    take_over = 'take_over'
    repeat_answer = 'repeat_answer'
    refuse_mismatch = 'refuse_mismatch'
    refuse_unknown = 'refuse_unknown'


def claim_key(service: str, request_id: str) -> str:
    """Return the platform key of the claim on a request id."""
    return CLAIM_PREFIX + xxh3_128_hexdigest(
        f'{service}\n{request_id}'.encode()
    )


def decide_claim(
    stored: StoredClaim, token: str, fingerprint: str
) -> ClaimDecision:
    """Return what the attempt `token` may do, given the stored claim.

    Only the attempt whose token is in a `claimed` object may send the request.
    A claim held by another attempt is never run again, because its holder may
    have crashed either before or after sending the request.
    """
    claim = stored.claim
    if claim.fingerprint != fingerprint:
        return ClaimDecision.refuse_mismatch
    if claim.state is ClaimState.claimed:
        is_own = claim.token == token
        return ClaimDecision.run if is_own else ClaimDecision.refuse_unknown
    if claim.state is ClaimState.not_run:
        return ClaimDecision.take_over
    if claim.state is ClaimState.ran and claim.answer:
        return ClaimDecision.repeat_answer
    return ClaimDecision.refuse_unknown


def with_outcome(claim: Claim, outcome: Outcome, answer: bytes) -> Claim:
    """Return the claim with the outcome reported to the caller."""
    state = {
        Outcome.ran: ClaimState.ran,
        Outcome.not_run: ClaimState.not_run,
        Outcome.unknown: ClaimState.unknown,
    }[outcome]
    text = answer.decode() if state is ClaimState.ran else ''
    return Claim(claim.token, claim.fingerprint, state, text)


def encode_claim(claim: Claim) -> bytes:
    """Return a claim encoded as JSON."""
    return encode(claim)
