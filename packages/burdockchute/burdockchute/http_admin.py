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

from burdockchute import listening
from burdockchute import logs
from burdockchute import metrics
from burdockchute.callers import server
from burdockchute.callers.server import CallersServer
from burdockchute.decisions import connection_limits

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


def make_server(
    address: str, port: int, app: Callable, name: str = 'admin'
) -> CallersServer:
    """Return a server that is not started; port 0 selects a free port.

    Its connections have limits of their own, so that neither callers nor
    clients of this port take away what the other one needs. `name` is that
    of the listener in metrics and logs.
    """
    return server.make_server(
        address,
        port,
        app,
        connection_limits.ADMIN_LIMITS,
        lambda: connection_limits.ADMIN_REQUEST_LIMITS,
        name,
    )


def serve(address: str, port: int, app: Callable) -> CallersServer:
    """Start serving now, or in the background once the address is available.

    This is for a process that serves callers without its admin port.
    """
    admin = make_server(address, port, app)
    error = _try_start(admin)
    if error:
        logs.warn(
            'admin_unavailable',
            address=listening.address_of(admin),
            error=error,
        )
        gevent.spawn(_start_later, admin, time.monotonic())
    return admin


def _start_later(admin: CallersServer, began: float) -> None:
    while True:
        gevent.sleep(RETRY_S)
        if not _try_start(admin):
            logs.event(
                'admin_available',
                address=listening.address_of(admin),
                after_s=round(time.monotonic() - began, 1),
            )
            return


def _try_start(admin: CallersServer) -> str:
    """Start a server; return the error, empty if there is none."""
    try:
        admin.start()
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
