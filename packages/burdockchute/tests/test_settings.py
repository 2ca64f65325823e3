"""Settings: flags before environment variables, all findings at once."""

from __future__ import annotations

import argparse
import unittest

from returns.result import Failure
from returns.result import Success

from burdockchute import settings as base
from burdockchute.model.findings import Finding
from burdockchute.settings import Setting

SETTINGS = (
    Setting('name', 'a name', base.parse_name),
    Setting('log-url', 'the log', base.parse_url),
    Setting('port', 'a port', base.parse_port, '0'),
)


def read(flags: list[str], environ: dict[str, str]) -> object:
    parser = argparse.ArgumentParser()
    base.add_flags(parser, SETTINGS)
    return base.read(SETTINGS, parser.parse_args(flags), environ)


class SettingsTest(unittest.TestCase):
    def test_flag_precedes_environment_precedes_default(self):
        environ = {
            'BURDOCKCHUTE_NAME': 'from-environment',
            'BURDOCKCHUTE_LOG_URL': 'http://10.0.0.1:80/',
        }
        self.assertEqual(
            Success(
                {
                    'name': 'from-flag',
                    'log_url': 'http://10.0.0.1:80',
                    'port': 0,
                }
            ),
            read(['--name', 'from-flag'], environ),
        )

    def test_every_finding_is_listed_with_its_place(self):
        environ = {'BURDOCKCHUTE_LOG_URL': 'http://log.example:80'}
        self.assertEqual(
            Failure(
                [
                    Finding('--name or BURDOCKCHUTE_NAME', 'must be given'),
                    Finding(
                        'BURDOCKCHUTE_LOG_URL',
                        "'http://log.example:80' is not a URL "
                        'http://IP-ADDRESS:PORT',
                    ),
                    Finding('--port', "'x' is not a port from 0 to 65535"),
                ]
            ),
            read(['--port', 'x'], environ),
        )

    def test_invalid_values_are_rejected(self):
        cases = [
            (base.parse_url, ''),
            (base.parse_url, 'ftp://10.0.0.1'),
            (base.parse_url, 'http://10.0.0.1:99999'),
            (base.parse_address, 'localhost'),
            (base.parse_name, 'a b'),
            (base.parse_seconds, '0'),
            (base.parse_seconds, 'inf'),
            (base.parse_seconds, 'nan'),
            (base.parse_bytes, '-1'),
            (base.parse_level, 'loud'),
        ]
        for parse, text in cases:
            with self.subTest(parse=parse.__name__, text=text):
                with self.assertRaises(ValueError) as caught:
                    parse(text)
                self.assertIn(repr(text), str(caught.exception))
