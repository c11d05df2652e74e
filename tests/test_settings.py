"""Tests of the settings' validation."""

from msgspec.json import decode, encode
from testtools import TestCase

from bench.deployments import registry
from sesametrack.contracts.exceptions import RequestError, SettingsError
from sesametrack.contracts.requests import read_request
from sesametrack.contracts.settings import read_settings

_PLAIN = registry().vms[0].settings


class SettingsTest(TestCase):
    """Wrong settings are refused with path and value."""

    def refuse(self, path: str, **changes: object) -> SettingsError:
        """Check that changed settings are refused at a path."""
        text = encode({**_PLAIN, **changes})
        error = self.assertRaises(SettingsError, read_settings, text, 'vm.json')
        self.assertEqual(path, error.path)
        self.assertIn('vm.json', str(error))
        return error

    def test_examples_are_valid(self) -> None:
        """The shipped settings are read back."""
        settings = read_settings(encode(_PLAIN), 'vm.json')
        self.assertEqual(_PLAIN['vm'], settings.vm)

    def test_refusals(self) -> None:
        """Each wrong setting is named with its value."""
        self.refuse('$.address', address='host')
        self.refuse('$.platform', platform=[])
        self.refuse('$.platform[0]', platform=['host:1'])
        self.refuse('$.log_format', log_format='xml')
        self.assertEqual(
            -1, self.refuse('$.stop_timeout_s', stop_timeout_s=-1).found
        )
        self.assertEqual(5, self.refuse('$', unheard_of=5).found)

    def test_one_port_twice(self) -> None:
        """Two sockets of a VM cannot share a port."""
        ports = {'peer': 8080, 'gossip': 7301, 'admin': 7302}
        self.refuse('$.entry.ports.peer', entry={'ports': ports})


class RequestTest(TestCase):
    """Wrong requests are refused; the fingerprint leaves the id out."""

    def test_refusals(self) -> None:
        """A request without an id, or with a wrong deadline."""
        for text in (b'{}', b'nonsense', b'{"service": 3}'):
            self.assertRaises(RequestError, read_request, text, 'request')

    def test_fingerprint(self) -> None:
        """A request sent again under a new id has the same fingerprint."""
        plain = {
            'service': 'find',
            'request_id': 'a',
            'query': {'b': 1, 'a': 2},
        }
        again = decode(encode(plain))
        again.update(request_id='b', query={'a': 2, 'b': 1})
        self.assertEqual(
            read_request(encode(plain), 'request').fingerprint,
            read_request(encode(again), 'request').fingerprint,
        )
