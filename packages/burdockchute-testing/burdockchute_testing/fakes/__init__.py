"""In-memory fakes at the interfaces, for tests without a network."""

from __future__ import annotations
