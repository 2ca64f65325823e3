"""The local port on which a process tells about itself, as JSON.

`/healthz` answers as long as the process runs, `/readyz` 200 or 503,
`/status` what the process holds and does, `/metrics` its measurements, and
`/metrics/text` the same in the form that collectors of metrics read.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import json
from typing import Any
from typing import NamedTuple

from gevent import pywsgi

from burdockchute import metrics

METRICS_TEXT = '/metrics/text'

Response = tuple[str, list[tuple[str, str]], Iterable[bytes]]
Page = Callable[[str], Response]


class Readiness(NamedTuple):
    """Whether a process is ready, and if not, why."""

    ready: bool
    reason: str


def json_response(data: object, status: str = '200 OK') -> Response:
    """Give a response with the data as JSON."""
    body = json.dumps(data, indent=1, sort_keys=True).encode() + b'\n'
    return status, [('Content-Type', 'application/json')], [body]


def text_response(text: str) -> Response:
    """Give a response with plain text."""
    headers = [('Content-Type', 'text/plain; version=0.0.4')]
    return '200 OK', headers, [text.encode()]


def make_app(
    status: Callable[[], dict[str, Any]],
    probe: Callable[[], Readiness],
    pages: dict[str, Page] | None = None,
) -> Callable[..., Iterable[bytes]]:
    """Give the WSGI application; `pages` maps more path prefixes.

    A page is called with the rest of the path after its prefix.
    """

    def app(environ: dict[str, Any], start: Callable) -> Iterable[bytes]:
        line, headers, body = _answer(
            environ['PATH_INFO'], status, probe, pages or {}
        )
        start(line, headers)
        return body

    return app


def serve(address: str, port: int, app: Callable) -> pywsgi.WSGIServer:
    """Start serving; raises OSError if the address is in use."""
    server = pywsgi.WSGIServer((address, port), app, log=None, error_log=None)
    server.start()
    return server


def _answer(
    path: str,
    status: Callable[[], dict[str, Any]],
    probe: Callable[[], Readiness],
    pages: dict[str, Page],
) -> Response:
    if path == '/healthz':
        return json_response({'healthy': True})
    if path == '/readyz':
        ready = probe()
        line = '200 OK' if ready.ready else '503 Service Unavailable'
        return json_response(ready._asdict(), line)
    if path == '/status':
        return json_response(status())
    if path == '/metrics':
        return json_response(metrics.snapshot())
    if path == METRICS_TEXT:
        return text_response(metrics.prometheus_text(metrics.snapshot()))
    for prefix, page in pages.items():
        if path.startswith(prefix):
            return page(path[len(prefix) :])
    known = [
        '/healthz',
        '/metrics',
        METRICS_TEXT,
        '/readyz',
        '/status',
        *pages,
    ]
    return json_response(
        {'error': f'{path!r} is not one of {", ".join(known)}'},
        '404 Not Found',
    )
