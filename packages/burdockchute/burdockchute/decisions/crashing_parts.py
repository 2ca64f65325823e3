"""Finds the part of a prompt that crashes each engine that answers on it.

Requests share parts of their prompts, and one part may crash each engine that
begins to write an answer on it. No two of these requests need to be alike, so
none of them collects crashes of its own.

The evidence of a crash are the parts of the requests that the engine had just
begun to answer. Most of them are sound, and so are most parts of the requests
that crash engines. A complete answer on a part rules it out for all crashes
before. A part is convicted once it was in MIN_CRASHES crashes since then, and
only the part that was in most of them: it explains these crashes, and they
are no evidence against any other part. So a part that is always sent together
with sound ones is found in a few more crashes, and the sound ones are spared.

Engines that go down together may have another cause, such as a power cut. So
some of the crashes have to come MIN_SPREAD_S after others.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from burdockchute.model.crash_reports import PromptPart

# A rarely used sound part may be in two crashes without an answer between.
MIN_CRASHES = 3

# Engines on one power supply go down within milliseconds, which entries under
# load notice and report some 100 ms apart.
MIN_SPREAD_S = 0.3

# An engine crashes as it begins to write, so answers that have been arriving
# for longer are sound.
JUST_BEGUN_S = 0.5

# As for single requests: longer than jobs with backoff keep resending.
REFUSE_S = 600.0

# Crashes further apart than this hardly have the same cause.
CRASH_TTL_S = 600.0

MAX_CRASHES = 200
MAX_ANSWERED = 5000


class _Crash(NamedTuple):
    at: float
    positions: dict[str, int]


class CrashingParts:
    """The evidence against parts of prompts, and those that are refused."""

    def __init__(self) -> None:
        self._crashes: dict[str, _Crash] = {}
        self._answered_at: dict[str, float] = {}
        self._refused_until: dict[str, float] = {}

    def crashed(
        self, upstream: str, parts: Iterable[PromptPart], now: float
    ) -> bool:
        """Record what an upstream had just begun to answer when it crashed.

        Reports of several entries on one upstream are one crash: each start
        of an upstream has an id of its own. Returns whether this one has a
        part that the others lack.
        """
        self._drop_old(now)
        crash = self._crashes.setdefault(upstream, _Crash(now, {}))
        known_count = len(crash.positions)
        for part in parts:
            known = crash.positions.get(part.name, 0)
            crash.positions[part.name] = max(known, part.position)
        while len(self._crashes) > MAX_CRASHES:
            del self._crashes[next(iter(self._crashes))]
        return len(crash.positions) > known_count

    def answered(self, names: Iterable[str], now: float) -> list[str]:
        """Record a complete answer on parts; return those under suspicion."""
        suspected = []
        for name in names:
            if self._is_suspected(name):
                suspected.append(name)
            self._answered_at.pop(name, None)
            self._answered_at[name] = now
            self._refused_until.pop(name, None)
        while len(self._answered_at) > MAX_ANSWERED:
            del self._answered_at[next(iter(self._answered_at))]
        return suspected

    def convict_next(self, now: float) -> str | None:
        """Refuse the part that explains most crashes, if there are enough.

        Of several parts it is one on which no answer was ever complete, or
        else the one furthest into its prompt, which fewest requests share.
        """
        self._drop_old(now)
        crashed_at: dict[str, list[float]] = {}
        positions: dict[str, int] = {}
        for crash in sorted(self._unexplained(), key=lambda c: c.at):
            for name, position in crash.positions.items():
                if crash.at <= self._answered_at.get(name, float('-inf')):
                    continue
                positions[name] = max(positions.get(name, 0), position)
                crashed_at.setdefault(name, []).append(crash.at)
        candidates = [
            name
            for name, at in crashed_at.items()
            if len(at) >= MIN_CRASHES and at[-1] - at[0] >= MIN_SPREAD_S
        ]
        if not candidates:
            return None
        worst = max(
            candidates,
            key=lambda name: (
                len(crashed_at[name]),
                name not in self._answered_at,
                positions[name],
            ),
        )
        self.refuse(worst, REFUSE_S, now)
        return worst

    def refuse(self, name: str, for_s: float, now: float) -> None:
        """Refuse a part for `for_s` seconds from `now`."""
        until = max(self._refused_until.get(name, now), now + for_s)
        self._refused_until[name] = until

    def clear(self, name: str) -> None:
        """Refuse a part no longer."""
        self._refused_until.pop(name, None)

    def refused_for_s(self, names: Iterable[str], now: float) -> float:
        """Return the seconds for which one of the parts is refused, or 0."""
        if not self._refused_until:
            return 0.0
        left = [self._refused_until.get(name, now) - now for name in names]
        return max([0.0, *left])

    def refused(self, now: float) -> dict[str, float]:
        """Return the refused parts, and for how many seconds they are."""
        return {
            name: round(until - now, 1)
            for name, until in self._refused_until.items()
            if until > now
        }

    def is_refused(self, name: str, now: float) -> bool:
        """Whether requests with a part are refused."""
        return self.refused_for_s((name,), now) > 0

    def _is_suspected(self, name: str) -> bool:
        if name in self._refused_until:
            return True
        since = self._answered_at.get(name, float('-inf'))
        return any(
            crash.at > since and name in crash.positions
            for crash in self._crashes.values()
        )

    def _unexplained(self) -> list[_Crash]:
        return [
            crash
            for crash in self._crashes.values()
            if self._refused_until.keys().isdisjoint(crash.positions)
        ]

    def _drop_old(self, now: float) -> None:
        self._crashes = {
            upstream: crash
            for upstream, crash in self._crashes.items()
            if now - crash.at <= CRASH_TTL_S
        }
        self._refused_until = {
            name: until
            for name, until in self._refused_until.items()
            if until > now
        }
