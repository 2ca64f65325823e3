"""Pure decisions under load; no sockets, clocks or globals inside."""

from __future__ import annotations
