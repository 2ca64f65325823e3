"""The entries that tell an agent what operators want."""

from __future__ import annotations

from burdockchute.nodes import links

# An agent that nobody tells anything waits this long before it asks the store
# itself. Entries that live and know of the engine dial its agent again after
# 0.25 s and more; a read of 400 KB meanwhile would hold up the engine's thin
# link for 0.7 s.
STORE_FALLBACK_DELAY_S = 0.75

# One that starts has nothing to hold up, and entries find a new engine only
# in the list, which they read each 0.7 s while it changes. Where everything
# starts at once they are linked after 0.15 s.
STARTUP_FALLBACK_DELAY_S = 0.2


class DesiredStateSources:
    """Which links come from entries that hear from the store."""

    def __init__(self, now: float) -> None:
        self._links: set[links.Link] = set()
        self._last_source_at = (
            now - STORE_FALLBACK_DELAY_S + STARTUP_FALLBACK_DELAY_S
        )

    def update(
        self, link: links.Link, has_store_contact: bool, now: float
    ) -> None:
        """Note whether an entry itself hears from the store."""
        if has_store_contact:
            self._links.add(link)
            self._last_source_at = now
        else:
            self.closed(link, now)

    def closed(self, link: links.Link, now: float) -> None:
        """Forget an entry."""
        if link in self._links:
            self._links.discard(link)
            self._last_source_at = now

    def must_read_store(self, now: float) -> bool:
        """Whether an agent has to find out by itself what is wanted."""
        return (
            not self._links
            and now - self._last_source_at >= STORE_FALLBACK_DELAY_S
        )
