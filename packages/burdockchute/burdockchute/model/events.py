"""Messages that tasks of one process send each other on queues."""

from __future__ import annotations

from typing import NamedTuple

from burdockchute.model.members import Member
from burdockchute.model.table import Table


class TableChanged(NamedTuple):
    """A newer table is in force here."""

    table: Table


class MembersChanged(NamedTuple):
    """The instances known here, of both roles."""

    members: tuple[Member, ...]
