"""The agent process, which runs beside one upstream."""

from __future__ import annotations
