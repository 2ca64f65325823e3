"""burdockchute: weight distribution for bursts.

This package exports the public types; docs/guide describes their use.
"""

from __future__ import annotations

from burdockchute.model.findings import Finding
from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.model.outcomes import Answered
from burdockchute.model.outcomes import NotRun
from burdockchute.model.outcomes import Unknown
from burdockchute.model.requests import RequestContext
from burdockchute.model.rows import AdapterRow
from burdockchute.model.rows import CustomerRow
from burdockchute.model.rows import ModelRow
from burdockchute.model.rows import ObjectiveRow
from burdockchute.model.rows import RowKey
from burdockchute.model.rows import ServiceRow

__all__ = [
    'AdapterRow',
    'Answered',
    'CustomerRow',
    'Finding',
    'Member',
    'ModelRow',
    'NotRun',
    'ObjectiveRow',
    'Place',
    'RequestContext',
    'RowKey',
    'ServiceRow',
    'Unknown',
]

__version__ = '0.1.0'
