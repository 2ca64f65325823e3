"""Command line of burdockchute-entry."""

from __future__ import annotations

import sys

from burdockchute import process_state

process_state.install_for(sys.argv)

from burdockchute import bootstrap  # noqa: E402

bootstrap.prepare()

import argparse  # noqa: E402
from collections.abc import Callable  # noqa: E402
import os  # noqa: E402

import burdockchute  # noqa: E402
from burdockchute import commands  # noqa: E402
from burdockchute_entry import settings  # noqa: E402

# A process of one of these commands, of which a site starts dozens, has no
# use for the operators' commands. Importing them takes 25 ms of processor
# time, a twentieth of its start.
PROCESS_COMMANDS = ('serve', 'serve-site', 'check', 'check-site', 'status')

# Fields of the machine that an entry on a platform needs.
REQUIRED_FIELDS = ('callers', 'probes')


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit status."""
    return commands.run_to_end(lambda: _run(argv))


def _run(argv: list[str] | None) -> int:
    args = _parse(sys.argv[1:] if argv is None else argv)
    commands_by_name: dict[str, Callable[[], int]] = {
        'serve': lambda: _serve(args),
        'serve-site': lambda: _serve_site(args),
        'check-site': lambda: commands.check_site(
            args, os.environ, REQUIRED_FIELDS
        ),
        'check': lambda: commands.run_check(
            settings.SETTINGS, args, os.environ, settings.from_values
        ),
        'status': lambda: commands.print_status(args, os.environ),
    }
    run = commands_by_name.get(args.command)
    return _run_operator_command(args) if run is None else run()


def _parse(argv: list[str]) -> argparse.Namespace:
    if argv and argv[0] in PROCESS_COMMANDS:
        args, unknown = _parser(False).parse_known_args(argv)
        if not unknown:
            return args
    # The usage that an error is printed with lists all commands.
    return _parser(True).parse_args(argv)


def _parser(with_operator_commands: bool) -> argparse.ArgumentParser:
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
    if with_operator_commands:
        from burdockchute_entry import operator_commands

        operator_commands.add_parsers(subparsers)
    return parser


def _run_operator_command(args: argparse.Namespace) -> int:
    from burdockchute_entry import operator_commands

    return operator_commands.run(args, os.environ)


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
        args,
        os.environ,
        lambda site: StraightApp(*site).serve(),
        REQUIRED_FIELDS,
    )


if __name__ == '__main__':
    sys.exit(main())
