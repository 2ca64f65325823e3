"""Generates bearer keys of customers; the table has only their digests."""

from __future__ import annotations

import argparse
import secrets
import sys
from typing import Any

from burdockchute import settings as base
from burdockchute.callers import auth

# 256 bits; a key that can't be guessed needs no slow digest.
KEY_BYTES = 32


def add_parser(subparsers: Any) -> None:
    """Add `key new` and `key digest`."""
    parser = subparsers.add_parser(
        'key',
        help='make a bearer key, or give the digest of one',
        description='The table holds digests of keys in the column '
        'key_digests. Hand the key itself to the customer.',
    )
    subcommands = parser.add_subparsers(dest='act', required=True)
    subcommands.add_parser('new', help='make a key; print it and its digest')
    subcommands.add_parser(
        'digest', help='digest of the key on standard input'
    )


def run(args: argparse.Namespace) -> int:
    """Print a new key with its digest, or the digest of a given key."""
    if args.act == 'new':
        key = secrets.token_urlsafe(KEY_BYTES)
        print(f'key={key}')
    else:
        key = sys.stdin.readline().strip()
        if not key:
            print('standard input: no key', file=sys.stderr)
            return base.EXIT_BAD_INPUT
    print(f'digest={auth.key_digest(key)}')
    return 0
