"""The reference page of log events matches the code."""

from __future__ import annotations

import ast
from collections.abc import Iterator
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[3]
PAGE = ROOT / 'docs' / 'reference' / 'events.md'


def sources() -> Iterator[pathlib.Path]:
    yield from ROOT.glob('packages/*/burdockchute*/**/*.py')
    yield from ROOT.glob('platform/burdockchute_platform/*.py')


def events_in_code() -> dict[str, set[str]]:
    """Return the fields of each event in the code."""
    found: dict[str, set[str]] = {}
    for path in sources():
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and node.args:
                name, fields = _event(node)
                if name:
                    found.setdefault(name, set()).update(fields)
    return found


def _event(call: ast.Call) -> tuple[str, set[str]]:
    function = call.func
    called = getattr(function, 'attr', getattr(function, 'id', ''))
    first = call.args[0]
    if not isinstance(first, ast.Constant) or not isinstance(first.value, str):
        return '', set()
    if called in ('event', 'warn'):
        return first.value, {k.arg for k in call.keywords if k.arg}
    if called == 'StateChange' and isinstance(call.args[1], ast.Dict):
        return first.value, {
            key.value
            for key in call.args[1].keys
            if isinstance(key, ast.Constant)
        }
    return '', set()


def events_on_page() -> dict[str, set[str]]:
    """Return the fields of each event on the page."""
    found = {}
    for line in PAGE.read_text().splitlines():
        cells = line.split('|')
        if len(cells) == 5 and '`' in cells[1]:
            for name in re.findall(r'`([a-z_]+)`', cells[1]):
                found[name] = set(re.findall(r'`([a-z_]+)`', cells[3]))
    return found


class EventsPageTest(unittest.TestCase):
    """Guards against log events that the reference page doesn't explain."""

    def test_each_event_has_its_row(self):
        self.assertEqual(set(), set(events_in_code()) - set(events_on_page()))

    def test_each_field_is_in_its_row(self):
        rows = events_on_page()
        missing = {
            name: fields - rows.get(name, set())
            for name, fields in events_in_code().items()
        }
        self.assertEqual({}, {n: f for n, f in missing.items() if f})

    def test_no_row_without_its_event(self):
        text = ''.join(path.read_text() for path in sources())
        stale = {name for name in events_on_page() if f"'{name}'" not in text}
        self.assertEqual(set(), stale)


if __name__ == '__main__':
    unittest.main()
