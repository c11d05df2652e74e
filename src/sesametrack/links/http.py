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


def decode_headers(headers: list[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return h11 headers as a dictionary with lower-case names."""
    return {
        name.decode('ascii').lower(): text.decode('latin-1')
        for name, text in headers
    }
