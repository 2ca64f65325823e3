"""Measurements, one JSON object a line."""

from __future__ import annotations
