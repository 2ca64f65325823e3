"""The entries that tell an agent what operators want."""

from __future__ import annotations

from burdockchute.nodes import links

# An agent that nobody tells anything waits this long before it asks the store
# itself. Entries that live and know of the engine dial its agent again after
# 0.25 s and more; a read of 400 KB meanwhile would hold up the engine's thin
# link for 0.7 s.
ALONE_AFTER_S = 0.75

# One that starts has nothing to hold up, and entries find a new engine only
# in the list, which they read each 0.7 s while it changes. Where everything
# starts at once they are linked after 0.15 s.
FRESH_AFTER_S = 0.2


class Informants:
    """Which links come from entries that hear from the store."""

    def __init__(self, now: float) -> None:
        self._links: set[links.Link] = set()
        self._told_at = now - ALONE_AFTER_S + FRESH_AFTER_S

    def told(self, link: links.Link, is_informed: bool, now: float) -> None:
        """Note whether an entry itself hears from the store."""
        if is_informed:
            self._links.add(link)
            self._told_at = now
        else:
            self.closed(link, now)

    def closed(self, link: links.Link, now: float) -> None:
        """Forget an entry."""
        if link in self._links:
            self._links.discard(link)
            self._told_at = now

    def are_missing(self, now: float) -> bool:
        """Whether an agent has to find out by itself what is wanted."""
        return not self._links and now - self._told_at >= ALONE_AFTER_S
