"""Keys of callers: how requests bring them, and how they are kept secret."""

from dataclasses import replace
from typing import Any

from sesametrack.contracts.types import WorkspaceId
from sesametrack.platform.pages import Change, ChangeBatch, StoreObject
from sesametrack.routing.events import CallerRequest, Headers
from sesametrack.routing.workspaces import digest_key

_AUTHORIZATION = b'authorization'
_SCHEME = b'bearer'
# The name of the caller's workspace, for upstreams.
_WORKSPACE = b'tenant'
_WORKSPACES_FIELD = 'tenants'
_KEYS_FIELD = 'api_keys'
# Takes the place of the keys in copies of the desired state at VMs.
DIGESTS_FIELD = 'key_digests'


def read_key(headers: Headers) -> bytes | None:
    """Return the key of a request; None if it has none, or several."""
    credentials = [text for name, text in headers if name == _AUTHORIZATION]
    if len(credentials) != 1:
        return None
    scheme, _, key = credentials[0].strip().partition(b' ')
    if scheme.lower() != _SCHEME:
        return None
    return key.strip() or None


def name_workspace(
    request: CallerRequest, workspace: WorkspaceId
) -> CallerRequest:
    """Return the request with the workspace's name in place of its key.

    Without a workspace it has neither.
    """
    headers = [
        header
        for header in request.headers
        if header[0] not in {_AUTHORIZATION, _WORKSPACE}
    ]
    if workspace:
        headers.append((_WORKSPACE, workspace.encode()))
    return replace(request, headers=headers, workspace=workspace)


def hide_keys(store_object: StoreObject) -> StoreObject:
    """Return an object with digests in place of the keys of workspaces.

    Objects of other kinds, and entries of another form, stay as they are.
    """
    spec = store_object.spec
    if not isinstance(spec, dict):
        return store_object
    entries = spec.get(_WORKSPACES_FIELD)
    if not isinstance(entries, list):
        return store_object
    hidden = [_hide_entry(entry) for entry in entries]
    return StoreObject(store_object.meta, {**spec, _WORKSPACES_FIELD: hidden})


def hide_keys_of_batch(batch: ChangeBatch) -> ChangeBatch:
    """Return changes with digests in place of keys."""
    events = [
        Change(hide_keys(change.object), change.deleted)
        for change in batch.events
    ]
    return ChangeBatch(events, batch.store_revision)


def _hide_entry(entry: Any) -> Any:
    if not isinstance(entry, dict) or _KEYS_FIELD not in entry:
        return entry
    keys = entry[_KEYS_FIELD]
    digests = []
    if isinstance(keys, list):
        digests = [
            digest_key(str(key).encode(errors='replace')) for key in keys
        ]
    others = {
        name: content for name, content in entry.items() if name != _KEYS_FIELD
    }
    return {**others, DIGESTS_FIELD: digests}
