"""HTTP messages and helpers shared by server and client."""

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
    """Build a response with a JSON body."""
    named = {'content-type': 'application/json', **(headers or {})}
    return HttpResponse(status, encode(content), named)


def problem_response(
    status: int,
    title: str,
    detail: str,
    extra: dict[str, object] | None = None,
    headers: dict[str, str] | None = None,
) -> HttpResponse:
    """Build an error response in the form of problem details (RFC 9457)."""
    content = {
        'type': 'about:blank',
        'title': title,
        'status': status,
        'detail': detail,
        **(extra or {}),
    }
    named = {'content-type': 'application/problem+json', **(headers or {})}
    return HttpResponse(status, encode(content), named)


def decode_headers(raw: list[tuple[bytes, bytes]]) -> dict[str, str]:
    """Convert h11 headers to a dictionary with lower-case names."""
    return {
        name.decode('ascii').lower(): text.decode('latin-1')
        for name, text in raw
    }
