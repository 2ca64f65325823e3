"""A stand-in of a sound client: one request on a connection of its own."""

from __future__ import annotations

import socket
import time

from standins.site import FRONT_PORT
from standins.site import Record


class Attempt:
    """One request, and how its connection ended.

    `sent_at` is when its last byte was sent. `status` is 0 without a complete
    head, and `complete` tells whether the whole body of the answer came.
    """

    def __init__(self, request_id: str, body: bytes) -> None:
        self.request_id = request_id
        self.body = body
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.status = 0
        self.sealed = False
        self.complete = False
        self.answer = b''
        self.error = ''


def perform(
    attempt: Attempt,
    ip: str,
    host: str,
    path: str,
    record: Record,
    headers: dict[str, str] | None = None,
    upload_until: float = 0.0,
    method: str = 'POST',
    timeout_s: float = 8.0,
) -> None:
    """Send a request and read its answer.

    The body is sent evenly until `upload_until`, as over a slow link.
    """
    fields = {
        'Host': host,
        'Request-Id': attempt.request_id,
        'Deadline-Ms': '6000',
        'Content-Length': str(len(attempt.body)),
    } | (headers or {})
    head = f'{method} {path} HTTP/1.1\r\n' + ''.join(
        f'{name}: {value}\r\n' for name, value in fields.items()
    )
    try:
        with socket.create_connection((ip, FRONT_PORT), 1.0) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(timeout_s)
            sock.sendall(head.encode() + b'\r\n')
            record.write('head_sent', id=attempt.request_id, to=ip)
            _send_body(sock, attempt.body, upload_until)
            attempt.sent_at = record.write('sent', id=attempt.request_id)
            _read_answer(sock, attempt)
    except OSError as exc:
        attempt.error = f'{type(exc).__name__}: {exc}'
    attempt.ended_at = record.write(
        'ended',
        id=attempt.request_id,
        status=attempt.status,
        complete=attempt.complete,
        error=attempt.error or '-',
    )


def _send_body(sock: socket.socket, body: bytes, until: float) -> None:
    parts = 40
    size = -(-len(body) // parts) or 1
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    for number, piece in enumerate(pieces):
        left = len(pieces) - number
        wait_s = (until - time.monotonic()) / left
        if wait_s > 0:
            time.sleep(wait_s)
        sock.sendall(piece)


def _read_answer(sock: socket.socket, attempt: Attempt) -> None:
    data = b''
    while b'\r\n\r\n' not in data:
        received = sock.recv(65536)
        if not received:
            attempt.error = 'closed before the head of an answer'
            return
        data += received
    head, _end, body = data.partition(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _colon, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    attempt.status = int(lines[0].split()[1])
    attempt.sealed = 'response-seal' in headers
    is_chunked = headers.get('transfer-encoding', '') == 'chunked'
    size = int(headers.get('content-length', '0'))
    while not _is_whole(body, size, is_chunked):
        received = sock.recv(65536)
        if not received:
            attempt.error = 'closed within the answer'
            return
        body += received
    attempt.answer = body
    attempt.complete = True


def _is_whole(body: bytes, size: int, is_chunked: bool) -> bool:
    if is_chunked:
        return body.endswith(b'0\r\n\r\n')
    return len(body) >= size
