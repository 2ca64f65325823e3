"""Transcripts of sessions between callers and an entry.

Each exchange is written as it went over the connection, with ids, times and
digests replaced by names, so that two runs of a correct system give the same
text.
"""

from __future__ import annotations

from collections.abc import Mapping
import json
import re
from typing import Any

from burdockchute_testing import client

# Headers that are not part of the interface under test.
_OMITTED_HEADERS = ('date', 'server', 'connection', 'content-length')
_REQUEST_ID = re.compile(r'\b[0-9a-f]{32}\b')
_SECONDS = re.compile(r'\bin [0-9.]+ s\b')


class Session:
    """Exchanges with one entry.

    `names` maps variable texts, such as digests, to the names that replace
    them.
    """

    def __init__(self, url: str, names: Mapping[str, str]) -> None:
        self._url = url
        self._names = dict(names)
        self._ids: dict[str, str] = {}
        self._lines: list[str] = []

    def note(self, text: str) -> None:
        """Add a comment line to the transcript."""
        self._lines.append(f'# {text}')

    def exchange(
        self,
        path: str,
        document: object,
        headers: Mapping[str, str],
        method: str = 'POST',
    ) -> client.Response:
        """Send a request and add request and response to the transcript."""
        body = json.dumps(document).encode()
        sent = {'Content-Type': 'application/json', **headers}
        got = client.call(method, self._url + path, body, sent)
        self._write('>', [f'{method} {path}', *_headers(headers)])
        self._write('>', [json.dumps(document)])
        status = [f'{got.status}', *_headers(got.headers)]
        self._write('<', status)
        self._write('<', got.body.decode().splitlines())
        self._lines.append('')
        return got

    def text(self) -> str:
        """Return the transcript with variable texts replaced by names."""
        text = '\n'.join(self._lines)
        for value, name in self._names.items():
            text = text.replace(value, f'<{name}>')
        text = _SECONDS.sub('in <time> s', text)
        return _REQUEST_ID.sub(self._name_id, text)

    def _write(self, mark: str, lines: list[str]) -> None:
        self._lines.extend(f'{mark} {line}'.rstrip() for line in lines)

    def _name_id(self, found: re.Match[str]) -> str:
        name = f'<id-{len(self._ids) + 1}>'
        return self._ids.setdefault(found[0], name)


def _headers(headers: Mapping[str, Any]) -> list[str]:
    lower_case = {name.lower(): value for name, value in headers.items()}
    return [
        f'{name}: {value}'
        for name, value in sorted(lower_case.items())
        if name not in _OMITTED_HEADERS
    ]
