"""Client of the platform's list of instances.

The list lags: a new instance is missing and one that has stopped is still
listed, so it is only one source of information beside our own heartbeats.
"""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

import geventhttpclient
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from burdockchute import documents
from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.platform import http_json

TIMEOUT_S = 5.0
ROLES = ('entry', 'agent')


class ListUnavailable(NamedTuple):
    """The list could not be read; its last state remains in use."""

    reason: str


class InstanceList:
    """Reads the platform's list over one persistent connection."""

    def __init__(self, url: str, timeout_s: float = TIMEOUT_S) -> None:
        self._client = http_json.make_client(url, concurrency=1)
        self._timeout_s = timeout_s

    def fetch(self) -> Result[list[Member], ListUnavailable]:
        """Return the listed members; invalid items are left out."""
        return _fetch(self._client, self._timeout_s)


def fetch(
    url: str, timeout_s: float = TIMEOUT_S
) -> Result[list[Member], ListUnavailable]:
    """Read the list once."""
    client = http_json.make_client(url, concurrency=1)
    try:
        return _fetch(client, timeout_s)
    finally:
        client.close()


def _fetch(
    client: geventhttpclient.HTTPClient, timeout_s: float
) -> Result[list[Member], ListUnavailable]:
    result = http_json.request_json(client, 'GET', '/instances', '', timeout_s)
    if isinstance(result, Failure):
        return Failure(ListUnavailable(result.failure().reason))
    reply = result.unwrap()
    if reply.status != 200:
        return Failure(ListUnavailable(f'status {reply.status}'))
    try:
        items = list(reply.body['instances'])
    except documents.INVALID:
        return Failure(ListUnavailable('an answer that is no list'))
    members = (_parse_member(item) for item in items)
    return Success([member for member in members if member is not None])


def _parse_member(item: Any) -> Member | None:
    try:
        member = Member(
            str(item['name']),
            item['role'],
            str(item['address']),
            int(item['port']),
            Place(
                str(item.get('zone', '')),
                str(item.get('region', '')),
                str(item.get('pool', '')),
            ),
            item.get('state') == 'leaving',
        )
    except documents.INVALID:
        return None
    is_valid = member.role in ROLES and 0 <= member.port < 65536
    return member if is_valid else None
