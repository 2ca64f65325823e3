"""Tells apart the starts of upstreams that have ended.

An upstream that starts again may keep its id. The list names the time of each
start, but an entry may know an upstream by the start before. A request that
was sent after an end was sent to another start.
"""

from __future__ import annotations

from typing import NamedTuple

from burdockchute.model.crash_reports import LostRequest

# Other entries' reports of an end are delayed by less than this.
MAX_REPORT_DELAY_S = 0.5


class _EndedStart(NamedTuple):
    """`at` is when its end was first noticed, `sent_at` its newest request."""

    name: str
    started_ms: int | None
    at: float
    sent_at: float


class EndedStarts:
    """The ends of upstreams that are known, each with a name of its own."""

    def __init__(self) -> None:
        self._by_upstream: dict[str, list[_EndedStart]] = {}
        self._count = 0

    def record(self, lost: LostRequest, at: float) -> str:
        """Return the name of the start that ended while it ran a request.

        Reports of several entries on the same end have the same name.
        """
        ends = self._by_upstream.setdefault(lost.upstream, [])
        # Reports of earlier releases do not state how long a request ran.
        sent_at = at - lost.ran_s if lost.ran_s else float('-inf')
        for number, end in enumerate(ends):
            if _is_same(end, lost.started_ms, at, sent_at):
                ends[number] = end._replace(
                    started_ms=end.started_ms or lost.started_ms,
                    at=min(end.at, at),
                    sent_at=max(end.sent_at, sent_at),
                )
                return end.name
        self._count += 1
        name = f'{lost.upstream}#{self._count}'
        ends.append(_EndedStart(name, lost.started_ms, at, sent_at))
        return name

    def names(self, upstream: str) -> list[str]:
        """Return the names of all ended starts with an id."""
        return [end.name for end in self._by_upstream.get(upstream, ())]

    def has_ended(
        self, upstream: str, started_ms: int | None, sent_at: float
    ) -> bool:
        """Whether the start that a request was sent to has ended."""
        return any(
            not _differ(end.started_ms, started_ms)
            and sent_at <= end.at + MAX_REPORT_DELAY_S
            for end in self._by_upstream.get(upstream, ())
        )

    def drop_before(self, at: float) -> None:
        """Forget ends that were noticed before a time."""
        kept = {
            upstream: [end for end in ends if end.at >= at]
            for upstream, ends in self._by_upstream.items()
        }
        self._by_upstream = {name: ends for name, ends in kept.items() if ends}


def _is_same(
    end: _EndedStart, started_ms: int | None, at: float, sent_at: float
) -> bool:
    if _differ(end.started_ms, started_ms):
        return False
    return (
        sent_at <= end.at + MAX_REPORT_DELAY_S
        and end.sent_at <= at + MAX_REPORT_DELAY_S
    )


def _differ(one: int | None, other: int | None) -> bool:
    return one is not None and other is not None and one != other
