"""Tell who calls, by the digest of a bearer key.

The table holds only digests, so that nobody who reads it can call in another
customer's name.
"""

from __future__ import annotations

from collections.abc import Mapping

import blake3

from burdockchute.model import table as tables
from burdockchute.model.rows import CustomerRow
from burdockchute.model.table import Table

_SCHEME = 'bearer '


def key_digest(key: str) -> str:
    """Give what stands in the table for a key.

    >>> digest_of('secret')[:8]
    '5fbf08af'
    """
    return blake3.blake3(key.encode()).hexdigest()


def customers_by_digest(table: Table) -> dict[str, CustomerRow]:
    """Give each key digest of the table with its customer."""
    return {
        digest: row
        for row in tables.customers(table).values()
        for digest in split_list(row.key_digests)
    }


def customer_of(
    authorization: str, by_digest: Mapping[str, CustomerRow]
) -> CustomerRow | None:
    """Give the customer an Authorization header names, if any."""
    if not authorization.lower().startswith(_SCHEME):
        return None
    key = authorization[len(_SCHEME) :].strip()
    return by_digest.get(key_digest(key)) if key else None


def may_call(customer: CustomerRow, name: str) -> bool:
    """Tell whether a customer may call a model, adapter or service."""
    allowed = split_list(customer.models)
    return '*' in allowed or name in allowed


def split_list(text: str) -> list[str]:
    """Give the members of a comma list.

    >>> split_list('a, b')
    ['a', 'b']
    """
    return [part.strip() for part in text.split(',') if part.strip()]
