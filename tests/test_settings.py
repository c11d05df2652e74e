"""Tests of the validation of settings and requests."""

from msgspec.json import decode, encode
from testtools import TestCase

from bench.deployments import registry
from sesametrack.contracts.exceptions import RequestError, SettingsError
from sesametrack.contracts.requests import read_request
from sesametrack.contracts.settings import read_settings

_SETTINGS = registry().vms[0].settings


class SettingsTest(TestCase):
    """Invalid settings are refused with the path and the value."""

    def assert_refused(self, path: str, **changes: object) -> SettingsError:
        """Check that changed settings are refused at a path."""
        text = encode({**_SETTINGS, **changes})
        error = self.assertRaises(SettingsError, read_settings, text, 'vm.json')
        self.assertEqual(path, error.path)
        self.assertIn('vm.json', str(error))
        return error

    def test_examples_are_valid(self) -> None:
        """The settings of the example deployment are valid."""
        settings = read_settings(encode(_SETTINGS), 'vm.json')
        self.assertEqual(_SETTINGS['vm'], settings.vm)

    def test_refusals(self) -> None:
        """Each invalid setting is reported with its path and value."""
        self.assert_refused('$.address', address='host')
        self.assert_refused('$.platform', platform=[])
        self.assert_refused('$.platform[0]', platform=['host:1'])
        self.assert_refused('$.log_format', log_format='xml')
        self.assertEqual(
            -1, self.assert_refused('$.stop_timeout_s', stop_timeout_s=-1).found
        )
        self.assertEqual(5, self.assert_refused('$', unheard_of=5).found)

    def test_duplicate_port(self) -> None:
        """Two sockets of a VM cannot share a port."""
        ports = {'peer': 8080, 'gossip': 7301, 'admin': 7302}
        self.assert_refused('$.entry.ports.peer', entry={'ports': ports})


class RequestTest(TestCase):
    """Invalid requests are refused; the fingerprint excludes the id."""

    def test_refusals(self) -> None:
        """Missing fields, invalid JSON and wrong types are refused."""
        for text in (b'{}', b'nonsense', b'{"service": 3}'):
            self.assertRaises(RequestError, read_request, text, 'request')

    def test_fingerprint(self) -> None:
        """The fingerprint ignores the request id and the order of fields."""
        request = {
            'service': 'find',
            'request_id': 'a',
            'query': {'b': 1, 'a': 2},
        }
        repeated = decode(encode(request))
        repeated.update(request_id='b', query={'a': 2, 'b': 1})
        self.assertEqual(
            read_request(encode(request), 'request').fingerprint,
            read_request(encode(repeated), 'request').fingerprint,
        )
