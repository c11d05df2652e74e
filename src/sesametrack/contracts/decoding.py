"""Decoding of JSON input with errors that name source, path and value."""

from collections.abc import Callable
from re import compile as compile_pattern
from typing import Any, TypeVar

from msgspec import DecodeError, ValidationError, convert
from msgspec.json import decode

from sesametrack.contracts.exceptions import InputError

_Model = TypeVar('_Model')
_MESSAGE = compile_pattern(r'^(?P<problem>.*?)(?: - at `(?P<path>[^`]*)`)?$')
_STEP = compile_pattern(r'\.(?P<name>[^.\[\]]+)|\[(?P<index>\d+)\]')
_UNKNOWN_FIELD = compile_pattern('unknown field `(?P<field>[^`]+)`')


def decode_json(
    text: bytes | str,
    model: type[_Model],
    source: str,
    error: Callable[..., InputError] = InputError,
) -> _Model:
    """Decode and validate JSON text.

    Raises the given kind of InputError, which names the source (a file or
    a caller), the path inside it and the value that was refused.
    """
    try:
        plain = decode(text)
    except DecodeError as broken:
        raise error(source, '$', f'is not JSON: {broken}') from broken
    return convert_decoded(plain, model, source, error)


def convert_decoded(
    plain: Any,
    model: type[_Model],
    source: str,
    error: Callable[..., InputError] = InputError,
) -> _Model:
    """Validate decoded JSON against a model; errors as in decode_json."""
    try:
        return convert(plain, model)
    except ValidationError as refused:
        match = _MESSAGE.match(str(refused))
        path = (match and match['path']) or '$'
        problem = match['problem'] if match else str(refused)
        found = _look_up(plain, path)
        unknown = _UNKNOWN_FIELD.search(problem)
        if unknown and isinstance(found, dict):
            found = found.get(unknown['field'])
        raise error(source, path, problem, found) from refused


def _look_up(plain: Any, path: str) -> Any:
    found = plain
    for step in _STEP.finditer(path):
        try:
            found = (
                found[int(step['index'])]
                if step['index']
                else found[step['name']]
            )
        except (KeyError, IndexError, TypeError):
            return None
    return found
