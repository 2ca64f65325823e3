"""A stand-in of the platform's metadata store, as PROTOCOL.md describes it.

It keeps topics of one partition in memory and answers appends, reads and
reads of the newest record of each key. It is sound: it answers at once and
loses nothing.
"""

from __future__ import annotations

import base64
from http import server
import json
import struct
import threading
from typing import Any
from urllib import parse


class Store:
    """The records of all topics, and an HTTP server that serves them."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._records: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = threading.Condition()
        self._server = _Server(address, _Handler)
        self._server.store = self
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()

    def put(self, topic: str, key: str, value: Any) -> None:
        """Append a record with a key; bytes are stored unchanged."""
        data = value if isinstance(value, bytes) else json.dumps(value)
        raw = data if isinstance(data, bytes) else data.encode()
        with self._changed:
            self._records.setdefault(topic, []).append((key, raw))
            self._changed.notify_all()

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key that has one."""
        with self._changed:
            found = dict(self._records.get(topic, []))
        return {key: value for key, value in found.items() if value}

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def append(self, topic: str, body: bytes) -> tuple[int, bytes]:
        """Append the records of one call."""
        with self._changed:
            offset = len(self._records.setdefault(topic, []))
        while body:
            size = int.from_bytes(body[:4], 'big')
            content, body = body[4 : 4 + size], body[4 + size :]
            end = 1 + content[0]
            self.put(topic, content[1:end].decode(), content[end:])
        with self._changed:
            last = len(self._records[topic])
        return 200, json.dumps({'offset': offset, 'end': last}).encode()

    def read(
        self, topic: str, start: int, max_bytes: int, wait_s: float
    ) -> tuple[int, bytes]:
        """Return raw records from an offset on, once there are some."""
        with self._changed:
            self._changed.wait_for(
                lambda: len(self._records.get(topic, [])) > start, wait_s
            )
            records = list(self._records.get(topic, []))
        answer = struct.pack('>QQ', len(records), 0)
        for key, value in records[start:]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            if len(answer) > 16 and len(answer) + len(content) > max_bytes:
                break
            answer += struct.pack('>I', len(content)) + content
        return 200, answer

    def newest_page(self, topic: str, after: str) -> tuple[int, bytes]:
        """Return the newest record of each key that follows `after`."""
        with self._changed:
            records = list(self._records.get(topic, []))
        newest = {
            key: (offset, value) for offset, (key, value) in enumerate(records)
        }
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in sorted(newest.items())
            if value and key > after
        ]
        page = {'items': items, 'hasMore': False, 'end': len(records)}
        return 200, json.dumps(page).encode()


class _Server(server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that their callers have closed."""

    store: Store


class _Handler(server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    server: _Server

    def do_GET(self) -> None:  # noqa: N802
        self._answer()

    def do_POST(self) -> None:  # noqa: N802
        self._answer()

    def log_message(self, *args: Any) -> None:
        """Write no log."""

    def _answer(self) -> None:
        url = parse.urlsplit(self.path)
        query = dict(parse.parse_qsl(url.query))
        size = int(self.headers.get('Content-Length') or 0)
        body = self.rfile.read(size)
        status, data = self._dispatch(url.path, query, body)
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def _dispatch(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        store, topic = self.server.store, query.get('topic', '')
        if path == '/-/log-append':
            return store.append(topic, body)
        if path == '/-/log-newest':
            return store.newest_page(topic, query.get('after', ''))
        if path == '/-/log-read':
            return store.read(
                topic,
                int(query['from']),
                int(query.get('maxKb', 1024)) * 1024,
                int(query.get('waitMs', 0)) / 1000,
            )
        return 404, b'{}'
