"""Command line of burdockchute-entry."""

from __future__ import annotations

from burdockchute import bootstrap

bootstrap.prepare()

import argparse  # noqa: E402
from collections.abc import Callable  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402

import burdockchute  # noqa: E402
from burdockchute import commands  # noqa: E402
from burdockchute.operators import burn  # noqa: E402
from burdockchute.operators import explain  # noqa: E402
from burdockchute.operators import keys  # noqa: E402
from burdockchute.operators import losses  # noqa: E402
from burdockchute.operators import manifests  # noqa: E402
from burdockchute.operators import table_commands  # noqa: E402
from burdockchute_entry import settings  # noqa: E402


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit status."""
    args = _parser().parse_args(argv)
    commands_by_name: dict[str, Callable[[], int]] = {
        'serve': lambda: _serve(args),
        'serve-site': lambda: _serve_site(args),
        'check-site': lambda: commands.check_site(args, os.environ),
        'check': lambda: commands.run_check(
            settings.SETTINGS, args, os.environ, settings.from_values
        ),
        'status': lambda: commands.print_status(args, os.environ),
        'table': lambda: table_commands.run(args, os.environ),
        'burn': lambda: burn.run(args, os.environ),
        'key': lambda: keys.run(args),
        'manifest': lambda: manifests.run(args),
        'explain': lambda: explain.run(args),
        'losses': lambda: losses.run(args),
    }
    return commands_by_name[args.command]()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='burdockchute-entry',
        description='Receives requests of callers and decides where they '
        'run; edits and shows the table.',
    )
    parser.add_argument(
        '--version', action='version', version=burdockchute.__version__
    )
    subparsers = parser.add_subparsers(dest='command', required=True)
    commands.add_process_commands(subparsers, settings.SETTINGS, 'entry')
    commands.add_site_commands(subparsers, 'entry')
    table_commands.add_parser(subparsers)
    burn.add_parser(subparsers)
    keys.add_parser(subparsers)
    manifests.add_parser(subparsers)
    explain.add_parser(subparsers)
    losses.add_parser(subparsers)
    return parser


def _serve(args: argparse.Namespace) -> int:
    from burdockchute_entry.app import App

    return commands.run_serve(
        settings.SETTINGS,
        args,
        os.environ,
        settings.from_values,
        lambda cfg: App(cfg).serve(),
    )


def _serve_site(args: argparse.Namespace) -> int:
    from burdockchute_entry.straight.app import StraightApp

    return commands.serve_site(
        args, os.environ, lambda site: StraightApp(*site).serve()
    )


if __name__ == '__main__':
    sys.exit(main())
