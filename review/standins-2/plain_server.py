"""A plain server, as a process of its own that can be killed.

It speaks the published protocol. An answer has no length and ends with its
connection: the first half of the body is sent when the work begins, the other
half when it is done. Each thing that it does is a line of a JSON file.

    python3 plain_server.py PORT ID BORN SLOTS WORK_MS LOG
"""

from __future__ import annotations

import hashlib
import json
import signal
import socket
import sys
import threading
import time

BODY_BYTES = 800


def body_of(request_id: str, instance: str) -> bytes:
    """Return the body that a start of a server answers a request with."""
    seed = hashlib.sha256(f'{request_id}/{instance}'.encode()).hexdigest()
    return (seed * (BODY_BYTES // len(seed) + 1))[:BODY_BYTES].encode()


class PlainServer:
    """One start of a server; `born` is in milliseconds."""

    def __init__(
        self, instance: str, born: str, slots: int, work_s: float, log: str
    ) -> None:
        self._instance = instance
        self._born = born
        self._slots = threading.Semaphore(slots)
        self._work_s = work_s
        self._log = open(log, 'a', encoding='utf-8', buffering=1)
        self._lock = threading.Lock()
        self._is_leaving = False

    def serve(self, port: int) -> None:
        """Serve until killed."""
        signal.signal(signal.SIGUSR1, self._leave)
        listener = socket.create_server(
            ('127.0.0.1', port), backlog=128, reuse_port=False
        )
        self._record('listens', '')
        while True:
            sock, _address = listener.accept()
            threading.Thread(
                target=self._handle, args=(sock,), daemon=True
            ).start()

    def _leave(self, _number: int, _frame: object) -> None:
        self._is_leaving = True

    def _record(self, what: str, request_id: str) -> None:
        line = {
            'at': round(time.monotonic(), 4),
            'server': self._instance,
            'born': self._born,
            'what': what,
            'id': request_id,
        }
        with self._lock:
            self._log.write(json.dumps(line) + '\n')

    def _handle(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = sock.makefile('rb')
        try:
            while self._answer_one(sock, reader):
                pass
        except OSError:
            pass
        finally:
            reader.close()
            sock.close()

    def _answer_one(self, sock: socket.socket, reader) -> bool:
        line = reader.readline().decode('latin-1')
        if not line:
            return False
        _method, target, _version = line.split()
        headers = {}
        while text := reader.readline().decode('latin-1').strip():
            name, _colon, value = text.partition(':')
            headers[name.lower()] = value.strip()
        reader.read(int(headers.get('content-length', 0)))
        request_id = headers.get('request-id', '')
        if headers.get('expect-instance', self._instance) != self._instance:
            self._record('misdirected', request_id)
            return self._respond(sock, '421 Misdirected Request', [])
        if target == '/health':
            status = '503 Leaving' if self._is_leaving else '200 OK'
            return self._respond(
                sock, status, [f'Instance-Id: {self._instance}']
            )
        self._record('arrives', request_id)
        if not self._slots.acquire(blocking=False):
            return self._respond(
                sock, '503 Service Unavailable', ['Not-Executed: 1']
            )
        try:
            self._run(sock, request_id)
        finally:
            self._slots.release()
        return False

    def _respond(
        self, sock: socket.socket, status: str, headers: list[str]
    ) -> bool:
        lines = [f'HTTP/1.1 {status}', *headers, 'Content-Length: 0', '', '']
        sock.sendall('\r\n'.join(lines).encode())
        return True

    def _run(self, sock: socket.socket, request_id: str) -> None:
        self._record('runs', request_id)
        body = body_of(request_id, self._instance)
        head = [
            'HTTP/1.1 200 OK',
            f'Request-Id: {request_id}',
            f'Response-Seal: {self._instance}.{self._born}.{request_id}',
            'Content-Type: application/octet-stream',
            'Connection: close',
            '',
            '',
        ]
        half = len(body) // 2
        sock.sendall('\r\n'.join(head).encode() + body[:half])
        time.sleep(self._work_s)
        sock.sendall(body[half:])
        sock.shutdown(socket.SHUT_WR)
        self._record('done', request_id)


def main() -> None:
    """Serve as the arguments say."""
    port, instance, born, slots, work_ms, log = sys.argv[1:]
    PlainServer(instance, born, int(slots), int(work_ms) / 1000, log).serve(
        int(port)
    )


if __name__ == '__main__':
    main()
