"""Requests, rows and tables for tests."""

from __future__ import annotations

import itertools
from typing import Any

from burdockchute.callers import auth
from burdockchute.model import rows
from burdockchute.model.requests import RequestContext
from burdockchute.model.rows import AdapterRow
from burdockchute.model.rows import CustomerRow
from burdockchute.model.rows import ModelRow
from burdockchute.model.rows import ServiceRow
from burdockchute.model.table import Revisioned
from burdockchute.model.table import Table

_ids = itertools.count(1)

STORY = ModelRow('story', 'v1', 'd1')
RHYMES = AdapterRow('rhymes', 'v1', 'a1', 'story')
PROOFS = ServiceRow('proofs', idempotent=False)
LINDWURM = CustomerRow('lindwurm', auth.key_digest('key-l'))
SAHYOG = CustomerRow('sahyog', auth.key_digest('key-s'), models='story')


def table_of(*items: rows.Row, offset: int = 1) -> Table:
    """Return a table with these rows, by default with some of each kind."""
    selected = items or (STORY, RHYMES, PROOFS, LINDWURM, SAHYOG)
    return Table(
        offset, {rows.key_of(row): Revisioned(row, offset) for row in selected}
    )


def request(**changes: Any) -> RequestContext:
    """Return a short streamed request for the story model."""
    ctx = RequestContext(
        request_id=f'r{next(_ids)}',
        customer='lindwurm',
        target='story',
        kind='model',
        idempotent=True,
        idempotency_key='',
        arrived=0.0,
        deadline=10.0,
        priority=0,
        prompt_tokens=16,
        max_tokens=16,
        stream=True,
        method='',
        path='',
        content_type='application/json',
        body=b'{}',
        fingerprint='f',
    )
    return ctx._replace(**changes)
