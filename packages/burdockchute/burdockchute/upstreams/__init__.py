"""Clients of engines and plain services that run requests."""

from __future__ import annotations
