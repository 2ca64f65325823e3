"""Reloading the machine's settings file in a running process."""

from __future__ import annotations

from types import SimpleNamespace
import unittest

from returns.result import Failure
from returns.result import Success

from burdockchute import site_settings
from burdockchute.model.findings import Finding
from burdockchute.model.machines import Bounds
from burdockchute.model.machines import Machine
from burdockchute.model.members import Place
from burdockchute.model.upstreams import Endpoint
from burdockchute.site_settings import SiteSettings

BOUNDS = Bounds(2.0, 8.0, 2.0, 8.0, 3.0, 0.2, 10.0, 100.0)
MACHINE = Machine(
    name='front-1',
    address='10.0.0.1',
    place=Place('north', 'n', ''),
    regions={'north': 'n'},
    link_ports=(7700, 7715),
    callers=Endpoint('10.0.0.1', 80),
    probes=Endpoint('10.0.0.1', 81),
    store=Endpoint('10.0.0.2', 80),
    upstream=None,
    service='',
    link_bytes_per_s=1e6,
    bounds=BOUNDS,
)
CFG = SiteSettings('fleet', '/etc/x', 0, '', 'info')


def reload(result):
    adapter = SimpleNamespace(read_machine=lambda path: result)
    return site_settings.reload(CFG, adapter, MACHINE)


class RewrittenFileTest(unittest.TestCase):
    """A process that started while its file was written ended by itself."""

    def test_a_half_written_file_is_read_again(self):
        results = [
            Failure([Finding('/etc/x', 'is not JSON', is_transient=True)]),
            Failure([Finding('/etc/x', 'is not JSON', is_transient=True)]),
            Success(MACHINE),
        ]
        adapter = SimpleNamespace(read_machine=lambda path: results.pop(0))
        machine = site_settings.read_machine(CFG, adapter)
        self.assertEqual(Success(MACHINE), machine)

    def test_invalid_settings_are_not_read_again(self):
        """A member of the settings is malformed, which no wait changes."""
        lasting = Finding('/etc/x', 'ip: 7 is no text')
        transient = Finding('/etc/x', 'is not JSON', is_transient=True)
        may_read_again = site_settings.may_read_again
        self.assertFalse(may_read_again([lasting], 0.0))
        self.assertTrue(may_read_again([transient], 4.9))
        self.assertFalse(may_read_again([transient], 5.0))


class ReloadTest(unittest.TestCase):
    def test_new_bounds_are_applied(self):
        changed = BOUNDS._replace(version_s=4.0)
        reloaded = reload(Success(MACHINE._replace(bounds=changed, name='x')))
        self.assertEqual(MACHINE._replace(bounds=changed), reloaded)

    def test_an_invalid_file_changes_nothing(self):
        """An operator saves an invalid file and sends the reload signal.

        The process must continue unchanged; its end would cut off callers.
        """
        self.assertEqual(MACHINE, reload(Failure([Finding('x', 'torn')])))

    def test_an_unexpected_error_changes_nothing(self):
        """The adapter raises an error that it should return as a finding.

        gevent ends the process on any error in the handler of a signal.
        """

        def read_machine(path):
            raise OverflowError('int too large to convert to float')

        adapter = SimpleNamespace(read_machine=read_machine)
        self.assertEqual(MACHINE, site_settings.reload(CFG, adapter, MACHINE))
