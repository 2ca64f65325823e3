"""Engines and plain services that requests run on."""

from __future__ import annotations
