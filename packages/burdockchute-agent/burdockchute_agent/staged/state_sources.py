"""The entries from which an agent receives the desired state."""

from __future__ import annotations

from burdockchute.nodes import links

# An agent that receives the desired state from no entry reads the store
# itself after this delay. Entries that are up and know the engine reconnect
# to its agent after 0.25 s or more; a read of 400 KB before that would block
# the engine's narrow link for 0.7 s.
STORE_FALLBACK_DELAY_S = 0.75

# An agent that starts has no traffic to delay, and entries find a new engine
# only in the list, which they read every 0.7 s while it changes. If all
# processes start at once, entries are connected after 0.15 s.
STARTUP_FALLBACK_DELAY_S = 0.2


class DesiredStateSources:
    """Tracks the links of entries that are in contact with the store."""

    def __init__(self, now: float) -> None:
        self._links: set[links.Link] = set()
        self._last_source_at = (
            now - STORE_FALLBACK_DELAY_S + STARTUP_FALLBACK_DELAY_S
        )

    def update(
        self, link: links.Link, has_store_contact: bool, now: float
    ) -> None:
        """Record whether an entry is in contact with the store."""
        if has_store_contact:
            self._links.add(link)
            self._last_source_at = now
        else:
            self.closed(link, now)

    def closed(self, link: links.Link, now: float) -> None:
        """Remove the link of an entry."""
        if link in self._links:
            self._links.discard(link)
            self._last_source_at = now

    def must_read_store(self, now: float) -> bool:
        """Whether the agent has to read the desired state itself."""
        return (
            not self._links
            and now - self._last_source_at >= STORE_FALLBACK_DELAY_S
        )
