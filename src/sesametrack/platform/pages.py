"""Decoding of the store's pages, of which single objects may be unreadable.

Any writer may store any JSON. An object that can't be decoded (numbers out of
range, very deep nesting, broken text) must not hide the others of its page, so
it is passed on without content, under its name if that can be read.
"""

from collections.abc import Iterator
from logging import getLogger
from re import DOTALL
from re import compile as compile_pattern
from typing import Any

from msgspec import DecodeError, Struct, ValidationError, field
from msgspec.json import Decoder, decode

from sesametrack.telemetry.structured_log import log_event

_WARNING = 30
# What the decoder raises for input that is no JSON, of the wrong types, or
# nested too deeply.
DECODE_ERRORS = (DecodeError, ValidationError, RecursionError)
_TOKEN = compile_pattern(rb'"(?:[^"\\]|\\.)*"|[\[\]{},:]', DOTALL)
_OPENING = frozenset((b'[', b'{'))
_CLOSING = frozenset((b']', b'}'))

_log = getLogger('platform')


class ObjectMeta(Struct, omit_defaults=True):
    """Name and revision of an object."""

    name: str
    # Revision of the last change. All objects of the store share one counter.
    rev: int = 0
    deleting: bool = False
    created_rev: int = 0


class StoreObject(Struct, omit_defaults=True):
    """An object of any kind; the types of its content depend on the kind."""

    meta: ObjectMeta
    spec: Any = None
    status: Any = None


class Page(Struct):
    """Some of the objects of a kind, and the store's revision."""

    objects: list[StoreObject] = field(name='items')
    store_revision: int = 0
    has_more: bool = False


class Change(Struct):
    """A created, changed or deleted object."""

    object: StoreObject
    deleted: bool = False


class ChangeBatch(Struct):
    """Changes of one kind of object up to a revision of the store."""

    events: list[Change]
    store_revision: int


_page_decoder = Decoder(Page)
_batch_decoder = Decoder(ChangeBatch)
_object_decoder = Decoder(StoreObject)
_meta_decoder = Decoder(ObjectMeta)


def decode_page(body: bytes) -> Page:
    """Return a page; raises DecodeError if it is none."""
    try:
        return _page_decoder.decode(body)
    except DECODE_ERRORS:
        parts = _members(body)
    objects = [
        found
        for raw in _elements(parts.pop('items', b'[]'))
        if (found := _decode_object(raw)) is not None
    ]
    try:
        return Page(
            objects,
            decode(parts.get('store_revision', b'0'), type=int),
            decode(parts.get('has_more', b'false'), type=bool),
        )
    except DECODE_ERRORS as error:
        raise DecodeError(str(error)) from error


def decode_batch(body: bytes) -> ChangeBatch:
    """Return a batch of changes; raises DecodeError if it is none."""
    try:
        return _batch_decoder.decode(body)
    except DECODE_ERRORS:
        parts = _members(body)
    events = [
        change
        for raw in _elements(parts.get('events', b'[]'))
        if (change := _decode_change(raw)) is not None
    ]
    try:
        revision = decode(parts.get('store_revision', b''), type=int)
    except DECODE_ERRORS as error:
        raise DecodeError(str(error)) from error
    return ChangeBatch(events, revision)


def decode_object(body: bytes) -> StoreObject:
    """Return one object; raises DecodeError if it is none."""
    try:
        return _object_decoder.decode(body)
    except DECODE_ERRORS as error:
        raise DecodeError(str(error)) from error


def _decode_change(raw: bytes) -> Change | None:
    try:
        parts = _members(raw)
        is_deleted = decode(parts.get('deleted', b'false'), type=bool)
    except DECODE_ERRORS as error:
        _log_unreadable('', error)
        return None
    found = _decode_object(parts.get('object', b''))
    return None if found is None else Change(found, is_deleted)


def _decode_object(raw: bytes) -> StoreObject | None:
    """Return an object, without content if only its name can be read."""
    try:
        return _object_decoder.decode(raw)
    except DECODE_ERRORS as error:
        problem = error
    try:
        meta = _meta_decoder.decode(_members(raw).get('meta', b''))
    except DECODE_ERRORS:
        _log_unreadable('', problem)
        return None
    _log_unreadable(meta.name, problem)
    return StoreObject(meta)


def _log_unreadable(name: str, problem: Exception) -> None:
    log_event(
        _log, 'object-unreadable', _WARNING, entry=name, problem=str(problem)
    )


def _members(raw: bytes) -> dict[str, bytes]:
    """Return the undecoded values of a JSON object by key.

    Raises DecodeError if it is no object.
    """
    values: dict[str, bytes] = {}
    for part in _split(raw, b'{', b'}'):
        key = _TOKEN.match(part)
        if key is None:
            raise DecodeError('a member has no key')
        _, colon, content = part[key.end() :].partition(b':')
        if not colon:
            raise DecodeError('a member has no value')
        values[decode(key.group(), type=str)] = content.strip()
    return values


def _elements(raw: bytes) -> list[bytes]:
    """Return the undecoded elements of a JSON array."""
    return list(_split(raw, b'[', b']'))


def _split(raw: bytes, opening: bytes, closing: bytes) -> Iterator[bytes]:
    """Yield what is between the commas of the outermost level.

    It works without recursion, and so with any depth.
    """
    text = raw.strip()
    if not text.startswith(opening) or not text.endswith(closing):
        raise DecodeError('not the expected kind of value')
    start = 1
    for end in _outer_commas(text):
        yield text[start:end].strip()
        start = end + 1
    last = text[start:-1].strip()
    if last:
        yield last


def _outer_commas(text: bytes) -> Iterator[int]:
    depth = 0
    for token in _TOKEN.finditer(text):
        symbol = token.group()
        if symbol in _OPENING:
            depth += 1
        elif symbol in _CLOSING:
            depth -= 1
        elif symbol == b',' and depth == 1:
            yield token.start()
    if depth:
        raise DecodeError('the brackets are not balanced')
