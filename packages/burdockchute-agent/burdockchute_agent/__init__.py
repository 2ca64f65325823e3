"""The agent process: runs beside one upstream instance."""

from __future__ import annotations
