"""The entry process: takes the requests of callers."""

from __future__ import annotations
