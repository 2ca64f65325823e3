"""The admin port of a process, which serves its state as JSON.

`/healthz` answers as long as the process runs, `/readyz` with status 200 or
503, `/status` with the state of the process and `/metrics` with its metrics;
`/metrics/text` has the same metrics in the text format of Prometheus.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import json
import time
from typing import Any
from typing import NamedTuple

import gevent
from gevent import pywsgi

from burdockchute import listening
from burdockchute import logs
from burdockchute import metrics
from burdockchute.callers.server import wsgi_environ

# Pause between attempts to start an admin port that is not available.
RETRY_S = 1.0

METRICS_TEXT = '/metrics/text'

Response = tuple[str, list[tuple[str, str]], Iterable[bytes]]
Page = Callable[[str], Response]


class Readiness(NamedTuple):
    """Whether a process is ready, and the reason if it isn't."""

    ready: bool
    reason: str


def json_response(data: object, status: str = '200 OK') -> Response:
    """Return a response with the data as JSON."""
    body = json.dumps(data, indent=1, sort_keys=True).encode() + b'\n'
    return status, [('Content-Type', 'application/json')], [body]


def text_response(text: str) -> Response:
    """Return a response with metrics in the text format of Prometheus."""
    headers = [('Content-Type', 'text/plain; version=0.0.4')]
    return '200 OK', headers, [text.encode()]


def make_app(
    status: Callable[[], dict[str, Any]],
    get_readiness: Callable[[], Readiness],
    pages: dict[str, Page] | None = None,
) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application; `pages` maps further path prefixes.

    A page is called with the remainder of the path after its prefix.
    """

    def app(
        environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        status_line, headers, body = _respond(
            environ['PATH_INFO'], status, get_readiness, pages or {}
        )
        start_response(status_line, headers)
        return body

    return app


def make_server(address: str, port: int, app: Callable) -> pywsgi.WSGIServer:
    """Return a server that is not started; port 0 selects a free port."""
    return pywsgi.WSGIServer(
        (address, port),
        app,
        log=None,
        error_log=None,
        environ=wsgi_environ(address),
    )


def serve(address: str, port: int, app: Callable) -> pywsgi.WSGIServer:
    """Start serving now, or in the background once the address is available.

    This is for a process that serves callers without its admin port.
    """
    server = make_server(address, port, app)
    error = _try_start(server)
    if error:
        logs.warn(
            'admin_unavailable',
            address=listening.address_of(server),
            error=error,
        )
        gevent.spawn(_start_later, server, time.monotonic())
    return server


def _start_later(server: pywsgi.WSGIServer, began: float) -> None:
    while True:
        gevent.sleep(RETRY_S)
        if not _try_start(server):
            logs.event(
                'admin_available',
                address=listening.address_of(server),
                after_s=round(time.monotonic() - began, 1),
            )
            return


def _try_start(server: pywsgi.WSGIServer) -> str:
    """Start a server; return the error, empty if there is none."""
    try:
        server.start()
    except OSError as exc:
        return listening.describe_error(exc)
    return ''


def _respond(
    path: str,
    status: Callable[[], dict[str, Any]],
    get_readiness: Callable[[], Readiness],
    pages: dict[str, Page],
) -> Response:
    if path == '/healthz':
        return json_response({'healthy': True})
    if path == '/readyz':
        readiness = get_readiness()
        status_line = (
            '200 OK' if readiness.ready else '503 Service Unavailable'
        )
        return json_response(readiness._asdict(), status_line)
    if path == '/status':
        return json_response(status())
    if path == '/metrics':
        return json_response(metrics.snapshot())
    if path == METRICS_TEXT:
        return text_response(metrics.prometheus_text(metrics.snapshot()))
    for prefix, page in pages.items():
        if path.startswith(prefix):
            return page(path[len(prefix) :])
    paths = [
        '/healthz',
        '/metrics',
        METRICS_TEXT,
        '/readyz',
        '/status',
        *pages,
    ]
    return json_response(
        {'error': f'{path!r} is not one of {", ".join(paths)}'},
        '404 Not Found',
    )
