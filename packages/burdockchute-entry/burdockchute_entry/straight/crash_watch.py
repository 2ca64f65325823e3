"""Finds out which requests and parts of prompts crash upstreams.

A request may crash upstreams each time that it is sent, or all requests with
one part in their prompts may. Both are refused once crashes show it. A lost
answer is no crash: links are reset, and some upstreams break off single
answers. An upstream that has crashed refuses connections, which is what counts
against parts.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

import gevent

from burdockchute import logs
from burdockchute.decisions.crashing_parts import CrashingParts
from burdockchute.decisions.crashing_parts import JUST_BEGUN_S
from burdockchute.decisions.suspects import Suspects
from burdockchute.model.crash_reports import CrashReport
from burdockchute.model.crash_reports import PartsReport
from burdockchute.model.crash_reports import PeerCrashReport
from burdockchute.model.crash_reports import PromptPart
from burdockchute.model.outcomes import NotRun
from burdockchute.model.requests import RequestContext
from burdockchute_entry.straight.targets import Target

# A crash breaks off all answers of an upstream within this time.
COLLECT_S = 0.02

# Other entries' reports of the same crash arrive within this time.
DECISION_DELAY_S = 0.1

# Retry-After of a request that crashed its upstreams. It is refused again
# until its refusal period is over.
SUSPECT_RETRY_S = 1.0


class CrashWatch:
    """The requests and parts of prompts that this entry refuses, and why.

    `publish` sends a report to the other entries. `on_suspicion` is called
    with each crash that is learned of, `on_changed` with each part that this
    entry begins or ceases to refuse on its own evidence.
    """

    def __init__(
        self,
        now: Callable[[], float],
        publish: Callable[[CrashReport | PartsReport], None] = lambda report: (
            None
        ),
        on_suspicion: Callable[[], None] = lambda: None,
        on_changed: Callable[[str, bool], None] = lambda name, refused: None,
    ) -> None:
        self.parts = CrashingParts()
        self._suspects = Suspects()
        self._now = now
        self._publish = publish
        self._on_suspicion = on_suspicion
        self._on_changed = on_changed
        # The parts of the answers lost at an upstream, while it is checked.
        self._lost: dict[str, list[PromptPart]] = {}
        self._is_deciding = False

    def request_refusal(self, ctx: RequestContext) -> NotRun | None:
        """Return why a new request is refused, None if it is not.

        Repeats and the remainders of started streams are not refused for it.
        """
        if not self._suspects.refused_for_s(ctx.fingerprint, self._now()):
            return None
        reason = 'it crashed the upstreams that ran it'
        return NotRun(reason, 503, SUSPECT_RETRY_S)

    def prompt_refusal(self, ctx: RequestContext) -> NotRun | None:
        """Return why a prompt must not be sent, None if it may be."""
        names = [part.name for part in ctx.prompt_parts]
        refused_s = self.parts.refused_for_s(names, self._now())
        if not refused_s:
            return None
        reason = 'a part of its prompt crashed the upstreams that ran it'
        return NotRun(reason, 503, refused_s)

    def answer_lost(
        self, ctx: RequestContext, target: Target, answering_s: float
    ) -> None:
        """Record that an upstream closed the connection of a request.

        `answering_s` is for how long the lost answer had been arriving.
        """
        alone = target.load.ours == 1
        convicted = self._suspects.crashed(
            ctx.fingerprint, target.id, alone, self._now()
        )
        self._publish(
            CrashReport(ctx.fingerprint, target.id, alone, convicted)
        )
        logs.warn(
            'upstream_broke_off',
            request_id=ctx.request_id,
            upstream=target.id,
            fingerprint=ctx.fingerprint,
            alone=alone,
            convicted=convicted,
            crashes=self._suspects.crash_count(ctx.fingerprint),
            upstreams_crashed=self._suspects.crashed_recently(self._now()),
            parts=','.join(part.name for part in ctx.prompt_parts),
            answering_ms=int(answering_s * 1000),
        )

    def is_convicted(self, ctx: RequestContext) -> bool:
        """Whether a request is refused as it arrives."""
        return self._suspects.refused_for_s(ctx.fingerprint, self._now()) > 0

    def prompt_lost(
        self, ctx: RequestContext, target: Target, answering_s: float
    ) -> None:
        """Check whether the upstream that lost an answer has crashed."""
        parts = ctx.prompt_parts
        if not parts or answering_s > JUST_BEGUN_S:
            return
        if target.id in self._lost:
            self._lost[target.id].extend(parts)
            return
        self._lost[target.id] = list(parts)
        gevent.spawn(self._check, target)

    def answer_complete(self, ctx: RequestContext, has_content: bool) -> None:
        """Record a complete answer to a request.

        Only one with content shows that its prompt crashes no upstream.
        """
        self._suspects.answered(ctx.fingerprint)
        if not has_content or not ctx.prompt_parts:
            return
        suspected = self._record_answered(ctx.prompt_parts)
        if suspected:
            self._publish(PartsReport('', suspected))

    def peer_reported_request(self, report: PeerCrashReport) -> None:
        """Apply another entry's report of a request."""
        logs.event('crash_learned', **report.crash._asdict())
        self._suspects.peer_reported(report, self._now())

    def peer_reported_parts(self, report: PartsReport) -> None:
        """Apply another entry's report of parts of prompts."""
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
