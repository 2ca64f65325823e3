"""The common part of all stand-ins: HTTP, JSON, faults, start and stop.

A stand-in is a function from a Request to a Reply. It raises LostReply to
close the connection without a reply after the request has taken effect.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import json
import signal
import socket as sockets
from typing import Any
from typing import NamedTuple
from urllib import parse

import gevent
from gevent import event
from gevent import pywsgi

JSON_TYPE = 'application/json'
STREAM_TYPE = 'text/event-stream'
_STOP_TIMEOUT_S = 1.0

_REASONS = {
    200: 'OK',
    202: 'Accepted',
    206: 'Partial Content',
    400: 'Bad Request',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
    416: 'Range Not Satisfiable',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
    507: 'Insufficient Storage',
}


class Request(NamedTuple):
    """One HTTP request with its complete body."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


class Reply(NamedTuple):
    """One HTTP reply; an iterable body is streamed."""

    status: int
    body: bytes | Iterable[bytes]
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


class ConnectionCut(Exception):  # noqa: N818
    """Closes the connection, whatever was sent on it so far."""


class LostReply(ConnectionCut):
    """The request has taken effect, but its reply is lost."""


class BadRequest(Exception):  # noqa: N818
    """The request is invalid; it is answered with status 400."""


Handler = Callable[[Request], Reply]


def json_reply(status: int, value: object, **headers: str) -> Reply:
    """Return a reply with a JSON body; header names have _ in place of -."""
    header_pairs = tuple(
        (name.replace('_', '-'), text) for name, text in headers.items()
    )
    return Reply(status, json.dumps(value).encode(), headers=header_pairs)


def parse_document(request: Request) -> dict[str, Any]:
    """Return the JSON object in the body; raises BadRequest."""
    try:
        document = json.loads(request.body or b'{}')
    except ValueError as exc:
        raise BadRequest(f'body: {exc}') from exc
    if not isinstance(document, dict):
        raise BadRequest('body: not a JSON object')
    return document


def query_integer(request: Request, name: str, default: int) -> int:
    """Return an integer of the query string; raises BadRequest."""
    text = request.query.get(name, str(default))
    if not text.isdigit():
        raise BadRequest(f'{name}: {text!r} is not a whole number')
    return int(text)


def merge_faults(
    defaults: Mapping[str, Any], request: Request
) -> dict[str, Any]:
    """Return the new faults; those not in the request get their defaults."""
    document = parse_document(request)
    unknown = sorted(set(document) - set(defaults))
    if unknown:
        raise BadRequest(
            f'{unknown!r} are no faults; valid are {sorted(defaults)}'
        )
    return {**defaults, **document}


def make_server(
    handle: Handler, port: int, address: str = '127.0.0.1'
) -> pywsgi.WSGIServer:
    """Return a started server; `server_port` is its actual port."""
    listening = pywsgi.WSGIServer(
        (address, port),
        _make_app(handle),
        log=None,
        error_log=None,
        handler_class=_QuietHandler,
    )
    listening.start()
    return listening


def make_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the arguments common to all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--address', default='127.0.0.1')
    parser.add_argument('--seed', type=int, default=1)
    return parser


def run(handle: Handler, args: argparse.Namespace) -> None:
    """Print a line with the port, then serve until SIGTERM or SIGINT."""
    stopped = event.Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    listening = make_server(handle, args.port, args.address)
    print(f'ready port={listening.server_port}', flush=True)
    stopped.wait()
    listening.stop(timeout=_STOP_TIMEOUT_S)


class _QuietHandler(pywsgi.WSGIHandler):
    def __init__(self, sock: Any, *args: Any, **kwargs: Any) -> None:
        # Without this, small parts of a stream wait for the peer's delayed
        # acknowledgement (Nagle's algorithm).
        sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        super().__init__(sock, *args, **kwargs)

    def handle_error(self, *exc_info: Any) -> None:
        if isinstance(exc_info[1], ConnectionCut):
            _shut_down(self.socket)
            self.close_connection = True
            return
        super().handle_error(*exc_info)


def _make_app(handle: Handler) -> Callable:
    def app(environ: dict[str, Any], start_response: Callable) -> Any:
        try:
            reply = handle(_request_of(environ))
        except BadRequest as exc:
            reply = json_reply(400, {'error': str(exc)})
        return _send(reply, start_response)

    return app


def _send(reply: Reply, start_response: Callable) -> Iterable[bytes]:
    headers = [('Content-Type', reply.content_type), *reply.headers]
    body = reply.body
    if isinstance(body, bytes):
        headers.append(('Content-Length', str(len(body))))
        body = [body]
    status = f'{reply.status} {_REASONS.get(reply.status, "Status")}'
    start_response(status, headers)
    return body


def _request_of(environ: dict[str, Any]) -> Request:
    headers = {
        name[5:].replace('_', '-').lower(): value
        for name, value in environ.items()
        if name.startswith('HTTP_')
    }
    return Request(
        method=environ['REQUEST_METHOD'],
        path=environ['PATH_INFO'],
        query=dict(parse.parse_qsl(environ['QUERY_STRING'])),
        headers=headers,
        body=environ['wsgi.input'].read(),
    )


def _shut_down(sock: Any) -> None:
    try:
        sock.shutdown(sockets.SHUT_RDWR)
    except OSError:
        pass
