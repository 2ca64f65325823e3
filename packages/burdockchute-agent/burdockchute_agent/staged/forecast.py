"""When the own engine is likely to close for a load, and to open after it.

Entries hear of both with the reports: what lasts long keeps away from an
engine that is about to close, and callers wait for one that opens soon. The
estimates themselves are in `decisions/staging.py`.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from typing import NamedTuple

from burdockchute.decisions import copy_rates
from burdockchute.decisions import staging
from burdockchute.decisions import versions
from burdockchute.decisions.versions import History
from burdockchute.model.engines import EngineReport
from burdockchute_agent.copy_manager import CopyManager
from burdockchute_agent.staged.rollout import Rollout


class AvailabilityForecast(NamedTuple):
    """What an agent knows for its estimates.

    `report` is the engine's own, None while it does not answer. `version_s`
    is how long a version may be served once it was replaced. `before` gives
    the agent whose load of a copy comes before ours, None for none.
    """

    report: EngineReport | None
    rollouts: Collection[Rollout]
    copying: CopyManager
    history: Callable[[str], History]
    version_s: float
    link_bytes_per_s: float
    before: Callable[[str], str | None]

    def closes_in_s(self, now: float) -> float | None:
        """Estimate when the engine takes nothing new, None for not soon."""
        return _first(self._closes_in_s(r, now) for r in self.rollouts)

    def opens_in_s(self, now: float) -> float | None:
        """Estimate when the engine takes requests again.

        None where it does now, or where nothing tells.
        """
        return _first(self._opens_in_s(r, now) for r in self.rollouts)

    def _closes_in_s(self, rollout: Rollout, now: float) -> float | None:
        loaded = servable_versions(self.report).get(rollout.model)
        if loaded is None:
            return None
        progress = rollout.next_load(loaded, self.copying)
        if progress is None:
            return None
        history = self.history(rollout.model)
        named_at = versions.named_at(history, progress.version)
        limit_in_s = 0.0
        if named_at is not None:
            limit_s = self.version_s - staging.FINAL_LOAD_S
            limit_in_s = named_at + limit_s - now
        before = self.before(rollout.name(progress.version))
        return staging.closes_in_s(
            progress.share,
            rollout.copying_s(progress.version, now),
            before is not None,
            limit_in_s,
        )

    def _opens_in_s(self, rollout: Rollout, now: float) -> float | None:
        if self.report is None:
            return None
        history = self.history(rollout.model)
        least = versions.least_allowed(history, self.version_s, now)
        loaded = servable_versions(self.report).get(rollout.model)
        if loaded is not None and loaded >= least:
            return None
        if self.report.loading:
            drain_s = staging.DRAIN_S if self.report.running else 0.0
            return staging.LOAD_S + drain_s
        return _first(
            self._copied_in_s(rollout, version, now)
            for version in rollout.held_versions()
            if version >= least
        )

    def _copied_in_s(
        self, rollout: Rollout, version: int, now: float
    ) -> float | None:
        name = rollout.name(version)
        held, count = self.copying.progress(name)
        if not count:
            return None
        share = held / count
        rate = copy_rates.CAP_SHARE * self.link_bytes_per_s
        rest_s = (1 - share) * self.copying.size_of(name) / rate
        return staging.opens_in_s(
            share, rollout.copying_s(version, now), rest_s
        )


def servable_versions(report: EngineReport | None) -> dict[str, int]:
    """Give the versions on which an engine may begin requests.

    While it loads it takes nothing new, so there are none.
    """
    if report is None or report.loading:
        return {}
    return dict(report.versions)


def _first(times: Iterable[float | None]) -> float | None:
    return min((time for time in times if time is not None), default=None)
