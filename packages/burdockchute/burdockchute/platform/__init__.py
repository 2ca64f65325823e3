"""Clients of the platform: log, instance list."""

from __future__ import annotations
