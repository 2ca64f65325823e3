"""Finds out whether lost answers mean a crash, and which part caused it.

A lost answer is no crash: links are reset, and some upstreams break off single
answers. An upstream that has crashed refuses connections.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

import gevent

from burdockchute import logs
from burdockchute.decisions.crashing_parts import CrashingParts
from burdockchute.decisions.crashing_parts import JUST_BEGUN_S
from burdockchute.model.crash_reports import PartsReport
from burdockchute.model.crash_reports import PromptPart
from burdockchute_entry.straight.targets import Target

# A crash breaks off all answers of an upstream within this time.
COLLECT_S = 0.02

# Other entries' reports of the same crash arrive within this time.
DECISION_DELAY_S = 0.1


class CrashWatch:
    """The parts of prompts that this entry refuses, and why.

    `publish` sends a report to the other entries. `on_suspicion` is called
    with each crash that is learned of, `on_changed` with each part that this
    entry begins or ceases to refuse on its own evidence.
    """

    def __init__(
        self,
        now: Callable[[], float],
        publish: Callable[[PartsReport], None] = lambda report: None,
        on_suspicion: Callable[[], None] = lambda: None,
        on_changed: Callable[[str, bool], None] = lambda name, refused: None,
    ) -> None:
        self.parts = CrashingParts()
        self._now = now
        self._publish = publish
        self._on_suspicion = on_suspicion
        self._on_changed = on_changed
        # The parts of the answers lost at an upstream, while it is checked.
        self._lost: dict[str, list[PromptPart]] = {}
        self._is_deciding = False

    def refused_for_s(self, parts: Sequence[PromptPart]) -> float:
        """Return for how long a prompt with these parts is refused, or 0."""
        return self.parts.refused_for_s(
            [part.name for part in parts], self._now()
        )

    def answer_lost(
        self, target: Target, parts: Sequence[PromptPart], answering_s: float
    ) -> None:
        """Check whether an upstream that closed a connection has crashed.

        `answering_s` is for how long the lost answer had been arriving.
        """
        if not parts or answering_s > JUST_BEGUN_S:
            return
        if target.id in self._lost:
            self._lost[target.id].extend(parts)
            return
        self._lost[target.id] = list(parts)
        gevent.spawn(self._check, target)

    def answer_complete(self, parts: Sequence[PromptPart]) -> None:
        """Record a complete answer to a prompt with these parts."""
        if not parts:
            return
        suspected = self._record_answered(parts)
        if suspected:
            self._publish(PartsReport('', suspected))

    def peer_reported(self, report: PartsReport) -> None:
        """Apply the report of another entry."""
        if report.upstream:
            self._record_crash(report, 'peer')
        else:
            self._record_answered(report.parts)

    def _check(self, target: Target) -> None:
        gevent.sleep(COLLECT_S)
        parts = tuple(dict.fromkeys(self._lost.pop(target.id)))
        if target.is_gone(self._now()):
            report = PartsReport(target.id, parts)
            self._record_crash(report, 'own')
            self._publish(report)

    def _record_crash(self, report: PartsReport, source: str) -> None:
        # Several agents relay each report.
        if not self.parts.crashed(report.upstream, report.parts, self._now()):
            return
        logs.event(
            'upstream_crash_seen',
            upstream=report.upstream,
            source=source,
            parts=','.join(part.name for part in report.parts),
        )
        self._on_suspicion()
        if not self._is_deciding:
            self._is_deciding = True
            gevent.spawn_later(DECISION_DELAY_S, self._decide)

    def _decide(self) -> None:
        self._is_deciding = False
        while name := self.parts.convict_next(self._now()):
            logs.warn('prompt_part_refused', part=name, source='crashes')
            self._on_changed(name, True)

    def _record_answered(
        self, parts: Sequence[PromptPart]
    ) -> tuple[PromptPart, ...]:
        """Record an answer on parts; return those that were suspected."""
        now = self._now()
        names = [part.name for part in parts]
        refused = [name for name in names if self.parts.is_refused(name, now)]
        suspected = self.parts.answered(names, now)
        for name in refused:
            logs.event('prompt_part_allowed', part=name)
            self._on_changed(name, False)
        return tuple(part for part in parts if part.name in suspected)
