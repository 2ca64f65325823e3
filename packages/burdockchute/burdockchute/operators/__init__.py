"""Commands for operators: editing the table, keys and reports."""

from __future__ import annotations
