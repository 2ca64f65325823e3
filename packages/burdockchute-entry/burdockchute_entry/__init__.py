"""The entry process: receives requests and places them on instances."""

from __future__ import annotations
