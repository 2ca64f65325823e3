"""The commands with which operators edit and examine the system.

A process that serves doesn't import this module, see `main`.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

from burdockchute.operators import burn
from burdockchute.operators import explain
from burdockchute.operators import keys
from burdockchute.operators import losses
from burdockchute.operators import manifests
from burdockchute.operators import table_commands


def add_parsers(subparsers: Any) -> None:
    """Add all of these commands."""
    table_commands.add_parser(subparsers)
    burn.add_parser(subparsers)
    keys.add_parser(subparsers)
    manifests.add_parser(subparsers)
    explain.add_parser(subparsers)
    losses.add_parser(subparsers)


def run(args: argparse.Namespace, environ: Mapping[str, str]) -> int:
    """Run one of these commands and return its exit status."""
    commands_by_name: dict[str, Callable[[], int]] = {
        'table': lambda: table_commands.run(args, environ),
        'burn': lambda: burn.run(args, environ),
        'key': lambda: keys.run(args),
        'manifest': lambda: manifests.run(args),
        'explain': lambda: explain.run(args),
        'losses': lambda: losses.run(args),
    }
    return commands_by_name[args.command]()
