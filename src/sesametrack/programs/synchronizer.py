"""Keeps a daemon's replica of the platform's objects current."""

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
from sesametrack.contracts.members import Member, Versions
from sesametrack.contracts.types import Digest, Seconds
from sesametrack.links.http import HttpRequest
from sesametrack.links.http_client import HttpConnection
from sesametrack.links.platform import ObjectList

if TYPE_CHECKING:
    from sesametrack.programs.node import Node

_IDLE: Seconds = 0.5
_FIRST_BACKOFF: Seconds = 0.2
_MAX_BACKOFF: Seconds = 2
_PEER_TIMEOUT: Seconds = 1
_OK = 200
_log = getLogger('configuration')


class LeavingList(Struct, frozen=True):
    """Leaving upstreams of a failure domain, with the object's version."""

    version: int
    upstreams: list[str]


class Synchronizer:
    """Watches the platform if chosen to, and else follows the peers."""

    def __init__(self, node: 'Node') -> None:
        """Bind the node; `start` begins to synchronize."""
        self.replica = ConfigurationReplica()
        self.leaving = LeavingList(0, [])
        self._node = node
        self._tasks: list[Task] = []
        self._source: Member | None = None
        self._wanted = Versions()
        self._fetching: Task | None = None

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
        if self._fetching is not None:
            self._fetching.cancel()

    @property
    def versions(self) -> Versions:
        """What this daemon has."""
        return Versions(self.replica.revision, self.leaving.version)

    @property
    def is_watcher(self) -> bool:
        """Tell whether this daemon watches the platform."""
        if self.replica.current is None:
            return True
        domain = self._node.local_member.failure_domain
        members = self._node.membership.usable_members()
        return self._node.local_member.id in choose_watchers(domain, members)

    def fetch_if_newer(self, member: Member, versions: Versions) -> None:
        """Fetch from a member what it has newer than this daemon."""
        is_near = (
            member.failure_domain == self._node.local_member.failure_domain
        )
        is_news = self.replica.is_newer(versions.configuration) or (
            is_near and versions.leaving > self.leaving.version
        )
        if not is_news:
            return
        if self._fetching is not None and not self._fetching.done():
            return
        self._fetching = create_task(self._fetch(member))

    async def _run_watch(self, key: str) -> NoReturn:
        version = 0
        backoff = _FIRST_BACKOFF
        while True:
            if not self.is_watcher:
                version = 0
                await sleep(_IDLE)
                continue
            try:
                version = await self._watch_once(key, version)
            except (PlatformError, InputError, ValueError) as failed:
                _log.warning('watch of %s failed: %s', key, failed)
                await sleep(backoff * self._node.rng.uniform(0.5, 1))
                backoff = min(_MAX_BACKOFF, backoff * 2)
                continue
            backoff = _FIRST_BACKOFF

    async def _watch_once(self, key: str, version: int) -> int:
        platform = self._node.platform
        if version:
            found = await platform.watch(key, version)
        else:
            found = await platform.list_objects(key)
        await self._take(found)
        return max(1, found.version)

    async def _take(self, found: ObjectList) -> None:
        for stored in found.objects:
            if stored.key == HEAD_KEY:
                await self._take_head(decode(stored.text, type=Head))
            elif stored.version > self.leaving.version:
                upstreams = decode(stored.text, type=list[str])
                self._set_leaving(LeavingList(stored.version, upstreams))

    async def _take_head(self, head: Head) -> None:
        if not self.replica.is_newer(head.revision):
            return
        digests = self.replica.missing_digests(head)
        parts = await gather(*(self._read_part(digest) for digest in digests))
        self._accept(head, dict(zip(digests, parts, strict=True)), 'platform')

    async def _read_part(self, digest: Digest) -> bytes:
        stored = await self._node.platform.get(PART_PREFIX + digest)
        if stored is None:
            raise PlatformUnavailableError(f'part {digest} is not there')
        return stored.text.encode()

    async def _fetch(self, member: Member) -> None:
        connection = HttpConnection(member.admin)
        try:
            await connection.start(_PEER_TIMEOUT)
            await self._fetch_configuration(connection, member)
            if member.failure_domain == self._node.local_member.failure_domain:
                reply = await self._ask(connection, '/leaving')
                leaving = decode(reply, type=LeavingList)
                if leaving.version > self.leaving.version:
                    self._set_leaving(leaving)
        except (OSError, EOFError, ProtocolError, InputError) as failed:
            _log.warning('fetching from %s failed: %r', member.id, failed)
        except (TimeoutError, ValueError) as unusable:
            _log.warning('%s gave nothing usable: %r', member.id, unusable)
        finally:
            connection.abort()

    async def _fetch_configuration(
        self, connection: HttpConnection, member: Member
    ) -> None:
        reply = await self._ask(connection, '/configuration/head')
        head = decode(reply, type=Head)
        if not self.replica.is_newer(head.revision):
            return
        parts = {}
        for digest in self.replica.missing_digests(head):
            path = f'/configuration/parts/{digest}'
            parts[digest] = await self._ask(connection, path)
        self._accept(head, parts, member.id)

    async def _ask(self, connection: HttpConnection, path: str) -> bytes:
        reply = await connection.exchange(
            HttpRequest('GET', path, {}), _PEER_TIMEOUT
        )
        if reply.status != _OK:
            raise ProtocolError(f'{path} was answered with {reply.status}')
        return reply.body

    def _accept(
        self, head: Head, parts: dict[Digest, bytes], source: str
    ) -> None:
        if not self.replica.accept(head, parts):
            return
        configuration = self.replica.current
        _log.info('revision %s is in force', head.revision)
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
        self._node.handlers.configured(configuration)
        self._node.publish_versions(self.versions)

    def _set_leaving(self, leaving: LeavingList) -> None:
        self.leaving = leaving
        self._node.events.record(
            'configuration', 'leaving_list', upstreams=len(leaving.upstreams)
        )
        self._node.handlers.leaving_changed(frozenset(leaving.upstreams))
        self._node.publish_versions(self.versions)
