"""Commands and reports for operators."""

from __future__ import annotations
