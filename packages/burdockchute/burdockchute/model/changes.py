"""Messages that notify a task of a new table or new members."""

from __future__ import annotations

from typing import NamedTuple

from burdockchute.model.members import Member
from burdockchute.model.table import Table


class TableChanged(NamedTuple):
    """A newer table is in effect."""

    table: Table


class MembersChanged(NamedTuple):
    """All instances that are currently known; replaces the previous list."""

    members: tuple[Member, ...]
