"""Messages that tell a task of a new table or new members."""

from __future__ import annotations

from typing import NamedTuple

from burdockchute.model.members import Member
from burdockchute.model.table import Table


class TableChanged(NamedTuple):
    """The table has moved forward."""

    table: Table


class MembersChanged(NamedTuple):
    """All instances known at present; replaces what was known before."""

    members: tuple[Member, ...]
