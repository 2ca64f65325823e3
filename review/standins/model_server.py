"""Stand-ins of a sound model server and of the origin of weights.

The server streams a few events for each request, keeps staged pieces, and
loads them when its agent orders it to, as PROTOCOL.md describes it. After a
loss of power it holds no layers and has nothing staged.
"""

from __future__ import annotations

from collections.abc import Callable
import hashlib
from http import server
import json
import socket
import threading
import time
from typing import Any
from urllib import parse

from standins.site import Record

MODEL = 'daka510000'
HEALTH_PATH = '/health'
PIECES, PIECE_BYTES, LAYERS = 48, 49_152, 16
SLOTS = 16
EVENTS = 5
EVENT_INTERVAL_S = 0.045
WARM_S = 0.3


def piece(version: int, number: int) -> bytes:
    """Return the bytes of a piece of a version."""
    seed = hashlib.sha256(f'{version}/{number}'.encode()).digest()
    return (seed * (PIECE_BYTES // len(seed) + 1))[:PIECE_BYTES]


def manifest(version: int) -> bytes:
    """Return the manifest of a version."""
    digests = [
        hashlib.sha256(piece(version, number)).hexdigest()
        for number in range(PIECES)
    ]
    document = {
        'model': MODEL,
        'version': version,
        'chunkBytes': PIECE_BYTES,
        'layers': LAYERS,
        'digests': digests,
    }
    return json.dumps(document).encode()


class _Server(server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128
    owner: Any

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that their callers have closed."""


class _Handler(server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    server: _Server

    def do_GET(self) -> None:  # noqa: N802
        self._serve()

    def do_POST(self) -> None:  # noqa: N802
        self._serve()

    def do_PUT(self) -> None:  # noqa: N802
        self._serve()

    def log_message(self, *args: Any) -> None:
        """Write no log."""

    def _serve(self) -> None:
        body = self.rfile.read(int(self.headers.get('Content-Length') or 0))
        url = parse.urlsplit(self.path)
        query = dict(parse.parse_qsl(url.query))
        self.server.owner.answer(self, url.path, query, body)

    def respond(
        self,
        status: int,
        body: bytes,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a complete answer."""
        self.send_response_only(status)
        if request_id := self.headers.get('Request-Id'):
            self.send_header('Request-Id', request_id)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header('Content-Length', str(len(body)))
        self.send_header('Keep-Alive', 'timeout=5')
        self.end_headers()
        self.wfile.write(body)


class _Listener:
    """An HTTP server whose open connections can be cut."""

    def __init__(self, address: tuple[str, int], owner: Any) -> None:
        self._sockets: list[socket.socket] = []
        self._server = _Server(address, _Handler)
        self._server.owner = owner
        get_request = self._server.get_request

        def accept() -> Any:
            accepted = get_request()
            self._sockets.append(accepted[0])
            return accepted

        self._server.get_request = accept  # type: ignore[method-assign]
        threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def close(self) -> None:
        """Stop listening and cut all connections."""
        self._server.shutdown()
        self._server.server_close()
        for sock in self._sockets:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class ModelServer:
    """One model server; each start of it has another id."""

    def __init__(
        self, name: str, address: tuple[str, int], record: Record
    ) -> None:
        self.address = address
        self._name = name
        self._record = record
        self._starts = 0
        self._lock = threading.Lock()
        self._listener: _Listener | None = None
        self.version: int | None = 1
        self._staged = {n: piece(1, n) for n in range(PIECES)}
        self._start()

    @property
    def id(self) -> str:
        """The id of this start."""
        return f'{self._name}-{self._starts}'

    def models(self) -> list[dict[str, Any]]:
        """Return the models that it has loaded."""
        if self.version is None:
            return []
        return [{'name': MODEL, 'version': self.version, 'adapters': []}]

    def lose_power(self) -> None:
        """End at once, and lose the layers and what is staged."""
        self.close()
        self.version = None
        self._staged = {}

    def start_again(self) -> None:
        """Start with a new id and without layers."""
        self._start()

    def close(self) -> None:
        """Stop serving."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _start(self) -> None:
        self._starts += 1
        self._busy = False
        self._sequence = 0
        self._running = 0
        self._listener = _Listener(self.address, self)

    def answer(
        self, call: Any, path: str, query: dict[str, str], body: bytes
    ) -> None:
        """Answer one call."""
        expected = call.headers.get('Expect-Instance')
        version = call.headers.get('Expect-Version')
        if expected not in (None, self.id):
            call.respond(421, b'', {'Instance-Id': self.id})
        elif path == HEALTH_PATH:
            call.respond(200, b'', {'Instance-Id': self.id})
        elif path.startswith('/-/'):
            self._answer_own_machine(call, path, query, body)
        elif self.version is None or version not in (None, str(self.version)):
            call.respond(421, b'', {'Instance-Id': self.id})
        elif self._busy or self._running >= SLOTS:
            call.respond(503, b'', {'Not-Executed': '1'})
        else:
            self._stream(call, self.version)

    def _stream(self, call: Any, version: int) -> None:
        request_id = call.headers.get('Request-Id', '')
        self._record.write('runs', server=self.id, id=request_id)
        with self._lock:
            self._running += 1
        try:
            call.send_response_only(200)
            for name, value in {
                'Request-Id': request_id,
                'Response-Seal': f'{self.id}.{request_id}',
                'Weight-Versions': str(version),
                'Content-Type': 'text/event-stream',
                'Transfer-Encoding': 'chunked',
                'Keep-Alive': 'timeout=5',
            }.items():
                call.send_header(name, value)
            call.end_headers()
            first = int(call.headers.get('Last-Event-Id') or 0) + 1
            for number in range(first, EVENTS + 1):
                time.sleep(EVENT_INTERVAL_S)
                event = f'id: {number}\ndata: {request_id}\n\n'.encode()
                call.wfile.write(b'%x\r\n%s\r\n' % (len(event), event))
            call.wfile.write(b'0\r\n\r\n')
        finally:
            with self._lock:
                self._running -= 1

    # Weights.

    def _answer_own_machine(
        self, call: Any, path: str, query: dict[str, str], body: bytes
    ) -> None:
        number = int(query.get('number', -1))
        if path == '/-/report':
            call.respond(200, json.dumps(self._report()).encode())
        elif path == '/-/order':
            call.respond(self._order(json.loads(body)), b'{}')
        elif path.startswith('/-/stage-put/'):
            self._staged[number] = body
            call.respond(200, b'{}')
        elif number in self._staged:
            call.respond(200, self._staged[number])
        else:
            call.respond(404, b'')

    def _report(self) -> dict[str, Any]:
        return {
            'stage': 'both',
            'models': self.models(),
            'busy': self._busy,
            'sequence': self._sequence,
            'waiting': 0,
            'running': self._running,
            'kvUsed': 0,
            'kvTotal': 1_180_000,
            'handles': 0,
        }

    def _order(self, order: dict[str, Any]) -> int:
        with self._lock:
            if order['operation'] != 'start':
                return 400
            version = order['version']
            if version == self.version and not self._busy:
                return 200
            sequence = order.get('precondition', self._sequence)
            if self._busy or sequence != self._sequence:
                return 409
            self._sequence += 1
            self._busy = True
        self._record.write('order', server=self.id, version=version)
        threading.Thread(
            target=self._load, args=(version, self._starts), daemon=True
        ).start()
        return 202

    def _load(self, version: int, start: int) -> None:
        while self._running and start == self._starts:
            time.sleep(0.01)
        time.sleep(WARM_S)
        if start == self._starts:
            self.version = version
            self._busy = False
            self._record.write('loaded', server=self.id, version=version)


class Origin:
    """The service with the weights; `spoil` may change what it sends."""

    def __init__(self, address: tuple[str, int], record: Record) -> None:
        self.answers = 0
        self.spoil: Callable[[str, bytes], bytes] = lambda path, data: data
        self._record = record
        self._listener = _Listener(address, self)

    def close(self) -> None:
        """Stop serving."""
        self._listener.close()

    def answer(
        self, call: Any, path: str, query: dict[str, str], _body: bytes
    ) -> None:
        """Answer one call."""
        version = int(query.get('version', 1))
        if path == f'/-/manifest/{MODEL}':
            data = manifest(version)
        elif path == f'/-/piece/{MODEL}':
            data = piece(version, int(query['number']))
        else:
            call.respond(404, b'')
            return
        self.answers += 1
        sent = self.spoil(path, data)
        self._record.write(
            'origin_answers',
            path=path,
            number=query.get('number', '-'),
            spoilt=sent != data,
        )
        call.respond(200, sent)
