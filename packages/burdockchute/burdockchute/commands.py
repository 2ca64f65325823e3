"""The parts of the command line that both programs share."""

from __future__ import annotations

import argparse
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import sys
import time
from typing import Any
from typing import NamedTuple
from typing import NoReturn

import geventhttpclient
from returns.result import Failure

from burdockchute import adapters
from burdockchute import logs
from burdockchute import metrics
from burdockchute import process_state
from burdockchute import settings as base
from burdockchute import site_settings
from burdockchute.adapters import Adapter
from burdockchute.listening import ListenError
from burdockchute.model import findings
from burdockchute.model.findings import Finding
from burdockchute.model.machines import Machine
from burdockchute.nodes import links
from burdockchute.settings import EXIT_BAD_INPUT
from burdockchute.settings import Setting
from burdockchute.site_settings import SiteSettings

EXIT_FAILED = 1
STATUS_TIMEOUT_S = 5.0

# Maximum wait at the exit for the last export of the metrics.
METRICS_SHUTDOWN_S = 0.3

ADMIN_URL = Setting(
    'admin-url', 'http://HOST:PORT of its admin port', base.parse_url
)


def run_to_end(run: Callable[[], int]) -> int:
    """Run a command and return its exit status.

    A process that serves ignores signals from its last step on, so that none
    changes the status while the interpreter exits.
    """
    status = None
    try:
        status = run()
        return status
    finally:
        metrics.shut_down(METRICS_SHUTDOWN_S)
        if process_state.is_installed():
            age_s = process_state.PROCESS.age_s(time.monotonic())
            process_state.end()
            logs.event(
                'process_state',
                state='ended',
                age_s=round(age_s, 3),
                status=status,
            )


def add_process_commands(
    subparsers: Any, settings: Sequence[Setting], program: str
) -> None:
    """Add the commands serve, check and status."""
    serve = subparsers.add_parser('serve', help=f'run the {program}')
    base.add_flags(serve, settings)
    check = subparsers.add_parser(
        'check', help='check the settings and list every finding'
    )
    base.add_flags(check, settings)
    status = subparsers.add_parser(
        'status', help='print the status of a running process'
    )
    base.add_flags(status, [ADMIN_URL])


def read_or_exit(
    settings: Sequence[Setting],
    args: argparse.Namespace,
    environ: Mapping[str, str],
) -> dict[str, Any]:
    """Return the values, or print all findings and exit with status 2."""
    result = base.read(settings, args, environ)
    if isinstance(result, Failure):
        _exit_with(result.failure())
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
    from_values: Callable[[dict[str, Any]], Any],
) -> int:
    """Print the settings in force, one per line."""
    cfg = from_values(read_or_exit(settings, args, environ))
    for name, value in cfg._asdict().items():
        print(f'{name}={value}')
    return 0


def run_serve(
    settings: Sequence[Setting],
    args: argparse.Namespace,
    environ: Mapping[str, str],
    from_values: Callable[[dict[str, Any]], Any],
    serve: Callable[[Any], int],
) -> int:
    """Run a process with checked settings; return its exit status."""
    process_state.install()
    cfg = from_values(read_or_exit(settings, args, environ))
    logs.set_up(cfg.log_level, cfg.name)
    return _run_to_exit(lambda: serve(cfg))


class Site(NamedTuple):
    """Settings, machine and adapter of a process on a platform."""

    cfg: SiteSettings
    machine: Machine
    adapter: Adapter


def add_site_commands(subparsers: Any, program: str) -> None:
    """Add the commands serve-site and check-site."""
    serve = subparsers.add_parser(
        'serve-site', help=f'run the {program} on a platform with an adapter'
    )
    base.add_flags(serve, site_settings.SETTINGS)
    check = subparsers.add_parser(
        'check-site',
        help="check the settings and the machine's file, list every finding",
    )
    base.add_flags(check, site_settings.SETTINGS)


def read_site_or_exit(
    args: argparse.Namespace,
    environ: Mapping[str, str],
    required: Sequence[str],
) -> Site:
    """Return the site, or print all findings and exit with status 2.

    `required` names the optional fields of a machine that the program needs.
    """
    values = read_or_exit(site_settings.SETTINGS, args, environ)
    cfg = site_settings.from_values(values)
    adapter = _load_adapter_or_exit(cfg)
    machine = adapter.read_machine(cfg.settings)
    if isinstance(machine, Failure):
        _exit_with(machine.failure())
    return _complete_site_or_exit(cfg, adapter, machine.unwrap(), required)


def _complete_site_or_exit(
    cfg: SiteSettings,
    adapter: Adapter,
    machine: Machine,
    required: Sequence[str],
) -> Site:
    missing = site_settings.find_missing(cfg, adapter, machine, required)
    if missing:
        _exit_with(missing)
    return Site(cfg, machine, adapter)


def _load_adapter_or_exit(cfg: SiteSettings) -> Adapter:
    adapter = adapters.load_adapter(cfg.platform)
    if isinstance(adapter, Failure):
        _exit_with([adapter.failure()])
    return adapter.unwrap()


def check_site(
    args: argparse.Namespace,
    environ: Mapping[str, str],
    required: Sequence[str],
) -> int:
    """Print the settings in force and those of the machine, one per line."""
    site = read_site_or_exit(args, environ, required)
    for source in (site.cfg, site.machine):
        for name, value in source._asdict().items():
            print(f'{name}={value}')
    return 0


def serve_site(
    args: argparse.Namespace,
    environ: Mapping[str, str],
    serve: Callable[[Site], int],
    required: Sequence[str],
) -> int:
    """Run a process on a platform; return its exit status.

    `required` names the optional fields of a machine that the program needs.
    """
    process_state.install()
    values = read_or_exit(site_settings.SETTINGS, args, environ)
    cfg = site_settings.from_values(values)
    adapter = _load_adapter_or_exit(cfg)
    # The file that has the name of the machine may have to be waited for.
    logs.set_up_bounded(cfg.log_level, '')
    machine = site_settings.read_machine(cfg, adapter)
    if isinstance(machine, Failure):
        if not site_settings.is_transient(machine.failure()):
            _exit_with(machine.failure())
        reason = findings.render_all(machine.failure())
        logs.warn('can_not_serve', reason=reason)
        return EXIT_FAILED
    site = _complete_site_or_exit(cfg, adapter, machine.unwrap(), required)
    logs.set_process_name(site.machine.name)
    return _run_to_exit(lambda: serve(site))


def _run_to_exit(serve: Callable[[], int]) -> int:
    try:
        return serve()
    except ListenError as exc:
        logs.warn('can_not_serve', address=exc.address, reason=exc.error)
    except (links.LinkError, OSError) as exc:
        logs.warn('can_not_serve', reason=str(exc))
    return EXIT_FAILED


def _exit_with(invalid: Sequence[Finding]) -> NoReturn:
    print(findings.render_all(invalid), file=sys.stderr)
    raise SystemExit(EXIT_BAD_INPUT)
