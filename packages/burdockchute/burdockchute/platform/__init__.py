"""Clients of the platform: its log service and its list of instances."""

from __future__ import annotations
