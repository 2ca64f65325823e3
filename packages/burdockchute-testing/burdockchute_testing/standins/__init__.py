"""Stand-ins for the platform and the upstreams, each a process of its own.

They follow docs/design/interfaces.md and are never shipped.
"""

from __future__ import annotations
