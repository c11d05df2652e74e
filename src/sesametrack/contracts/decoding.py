"""JSON decoding with errors that name the source, path and value."""

from collections.abc import Callable
from re import compile as compile_pattern
from typing import Any, TypeVar

from msgspec import DecodeError, ValidationError, convert
from msgspec.json import decode

from sesametrack.contracts.exceptions import InputError

_Model = TypeVar('_Model')
_ERROR_MESSAGE = compile_pattern(
    r'^(?P<problem>.*?)(?: - at `(?P<path>[^`]*)`)?$'
)
_PATH_STEP = compile_pattern(r'\.(?P<name>[^.\[\]]+)|\[(?P<index>\d+)\]')
_UNKNOWN_FIELD = compile_pattern('unknown field `(?P<field>[^`]+)`')


def decode_json(
    text: bytes | str,
    model: type[_Model],
    source: str,
    error: Callable[..., InputError] = InputError,
) -> _Model:
    """Decode and validate JSON text.

    Raises the given subclass of InputError, which names the source (a file
    or a caller), the path in the document and the invalid value.
    """
    try:
        decoded = decode(text)
    except DecodeError as cause:
        raise error(source, '$', f'is not JSON: {cause}') from cause
    return convert_decoded(decoded, model, source, error)


def convert_decoded(
    decoded: Any,
    model: type[_Model],
    source: str,
    error: Callable[..., InputError] = InputError,
) -> _Model:
    """Validate decoded JSON against a model.

    Raises the same errors as decode_json.
    """
    try:
        return convert(decoded, model)
    except ValidationError as cause:
        match = _ERROR_MESSAGE.match(str(cause))
        path = (match and match['path']) or '$'
        problem = match['problem'] if match else str(cause)
        found = _value_at_path(decoded, path)
        unknown = _UNKNOWN_FIELD.search(problem)
        if unknown and isinstance(found, dict):
            found = found.get(unknown['field'])
        raise error(source, path, problem, found) from cause


def _value_at_path(decoded: Any, path: str) -> Any:
    found = decoded
    for step in _PATH_STEP.finditer(path):
        try:
            found = (
                found[int(step['index'])]
                if step['index']
                else found[step['name']]
            )
        except (KeyError, IndexError, TypeError):
            return None
    return found
