"""Command line of burdockchute-agent."""

from __future__ import annotations

import sys

from burdockchute import process_state

process_state.install_for(sys.argv)

from burdockchute import bootstrap  # noqa: E402

bootstrap.prepare()

import argparse  # noqa: E402
import os  # noqa: E402

import burdockchute  # noqa: E402
from burdockchute import commands  # noqa: E402
from burdockchute_agent import settings  # noqa: E402

# Fields of the machine that an agent on a platform needs.
REQUIRED_FIELDS = ('upstream',)


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit status."""
    return commands.run_to_end(lambda: _run(argv))


def _run(argv: list[str] | None) -> int:
    args = _parser().parse_args(argv)
    if args.command == 'status':
        return commands.print_status(args, os.environ)
    if args.command == 'check':
        return commands.run_check(
            settings.SETTINGS, args, os.environ, settings.from_values
        )
    if args.command == 'check-site':
        return commands.check_site(args, os.environ, REQUIRED_FIELDS)
    if args.command == 'serve-site':
        return _serve_site(args)
    return _serve(args)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='burdockchute-agent',
        description='Runs beside one upstream instance: hands requests to '
        'it, copies weights and gives it its orders.',
    )
    parser.add_argument(
        '--version', action='version', version=burdockchute.__version__
    )
    subparsers = parser.add_subparsers(dest='command', required=True)
    commands.add_process_commands(subparsers, settings.SETTINGS, 'agent')
    commands.add_site_commands(subparsers, 'agent')
    return parser


def _serve(args: argparse.Namespace) -> int:
    from burdockchute_agent.app import App

    return commands.run_serve(
        settings.SETTINGS,
        args,
        os.environ,
        settings.from_values,
        lambda cfg: App(cfg).serve(),
    )


def _serve_site(args: argparse.Namespace) -> int:
    from burdockchute_agent.staged.app import StagedApp

    return commands.serve_site(
        args,
        os.environ,
        lambda site: StagedApp(*site).serve(),
        REQUIRED_FIELDS,
    )


if __name__ == '__main__':
    sys.exit(main())
