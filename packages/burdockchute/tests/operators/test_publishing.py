"""The operators' commands for keys and manifests."""

from __future__ import annotations

import argparse
import contextlib
import io
import pathlib
import tempfile
import unittest
from unittest import mock

from burdockchute.callers import auth
from burdockchute.operators import keys
from burdockchute.operators import manifests
from burdockchute.weights import manifest as model


def run(module: object, *words: str, stdin: str = '') -> tuple[int, str, str]:
    parser = argparse.ArgumentParser()
    module.add_parser(parser.add_subparsers())  # type: ignore[attr-defined]
    out, err = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
        mock.patch('sys.stdin', io.StringIO(stdin)),
    ):
        status = module.run(parser.parse_args(words))  # type: ignore
    return status, out.getvalue(), err.getvalue()


class KeysTest(unittest.TestCase):
    def test_new_key_comes_with_its_digest(self):
        status, out, _err = run(keys, 'key', 'new')
        found = dict(line.split('=', 1) for line in out.splitlines())
        self.assertEqual(0, status)
        self.assertEqual(auth.key_digest(found['key']), found['digest'])

    def test_digest_of_no_key_is_refused(self):
        self.assertEqual(
            (2, '', 'standard input: no key\n'),
            run(keys, 'key', 'digest', stdin='\n'),
        )


class ManifestsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name, 'story.bin')

    def test_file_gives_the_manifest_of_its_content(self):
        content = bytes(range(256)) * 40
        self.path.write_bytes(content)
        status, out, _err = run(
            manifests, 'manifest', str(self.path), '--chunk-bytes', '4096'
        )
        expected = model.build('story.bin', content, 4096)
        written = pathlib.Path(f'{self.path}.manifest.json').read_bytes()
        self.assertEqual(0, status)
        self.assertIn(f'digest={expected.digest}\n', out)
        self.assertEqual(
            expected, model.parse(written, expected.digest).unwrap()
        )

    def test_bad_input_is_refused_and_writes_nothing(self):
        cases = [
            ([], 'No such file'),
            (['--chunk-bytes', '0'], "'0' is not a number of bytes over 0"),
            (['--chunk-bytes', '99999999'], "'99999999' is not a number"),
        ]
        for words, text in cases:
            with self.subTest(words=words):
                status, out, err = run(
                    manifests, 'manifest', str(self.path), *words
                )
                self.assertEqual((2, ''), (status, out))
                self.assertIn(text, err)
                self.assertEqual([], list(self.path.parent.iterdir()))
