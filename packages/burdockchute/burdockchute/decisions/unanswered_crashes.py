"""Counts the crashes that a request or part was in without a whole answer.

What crashes upstreams may do so at any time of an answer, so only an answer
that is complete is proof. A sound part that many requests share is answered
all the time; of one that never is, the crashes add up, early and late ones.
"""

from __future__ import annotations

from collections.abc import Collection

# From here on a part may only be tried, whatever else crashes.
CRASHES_TO_LIMIT_PART = 5

# Parts of prompts and when they were answered.
MAX_NAMES = 5000


class UnansweredCrashes:
    """The crashes of each cause since the last whole answer that is known."""

    def __init__(self) -> None:
        # By cause and by the name of the ended start.
        self._crashed_at: dict[str, dict[str, float]] = {}
        self._answered_at: dict[str, float] = {}

    @property
    def names(self) -> Collection[str]:
        """The causes that were in a crash since a whole answer."""
        return self._crashed_at.keys()

    def record(self, name: str, start: str, at: float) -> None:
        """Record that a start of an upstream ended with a cause."""
        if at <= self._answered_at.get(name, float('-inf')):
            return
        # The oldest are forgotten first.
        crashes = self._crashed_at.pop(name, {})
        crashes.setdefault(start, at)
        self._crashed_at[name] = crashes
        if len(self._crashed_at) > MAX_NAMES:
            del self._crashed_at[next(iter(self._crashed_at))]

    def answered(self, name: str, at: float) -> None:
        """Record a whole answer; crashes before it count no longer."""
        at = max(at, self._answered_at.pop(name, at))
        self._answered_at[name] = at
        if len(self._answered_at) > MAX_NAMES:
            del self._answered_at[next(iter(self._answered_at))]
        crashes = self._crashed_at.pop(name, {})
        left = {start: end for start, end in crashes.items() if end > at}
        if left:
            self._crashed_at[name] = left

    def answered_at(self, name: str) -> float | None:
        """Return when a whole answer was last seen, None if none is known."""
        return self._answered_at.get(name)

    def count(self, name: str) -> int:
        """Return in how many crashes a cause was since its whole answer."""
        return len(self._crashed_at.get(name, ()))

    def has_reached_limit(self, name: str) -> bool:
        """Whether a cause was in too many crashes that no other explains.

        One that crashes upstreams is never answered whole. So a crash with
        such a cause doesn't count against one that was, and is in fewer.
        """
        crashes = self._crashed_at.get(name, {})
        if len(crashes) < CRASHES_TO_LIMIT_PART:
            return False
        if name not in self._answered_at:
            return True
        unexplained = set(crashes)
        for other, ends in self._crashed_at.items():
            if other not in self._answered_at and len(ends) > len(crashes):
                unexplained.difference_update(ends)
        return len(unexplained) >= CRASHES_TO_LIMIT_PART

    def has_crashed_since(self, name: str, at: float) -> bool:
        """Whether a cause was in a crash after a time."""
        return any(end > at for end in self._crashed_at.get(name, {}).values())

    def forget(self, name: str) -> None:
        """Forget the crashes of a cause that operators allow."""
        self._crashed_at.pop(name, None)

    def drop_before(self, at: float, limited_at: float) -> None:
        """Forget crashes before `at`, of limited parts before `limited_at`."""
        self._crashed_at = {
            name: crashes
            for name, crashes in self._crashed_at.items()
            if max(crashes.values())
            >= (limited_at if len(crashes) >= CRASHES_TO_LIMIT_PART else at)
        }
