"""The HTTP interface towards callers."""

from __future__ import annotations
