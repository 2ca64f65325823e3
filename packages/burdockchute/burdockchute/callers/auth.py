"""Identifies callers by the digest of their bearer key.

The table has only digests, so that reading it does not let anyone call in
the name of a customer.
"""

from __future__ import annotations

from collections.abc import Mapping

import blake3

from burdockchute.model import table as tables
from burdockchute.model.rows import CustomerRow
from burdockchute.model.table import Table

_SCHEME = 'bearer '


def key_digest(key: str) -> str:
    """Return the digest of a key, as stored in the table.

    >>> key_digest('secret')[:8]
    '5fbf08af'
    """
    return blake3.blake3(key.encode()).hexdigest()


def customers_by_digest(table: Table) -> dict[str, CustomerRow]:
    """Return the customer of each key digest in the table."""
    return {
        digest: row
        for row in tables.customers(table).values()
        for digest in split_list(row.key_digests)
    }


def customer_of(
    authorization: str, by_digest: Mapping[str, CustomerRow]
) -> CustomerRow | None:
    """Return the customer that an Authorization header identifies, if any."""
    if not authorization.lower().startswith(_SCHEME):
        return None
    key = authorization[len(_SCHEME) :].strip()
    return by_digest.get(key_digest(key)) if key else None


def may_call(customer: CustomerRow, name: str) -> bool:
    """Whether a customer may call a model, adapter or service."""
    allowed = split_list(customer.models)
    return '*' in allowed or name in allowed


def split_list(text: str) -> list[str]:
    """Return the items of a comma-separated list.

    >>> split_list('a, b')
    ['a', 'b']
    """
    return [part.strip() for part in text.split(',') if part.strip()]
