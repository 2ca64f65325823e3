"""Stand-ins for the platform and the upstreams, each a separate process.

They implement docs/design/interfaces.md and are never shipped.
"""

from __future__ import annotations
