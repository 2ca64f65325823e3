"""Benches: each prints one JSON object a line, see `results`."""

from __future__ import annotations
