"""Rows of the table that operators edit.

A row is identified by its kind and name. Each kind is a NamedTuple of plain
values with defaults, so that a row can be read from CSV or JSON, and
compared and shown column by column.
"""

from __future__ import annotations

from typing import NamedTuple

KINDS = ('model', 'adapter', 'customer', 'service', 'objective')


class RowKey(NamedTuple):
    """The key of a row, written 'kind/name'."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f'{self.kind}/{self.name}'


class ModelRow(NamedTuple):
    """Weights that instances serve.

    `placement` is a comma-separated list of the terms `pool:NAME`,
    `zone:NAME`, `region:NAME` and `instance:NAME`. An instance matches if,
    for each type of term in the list, it matches at least one term; an empty
    list matches no instance and '*' all. `replicas` limits how many of the
    matching instances serve the row, 0 for all. `loading_share` is the
    fraction of the replicas that may load at once, above 0 and up to 1.
    `origin_copies` is how many copies may be read from the origin in a
    rollout. `max_waiting` bounds the requests that wait at one entry. A
    request of at least `long_tokens` counts as long; long requests may take
    the fraction `long_share` of the slots.
    """

    name: str
    version: str
    digest: str
    placement: str = '*'
    replicas: int = 0
    origin_copies: float = 1.0
    loading_share: float = 0.25
    checks_fencing: bool = True
    max_waiting: int = 256
    long_tokens: int = 512
    long_share: float = 0.5


class AdapterRow(NamedTuple):
    """An adapter of a base model; placed where its base model is placed."""

    name: str
    version: str
    digest: str
    base: str
    origin_copies: float = 1.0


class CustomerRow(NamedTuple):
    """A customer, its keys and its rate limits.

    `key_digests` is a comma-separated list of blake3 hex digests of bearer
    keys. `models` is a comma-separated list of the models, adapters and
    services that the customer may call, '*' for all. Limits are per second
    over all entries together.
    """

    name: str
    key_digests: str
    models: str = '*'
    requests_per_s: float = 10.0
    tokens_per_s: float = 10000.0
    burst_s: float = 2.0
    priority: int = 0


class ServiceRow(NamedTuple):
    """A service other than a model that the system forwards requests to.

    With `idempotent` false each call must have an idempotency key and runs
    at most once.
    """

    name: str
    placement: str = '*'
    idempotent: bool = True
    max_waiting: int = 256
    slots: int = 8


class ObjectiveRow(NamedTuple):
    """A service-level objective of a customer on a model, '*' for each."""

    name: str
    customer: str = '*'
    model: str = '*'
    first_token_s: float = 0.48
    token_interval_s: float = 0.03
    latency_share: float = 0.95
    availability: float = 0.999


Row = ModelRow | AdapterRow | CustomerRow | ServiceRow | ObjectiveRow

ROW_TYPES: dict[str, type] = {
    'model': ModelRow,
    'adapter': AdapterRow,
    'customer': CustomerRow,
    'service': ServiceRow,
    'objective': ObjectiveRow,
}


def key_of(row: Row) -> RowKey:
    """Return the key of a row.

    >>> str(key_of(ServiceRow('proofs')))
    'service/proofs'
    """
    return RowKey(_KIND_OF_TYPE[type(row)], row.name)


_KIND_OF_TYPE = {row_type: kind for kind, row_type in ROW_TYPES.items()}
