"""Synchronization of a daemon's replica with the platform's objects."""

from asyncio import Task, create_task, gather, sleep
from logging import getLogger
from typing import TYPE_CHECKING, NoReturn

from msgspec import Struct
from msgspec.json import decode

from sesametrack.configuration.parts import (
    HEAD_KEY,
    LEAVING_PREFIX,
    PART_PREFIX,
    Head,
)
from sesametrack.configuration.replica import ConfigurationReplica
from sesametrack.configuration.watchers import choose_watchers
from sesametrack.contracts.exceptions import (
    InputError,
    PlatformError,
    PlatformUnavailableError,
    ProtocolError,
)
from sesametrack.contracts.members import Member, ObjectVersions
from sesametrack.contracts.types import Digest, Seconds
from sesametrack.links.http import HttpRequest
from sesametrack.links.http_client import HttpConnection
from sesametrack.links.platform import ObjectList

if TYPE_CHECKING:
    from sesametrack.programs.node import Node

# Interval at which a daemon that is not a watcher checks whether it became
# one.
_WATCHER_CHECK_INTERVAL: Seconds = 0.5
_INITIAL_BACKOFF: Seconds = 0.2
_MAX_BACKOFF: Seconds = 2
_PEER_TIMEOUT: Seconds = 1
_OK = 200
_log = getLogger('configuration')


class LeavingList(Struct, frozen=True):
    """Leaving upstreams of a failure domain; `version` is the object's."""

    version: int
    upstreams: list[str]


