"""Data types of the system: rows, requests, outcomes, members, findings."""

from __future__ import annotations
