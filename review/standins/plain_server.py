"""A stand-in of a sound plain server, such as one of `dispatch-desk`.

It answers a request after its work, with `Request-Id` and `Response-Seal`,
refuses one that is meant for another start with 421. It ends as it begins to
run a request whose body starts with `DEADLY`, and is back some seconds later.
"""

from __future__ import annotations

from collections.abc import Callable
from http import server
import itertools
import socket
import struct
import threading
import time
from typing import Any

from standins.site import Record

HEALTH_PATH = '/health'
DEADLY = b'deadly'
DOWN_S = 2.0
_RESET = struct.pack('ii', 1, 0)


class Run:
    """One request that began to run."""

    def __init__(self, request_id: str, body: bytes) -> None:
        self.request_id = request_id
        self.body = body
        self.began = time.monotonic()
        self.answered = 0.0


class PlainServer:
    """One server; `work_s` is how long each request runs.

    `name` is its id. `on_back` is called once it is back after a crash.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        record: Record,
        work_s: float,
        slots: int = 6,
    ) -> None:
        self.name = name
        self.work_s = work_s
        self.slots = slots
        self.runs: list[Run] = []
        self.record = record
        self.seals = itertools.count(1)
        self.lock = threading.Lock()
        self.born = 0
        self.on_back: Callable[[], None] = lambda: None
        self._address = address
        self._sockets: list[socket.socket] = []
        self._server: _Server | None = None
        self.start()

    def start(self) -> None:
        """Start to serve."""
        self.born = int(time.time() * 1000)
        self._server = _Server(self._address, _Handler)
        self._server.plain = self
        threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def close(self) -> None:
        """Stop serving."""
        server, self._server = self._server, None
        if server is not None:
            server.shutdown()
            server.server_close()

    def accepted(self, sock: socket.socket) -> None:
        """Remember an open connection."""
        self._sockets.append(sock)

    def crash(self) -> None:
        """End at once, with all connections, and come back later."""
        with self.lock:
            if self._server is None:
                return
            sockets, self._sockets = self._sockets, []
            self.close()
        for sock in sockets:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                sock.shutdown(socket.SHUT_RDWR)
                sock.close()
            except OSError:
                pass
        self.record.write('crashed', server=self.name)
        threading.Timer(DOWN_S, self._come_back).start()

    def _come_back(self) -> None:
        self.start()
        self.record.write('back', server=self.name, born=self.born)
        self.on_back()


class _Server(server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that their callers have closed."""

    request_queue_size = 64
    plain: PlainServer

    def get_request(self) -> Any:
        """Accept a connection."""
        accepted = super().get_request()
        self.plain.accepted(accepted[0])
        return accepted


class _Handler(server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    server: _Server

    def do_GET(self) -> None:  # noqa: N802
        self._serve()

    def do_POST(self) -> None:  # noqa: N802
        self._serve()

    def log_message(self, *args: Any) -> None:
        """Write no log."""

    def _serve(self) -> None:
        plain = self.server.plain
        body = self.rfile.read(int(self.headers.get('Content-Length') or 0))
        expected = self.headers.get('Expect-Instance')
        request_id = self.headers.get('Request-Id', '')
        if expected not in (None, plain.name):
            self._respond(421, b'', {'Not-Executed': '1'})
            return
        if self.path == HEALTH_PATH:
            self._respond(200, b'', {'Instance-Id': plain.name})
            return
        run = Run(request_id, body)
        with plain.lock:
            plain.runs.append(run)
        plain.record.write('runs', server=plain.name, id=request_id)
        if body.startswith(DEADLY):
            plain.crash()
            self.close_connection = True
            return
        time.sleep(plain.work_s)
        seal = f'{plain.name}.{next(plain.seals)}'
        try:
            self._respond(
                200, f'done {request_id}'.encode(), {'Response-Seal': seal}
            )
        except OSError as exc:
            plain.record.write(
                'answer_not_sent', server=plain.name, id=request_id, why=exc
            )
            return
        run.answered = plain.record.write(
            'answer_sent', server=plain.name, id=request_id
        )

    def _respond(
        self, status: int, body: bytes, headers: dict[str, str]
    ) -> None:
        self.send_response_only(status)
        request_id = self.headers.get('Request-Id')
        if request_id:
            self.send_header('Request-Id', request_id)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header('Content-Length', str(len(body)))
        self.send_header('Keep-Alive', 'timeout=5')
        self.end_headers()
        self.wfile.write(body)