class Synchronizer:
    """Updates the replica from the platform or from peers.

    The watchers of each failure domain watch the platform. Other daemons
    fetch new versions from members that announce them by gossip.
    """

    def __init__(self, node: 'Node') -> None:
        """Create an empty replica; `start` begins to update it."""
        self.replica = ConfigurationReplica()
        self.leaving = LeavingList(0, [])
        self._node = node
        self._tasks: list[Task] = []
        self._source: Member | None = None
        self._wanted = ObjectVersions()
        self._fetch_task: Task | None = None

    def start(self) -> None:
        """Start the watch tasks."""
        domain = self._node.local_member.failure_domain
        self._tasks = [
            create_task(self._run_watch(HEAD_KEY)),
            create_task(self._run_watch(LEAVING_PREFIX + domain)),
        ]

    async def close(self) -> None:
        """Stop all tasks."""
        for task in self._tasks:
            task.cancel()
        if self._fetch_task is not None:
            self._fetch_task.cancel()

    @property
    def versions(self) -> ObjectVersions:
        """Versions of the objects in the replica."""
        return ObjectVersions(self.replica.revision, self.leaving.version)

    @property
    def is_watcher(self) -> bool:
        """Return whether this daemon watches the platform."""
        if self.replica.current is None:
            return True
        domain = self._node.local_member.failure_domain
        members = self._node.membership.usable_members()
        return self._node.local_member.id in choose_watchers(domain, members)

    def fetch_if_newer(self, member: Member, versions: ObjectVersions) -> None:
        """Fetch the objects of which a member has newer versions."""
        is_same_domain = (
            member.failure_domain == self._node.local_member.failure_domain
        )
        has_newer = self.replica.is_newer(versions.configuration) or (
            is_same_domain and versions.leaving > self.leaving.version
        )
        if not has_newer:
            return
        if self._fetch_task is not None and not self._fetch_task.done():
            return
        self._fetch_task = create_task(self._fetch(member))

    async def _run_watch(self, key: str) -> NoReturn:
        version = 0
        backoff = _INITIAL_BACKOFF
        while True:
            if not self.is_watcher:
                version = 0
                await sleep(_WATCHER_CHECK_INTERVAL)
                continue
            try:
                version = await self._watch_once(key, version)
            except (PlatformError, InputError, ValueError) as error:
                _log.warning('watch of %s failed: %s', key, error)
                await sleep(backoff * self._node.rng.uniform(0.5, 1))
                backoff = min(_MAX_BACKOFF, backoff * 2)
                continue
            backoff = _INITIAL_BACKOFF

    async def _watch_once(self, key: str, version: int) -> int:
        platform = self._node.platform
        if version:
            listed = await platform.watch(key, version)
        else:
            listed = await platform.list_objects(key)
        await self._apply_objects(listed)
        return max(1, listed.version)

    async def _apply_objects(self, listed: ObjectList) -> None:
        for stored in listed.objects:
            if stored.key == HEAD_KEY:
                await self._apply_head(decode(stored.text, type=Head))
            elif stored.version > self.leaving.version:
                upstreams = decode(stored.text, type=list[str])
                self._set_leaving(LeavingList(stored.version, upstreams))

    async def _apply_head(self, head: Head) -> None:
        if not self.replica.is_newer(head.revision):
            return
        digests = self.replica.missing_digests(head)
        parts = await gather(*(self._read_part(digest) for digest in digests))
        self._accept(head, dict(zip(digests, parts, strict=True)), 'platform')

    async def _read_part(self, digest: Digest) -> bytes:
        stored = await self._node.platform.get(PART_PREFIX + digest)
        if stored is None:
            raise PlatformUnavailableError(f'part {digest} does not exist')
        return stored.text.encode()

    async def _fetch(self, member: Member) -> None:
        connection = HttpConnection(member.admin)
        try:
            await connection.start(_PEER_TIMEOUT)
            await self._fetch_configuration(connection, member)
            if member.failure_domain == self._node.local_member.failure_domain:
                reply = await self._get(connection, '/leaving')
                leaving = decode(reply, type=LeavingList)
                if leaving.version > self.leaving.version:
                    self._set_leaving(leaving)
        except (OSError, EOFError, ProtocolError, InputError) as error:
            _log.warning('fetching from %s failed: %r', member.id, error)
        except (TimeoutError, ValueError) as error:
            _log.warning('invalid reply from %s: %r', member.id, error)
        finally:
            connection.abort()

    async def _fetch_configuration(
        self, connection: HttpConnection, member: Member
    ) -> None:
        reply = await self._get(connection, '/configuration/head')
        head = decode(reply, type=Head)
        if not self.replica.is_newer(head.revision):
            return
        parts = {}
        for digest in self.replica.missing_digests(head):
            path = f'/configuration/parts/{digest}'
            parts[digest] = await self._get(connection, path)
        self._accept(head, parts, member.id)

    async def _get(self, connection: HttpConnection, path: str) -> bytes:
        reply = await connection.exchange(
            HttpRequest('GET', path, {}), _PEER_TIMEOUT
        )
        if reply.status != _OK:
            raise ProtocolError(f'{path}: unexpected status {reply.status}')
        return reply.body

    def _accept(
        self, head: Head, parts: dict[Digest, bytes], source: str
    ) -> None:
        if not self.replica.accept(head, parts):
            return
        configuration = self.replica.current
        _log.info('configuration revision %s is in force', head.revision)
        self._node.events.record(
            'configuration',
            'in_force',
            revision=head.revision,
            change=head.change_id,
            source=source,
        )
        lifecycle = self._node.lifecycle
        lifecycle.mark_configured()
        rules = configuration.rules
        lifecycle.is_out_of_service = (
            self._node.local_member.vm in rules.vms_out
            or self._node.local_member.failure_domain
            in rules.failure_domains_out
        )
        self._node.handlers.configuration_changed(configuration)
        self._node.publish_versions(self.versions)

    def _set_leaving(self, leaving: LeavingList) -> None:
        self.leaving = leaving
        self._node.events.record(
            'configuration', 'leaving_list', upstreams=len(leaving.upstreams)
        )
        self._node.handlers.leaving_changed(frozenset(leaving.upstreams))
        self._node.publish_versions(self.versions)
