"""What operators see: the table's commands and reports."""

from __future__ import annotations
