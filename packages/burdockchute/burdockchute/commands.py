"""What the command lines of both binaries share."""

from __future__ import annotations

import argparse
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import sys
from typing import Any

import geventhttpclient
from returns.result import Failure

from burdockchute import logs
from burdockchute import settings as base
from burdockchute.model import findings
from burdockchute.nodes import links
from burdockchute.settings import EXIT_BAD_INPUT
from burdockchute.settings import Setting

EXIT_FAILED = 1
STATUS_TIMEOUT_S = 5.0

ADMIN_URL = Setting(
    'admin-url', 'http://HOST:PORT of its admin port', base.parse_url
)


def add_process_commands(
    subparsers: Any, settings: Sequence[Setting], what: str
) -> None:
    """Add serve, check and status."""
    serve = subparsers.add_parser('serve', help=f'run the {what}')
    base.add_flags(serve, settings)
    check = subparsers.add_parser(
        'check', help='check the settings and list every finding'
    )
    base.add_flags(check, settings)
    status = subparsers.add_parser(
        'status', help='ask a running process what it holds and does'
    )
    base.add_flags(status, [ADMIN_URL])


def read_or_exit(
    settings: Sequence[Setting],
    args: argparse.Namespace,
    environ: Mapping[str, str],
) -> dict[str, Any]:
    """Give the values, or list all findings and exit with 2."""
    result = base.read(settings, args, environ)
    if isinstance(result, Failure):
        print(findings.render_all(result.failure()), file=sys.stderr)
        raise SystemExit(EXIT_BAD_INPUT)
    return result.unwrap()


def print_status(args: argparse.Namespace, environ: Mapping[str, str]) -> int:
    """Print the status page of a running process."""
    url = read_or_exit([ADMIN_URL], args, environ)['admin_url']
    client = geventhttpclient.HTTPClient.from_url(
        url,
        connection_timeout=STATUS_TIMEOUT_S,
        network_timeout=STATUS_TIMEOUT_S,
    )
    try:
        print(client.get('/status').read().decode(), end='')
    except OSError as exc:
        print(f'{url}: no answer: {exc}', file=sys.stderr)
        return EXIT_FAILED
    finally:
        client.close()
    return 0


def run_check(
    settings: Sequence[Setting],
    args: argparse.Namespace,
    environ: Mapping[str, str],
    of_values: Callable[[dict[str, Any]], Any],
) -> int:
    """Print the settings in force, one a line."""
    cfg = of_values(read_or_exit(settings, args, environ))
    for name, value in cfg._asdict().items():
        print(f'{name}={value}')
    return 0


def run_serve(
    settings: Sequence[Setting],
    args: argparse.Namespace,
    environ: Mapping[str, str],
    of_values: Callable[[dict[str, Any]], Any],
    serve: Callable[[Any], int],
) -> int:
    """Run a process with checked settings; give its exit status."""
    cfg = of_values(read_or_exit(settings, args, environ))
    logs.set_up(cfg.log_level, cfg.name)
    try:
        return serve(cfg)
    except (links.LinkError, OSError) as exc:
        print(f'can not serve: {exc}', file=sys.stderr)
        return EXIT_FAILED
