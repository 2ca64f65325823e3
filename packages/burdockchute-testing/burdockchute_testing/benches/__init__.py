"""Benchmarks; each prints one JSON object per line, see `results`."""

from __future__ import annotations
