"""Builds the manifests of weights that are published.

The weight store serves a manifest beside the content that it describes. Rows
name the digest that is printed.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator
import pathlib
import sys
from typing import Any

from burdockchute import settings as base
from burdockchute.weights import manifest as manifests
from burdockchute.weights.manifest import Manifest

DEFAULT_CHUNK_BYTES = 4 * 1024 * 1024


def add_parser(subparsers: Any) -> None:
    """Add `manifest`."""
    parser = subparsers.add_parser(
        'manifest',
        help='make the manifest of a file of weights',
        description='Writes FILE.manifest.json and prints the digest that a '
        'row names. The same name, content and chunk size give the same '
        'digest.',
    )
    parser.add_argument('file', metavar='FILE', type=pathlib.Path)
    parser.add_argument('--name', help='name of the weights, default FILE')
    parser.add_argument(
        '--chunk-bytes',
        metavar='BYTES',
        default=str(DEFAULT_CHUNK_BYTES),
        help=f'at most {manifests.MAX_CHUNK_BYTES}, default %(default)s',
    )


def run(args: argparse.Namespace) -> int:
    """Write the manifest; returns 2 for bad input."""
    try:
        chunk_bytes = _parse_chunk_bytes(args.chunk_bytes)
        manifest = build(args.file, args.name or args.file.name, chunk_bytes)
        path = args.file.with_name(args.file.name + '.manifest.json')
        path.write_bytes(manifests.serialize_manifest(manifest))
    except (OSError, ValueError) as exc:
        print(f'{args.file}: {exc}', file=sys.stderr)
        return base.EXIT_BAD_INPUT
    print(f'manifest={path}')
    print(f'chunks={len(manifest.chunks)}')
    print(f'digest={manifest.digest}')
    return 0


def build(path: pathlib.Path, name: str, chunk_bytes: int) -> Manifest:
    """Build the manifest of a file, which may be larger than memory."""
    chunks = tuple(map(manifests.digest_of, _chunks(path, chunk_bytes)))
    if not 1 <= len(chunks) <= manifests.MAX_CHUNKS:
        raise ValueError(
            f'{len(chunks)} chunks are not from 1 to {manifests.MAX_CHUNKS}'
        )
    without_digest = Manifest(
        '', name, path.stat().st_size, chunk_bytes, chunks
    )
    digest = manifests.digest_of(manifests.canonical(without_digest))
    return without_digest._replace(digest=digest)


def _parse_chunk_bytes(text: str) -> int:
    chunk_bytes = base.parse_bytes(text)
    if chunk_bytes > manifests.MAX_CHUNK_BYTES:
        raise ValueError(
            f'{text!r} is not a number of bytes up to '
            f'{manifests.MAX_CHUNK_BYTES}'
        )
    return chunk_bytes


def _chunks(path: pathlib.Path, chunk_bytes: int) -> Iterator[bytes]:
    with path.open('rb') as content:
        while chunk := content.read(chunk_bytes):
            yield chunk
