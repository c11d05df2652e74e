"""HTTP messages and helpers shared by server and client."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from msgspec.json import encode

Headers = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response; header names are in lower case."""

    status: int
    body: bytes = b''
    headers: dict[str, str] = field(default_factory=dict)


def json_response(
    status: int, content: object, headers: dict[str, str] | None = None
) -> HttpResponse:
    """Return a response with a JSON body."""
    all_headers = {'content-type': 'application/json', **(headers or {})}
    return HttpResponse(status, encode(content), all_headers)


def problem_response(
    status: int,
    title: str,
    detail: str,
    extra: dict[str, object] | None = None,
    headers: dict[str, str] | None = None,
) -> HttpResponse:
    """Return an error response with problem details (RFC 9457)."""
    content = {
        'type': 'about:blank',
        'title': title,
        'status': status,
        'detail': detail,
        **(extra or {}),
    }
    all_headers = {
        'content-type': 'application/problem+json',
        **(headers or {}),
    }
    return HttpResponse(status, encode(content), all_headers)


def is_close_announced(
    http_version: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> bool:
    """Return whether the sender closes the connection after this message.

    Header names must be in lower case.
    """
    tokens = {
        token.strip().lower()
        for name, text in headers
        if name == b'connection'
        for token in text.split(b',')
    }
    is_persistent = http_version != b'1.0' or b'keep-alive' in tokens
    return b'close' in tokens or not is_persistent


def decode_headers(headers: list[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return h11 headers as a dictionary with lower-case names."""
    return {
        name.decode('ascii').lower(): text.decode('latin-1')
        for name, text in headers
    }
