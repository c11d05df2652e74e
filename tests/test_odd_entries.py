"""Tests of entries that other writers left among those of the searchers."""

from asyncio import run, sleep

from msgspec import DecodeError, Raw
from testtools import TestCase

from sesametrack.platform.decoding import decode_upstream
from sesametrack.platform.pages import decode_batch, decode_page
from standins.searcher import SearcherStandin
from tests.router_fleet import RouterFleet

_DEPTH = 100_000
_ENTRY = (
    b'{"service":"part-a","address":"127.0.0.1:%b","zone":"north",'
    b'"state":"ready","sequence":1,"born":%b,"slots":%b,"cold_left_ms":%b}'
)
_ODD_SPECS = {
    'huge float in slots': _ENTRY % (b'1', b'1', b'1e999', b'0'),
    'huge float in cold_left_ms': _ENTRY % (b'1', b'1', b'1', b'1e999'),
    'huge integer': _ENTRY % (b'1', b'9' * 5000, b'1', b'0'),
    'nested lists': b'[' * _DEPTH + b']' * _DEPTH,
    'nested objects': b'{"a":' * _DEPTH + b'1' + b'}' * _DEPTH,
    'lone surrogate': b'{"zone":"%bud800"}' % b'\\',
    'broken text': b'{"zone":"\xff\xfe"}',
    'brackets in text': rb'{"zone":"]}\"[{","slots":1e999}',
    'port out of range': _ENTRY % (b'70000', b'1', b'1', b'0'),
    'port of zero': _ENTRY % (b'0', b'1', b'1', b'0'),
    'many digits in the port': _ENTRY % (b'9' * 5000, b'1', b'1', b'0'),
    'no object': b'7',
    'nothing': b'null',
    'nested, but readable': b'[' * 900 + b']' * 900,
}
_NEW_PORT = 9690
_TIME_TO_NOTICE_S = 1.5


def make_object(name: str, spec: bytes) -> bytes:
    """Return the JSON of an object of the store."""
    return b'{"meta":{"name":"%b","rev":4},"spec":%b}' % (name.encode(), spec)


class PagesTest(TestCase):
    """One unreadable object hides no other one."""

    def test_listing(self) -> None:
        """The others of a listing are read, wherever the odd one is."""
        valid = [
            make_object(f'i-{number}', _ENTRY % (b'80', b'1', b'2', b'0'))
            for number in range(2)
        ]
        for kind, spec in _ODD_SPECS.items():
            for position in range(3):
                listed = list(valid)
                listed.insert(position, make_object('odd', spec))
                page = decode_page(
                    b'{"items":[%b],"store_revision":5,"has_more":true}'
                    % b', '.join(listed)
                )
                self.assertEqual(
                    (5, True), (page.store_revision, page.has_more)
                )
                known = [
                    record.id
                    for one in page.objects
                    if (record := decode_upstream(one)) is not None
                ]
                self.assertEqual(['i-0', 'i-1'], known, kind)

    def test_changes(self) -> None:
        """The others of a batch are read, and the odd one has its name."""
        for kind, spec in _ODD_SPECS.items():
            batch = decode_batch(
                b'{"store_revision":9,"events":[{"object":%b},'
                b'{"deleted":true,"object":%b}]}'
                % (make_object('odd', spec), make_object('i-1', b'{}'))
            )
            named = [
                (one.object.meta.name, one.deleted) for one in batch.events
            ]
            self.assertEqual([('odd', False), ('i-1', True)], named, kind)
            self.assertEqual(9, batch.store_revision)

    def test_no_page_at_all(self) -> None:
        """What is no page is an error of the store, not an empty listing."""
        for body in (b'', b'[]', b'{"items":[', b'{"items":7}', b'\xff'):
            self.assertRaises(DecodeError, decode_page, body)
            self.assertRaises(DecodeError, decode_batch, body)


class OddEntriesTest(TestCase):
    """Routers follow the searchers whatever else is written among them."""

    # Guards against routers that answer 503 to everything, or stop following
    # the searchers, while one odd entry stands.
    def test_whole_path(self) -> None:
        """Write odd entries before the start of routers, and after it."""
        run(self.check())

    async def check(self) -> None:
        """Play the entries on two routers, the second one a follower."""
        fleet = RouterFleet('127.25', vm_count=2, replicas=1)
        fleet.first_entries = {
            f'odd-{number}': Raw(spec)
            for number, spec in enumerate(_ODD_SPECS.values())
        }
        try:
            await fleet.start()
            for number, spec in enumerate(_ODD_SPECS.values()):
                await fleet.store.put('servers', f'late-{number}', Raw(spec))
            await self.check_replacement(fleet)
        finally:
            await fleet.close()

    async def check_replacement(self, fleet: RouterFleet) -> None:
        """Check that a new searcher is used, and a removed one is not."""
        first = fleet.searchers[0]
        added = SearcherStandin(fleet.host, _NEW_PORT, 'i-new', first.service)
        fleet.searchers.append(added)
        await added.start()
        await fleet.store.put('servers', added.id, added.entry)
        await fleet.store.remove('servers', first.id)
        await sleep(_TIME_TO_NOTICE_S)
        before = len(first.seen)
        for vm in range(fleet.vm_count):
            answered = await fleet.send(vm, f'/all/{vm}')
            self.assertEqual(200, answered.status)
        self.assertEqual(before, len(first.seen))
        self.assertEqual(fleet.vm_count, len(added.seen))
