"""Estimates when the engine will close for a load, and open again.

Both times are reported to entries: long requests avoid an engine that is
about to close, and callers wait for an engine that opens soon. The formulas
are in `decisions/staging.py`.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from burdockchute.decisions import copy_rates
from burdockchute.decisions import staging
from burdockchute.decisions import versions
from burdockchute.decisions.versions import History
from burdockchute.model.engines import EngineReport
from burdockchute_agent.copy_manager import CopyManager
from burdockchute_agent.staged.rollout import Rollout


class AvailabilityForecast(NamedTuple):
    """The state from which an agent estimates these times.

    `report` is the engine's last report, None while it doesn't answer;
    `servable` are the versions on which it may start requests, by model.
    `version_s` is how long a version may be served after it was replaced.
    `predecessor` returns the agent that loads a copy before this one, if any.
    """

    report: EngineReport | None
    servable: Mapping[str, int]
    rollouts: Collection[Rollout]
    copies: CopyManager
    history: Callable[[str], History]
    version_s: float
    link_bytes_per_s: float
    predecessor: Callable[[str], str | None]

    def closes_in_s(self, now: float) -> float | None:
        """Estimate the seconds until the engine closes, None if not soon.

        A closed engine starts no new requests.
        """
        return _earliest(self._closes_in_s(r, now) for r in self.rollouts)

    def opens_in_s(self, now: float) -> float | None:
        """Estimate the seconds until the engine starts requests again.

        None if it does now, or if no estimate is possible.
        """
        return _earliest(self._opens_in_s(r, now) for r in self.rollouts)

    def _closes_in_s(self, rollout: Rollout, now: float) -> float | None:
        loaded = self.servable.get(rollout.model)
        if loaded is None:
            return None
        progress = rollout.next_load(loaded, self.copies)
        if progress is None:
            return None
        history = self.history(rollout.model)
        named_at = versions.named_at(history, progress.version)
        limit_in_s = 0.0
        if named_at is not None:
            limit_s = self.version_s - staging.FINAL_LOAD_S
            limit_in_s = named_at + limit_s - now
        predecessor = self.predecessor(rollout.copy_name_of(progress.version))
        return staging.closes_in_s(
            progress.share,
            rollout.copying_s(progress.version, now),
            predecessor is not None,
            limit_in_s,
        )

    def _opens_in_s(self, rollout: Rollout, now: float) -> float | None:
        if self.report is None:
            return None
        history = self.history(rollout.model)
        min_version = versions.least_allowed(history, self.version_s, now)
        loaded = self.servable.get(rollout.model)
        if loaded is not None and loaded >= min_version:
            return None
        if self.report.loading:
            drain_s = staging.DRAIN_S if self.report.running else 0.0
            return staging.LOAD_S + drain_s
        # A load that isn't verified is not ordered again.
        engine_version = self.report.versions.get(rollout.model, 0)
        return _earliest(
            self._copied_in_s(rollout, version, now)
            for version in rollout.held_versions()
            if version >= min_version and version > engine_version
        )

    def _copied_in_s(
        self, rollout: Rollout, version: int, now: float
    ) -> float | None:
        name = rollout.copy_name_of(version)
        held, total = self.copies.progress(name)
        if not total:
            return None
        share = held / total
        rate = copy_rates.CAP_SHARE * self.link_bytes_per_s
        remainder_s = (1 - share) * self.copies.size_of(name) / rate
        return staging.opens_in_s(
            share, rollout.copying_s(version, now), remainder_s
        )


def _earliest(times: Iterable[float | None]) -> float | None:
    return min((time for time in times if time is not None), default=None)
